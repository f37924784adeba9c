package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// open sends the header of a request whose body has 900 bytes, and begins the body.
func (w *world) open(deadline string) net.Conn {
	w.t.Helper()

	conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
	assert.NilError(w.t, err)
	w.t.Cleanup(func() { _ = conn.Close() })

	_, err = fmt.Fprintf(conn, "POST /price/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: a\r\n%s: %s\r\nAuthorization: Token k1\r\nContent-Length: 900\r\n\r\nbegin", names.Deadline, deadline)
	assert.NilError(w.t, err)

	return conn
}

// Symptom: callers that send too slowly wait for their answer long after their time, and fill the memory.
// Sequence: the header and a few bytes of the body come, the rest doesn't.
// Cause: nothing bounded the time for a body.
func TestSlowBodyIsCutWhenTheRequestsTimeIsOver(t *testing.T) {
	w := newWorld(t, 10)
	u := w.add(answers(http.StatusOK, "ran"))

	response, err := http.ReadResponse(bufio.NewReader(w.open("30")), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, u.count(), 0)
}

// Symptom: a node is killed for its memory while many callers send bodies slowly.
// Sequence: one body is announced and comes slowly; a second one comes that has no room beside it.
// Cause: bodies were counted once they had come.
func TestBodiesAreCountedBeforeTheyCome(t *testing.T) {
	w := startWorld(t, 10, 1000)
	w.add(answers(http.StatusOK, "ran"))

	slow := w.open("20000")

	for status := 0; status != http.StatusServiceUnavailable; {
		response, _, err := w.send("/price/1", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 200))), 200
		})
		assert.NilError(t, err)

		// The node may not have begun to read the first one yet.
		status = response.StatusCode
	}

	_, err := io.WriteString(slow, strings.Repeat("x", 895))
	assert.NilError(t, err)

	response, err := http.ReadResponse(bufio.NewReader(slow), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)

	// Its room is free again.
	response, _, err = w.send("/price/1", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 900))), 900
	})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
