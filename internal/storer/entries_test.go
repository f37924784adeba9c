package storer_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/storer"
)

// Guards against a log that fills up with what another writer leaves again and again, or with what it wrote.
func TestUnreadableEntryIsLoggedOnceAMinute(t *testing.T) {
	var log bytes.Buffer

	unreadable := storer.UnreadableEntries{Logger: zerolog.New(&log)}
	long := errors.New(strings.Repeat("x", 10_000))

	for revision := range 500 {
		position := storer.Position{Revision: int64(revision)}
		unreadable.Log("servers/odd", position, long)
		unreadable.Replace(map[string]storer.Position{"servers/odd": position})
	}

	assert.Equal(t, bytes.Count(log.Bytes(), []byte("entry_unreadable")), 1)
	assert.Assert(t, log.Len() < 1000, "%d bytes", log.Len())

	// It was mended and is odd again.
	unreadable.Replace(nil)
	unreadable.Log("servers/odd", storer.Position{Revision: 500}, errors.New("odd"))
	assert.Equal(t, bytes.Count(log.Bytes(), []byte("entry_unreadable")), 2)

	for number := range 10_000 {
		unreadable.Log(fmt.Sprint("servers/", number), storer.Position{}, long)
	}

	assert.Assert(t, log.Len() < 1_000_000, "%d bytes", log.Len())
}
