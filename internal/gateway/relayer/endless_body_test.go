package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a server that takes a node's memory by events that never end, each of which is within its bound.
func TestEventWithoutEndFindsNoMemory(t *testing.T) {
	w := newFixtureWithBodyMemory(t, 10, 100<<10)
	first := w.add(func(rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		rw.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(rw, "id: 1\ndata: "+strings.Repeat("a", 500<<10)+"\n\n")
	})
	second := w.add(streamEvents(true, 1, 2))

	response, body, err := w.send("/chat/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, body == "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", "%.80q", body)
	assert.Equal(t, first.count(), 1)
	assert.Equal(t, second.count(), 1)
}

// Guards against buffered responses that together take more memory than there is for bodies, or that are lost for the lack of it.
func TestResponseThatFindsNoMemoryIsNotBuffered(t *testing.T) {
	const size = 200 << 10

	w := newFixtureWithBodyMemory(t, 0, 50<<10)
	w.add(func(rw http.ResponseWriter, _ *http.Request) {
		sign(rw)
		rw.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = io.WriteString(rw, strings.Repeat("a", size))
	})

	// The memory is returned, also where a response exceeded it.
	for range 3 {
		response, body, err := w.send("/price/1", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, len(body), size)
	}

	// Waits for the handlers, which end after their responses.
	w.server.Close()
	assert.Equal(t, w.relayer.BodyMemory(), int64(0))
}
