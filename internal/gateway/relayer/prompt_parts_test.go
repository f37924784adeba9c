package relayer

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/quarantiner"
)

// Guards against logs that don't tell which parts of their prompts the requests that broke off had in common, and against
// callers that fill the log with parts.
func TestLoggedPartsAreTheSharedOnes(t *testing.T) {
	const maxLoggedPartBytes = 64

	loggedOf := func(ids ...string) []string { return loggedPartIDs(quarantiner.NewParts("", ids)) }

	assert.Equal(t, len(loggedOf()), 0)
	assert.Equal(t, len(loggedOf("own")), 0)
	assert.DeepEqual(t, loggedOf("a", "b", "own"), []string{"a", "b"})

	many := make([]string, 300)
	for i := range many {
		many[i] = fmt.Sprint(i)
	}

	many[0] = strings.Repeat("f", 1000)

	logged := loggedOf(many...)
	assert.Equal(t, len(logged), maxLoggedParts)
	assert.Equal(t, len(logged[0]), maxLoggedPartBytes)
}
