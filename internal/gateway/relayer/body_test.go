package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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

	slow := w.slowBeside(200)

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

// slowBeside returns a connection whose slow body leaves no room for another one of so many bytes.
func (w *world) slowBeside(bytes int) net.Conn {
	w.t.Helper()

	for range 1000 {
		slow := w.open("20000")
		for w.relayer.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}

		response, _, err := w.send("/price/1", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", bytes))), int64(bytes)
		})
		assert.NilError(w.t, err)

		if response.StatusCode == http.StatusServiceUnavailable {
			return slow
		}

		// The short one was counted before the slow one, which found no room then.
		assert.NilError(w.t, slow.Close())
		for w.relayer.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
	}

	w.t.Fatal("a body found room beside one that takes nearly all")

	return nil
}
