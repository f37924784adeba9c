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

// openSlowBody sends the header and the first bytes of a request with a body of 900 bytes.
func (w *fixture) openSlowBody(deadline string) net.Conn {
	w.t.Helper()

	conn, err := net.Dial("tcp", w.server.Listener.Addr().String())
	assert.NilError(w.t, err)
	w.t.Cleanup(func() { _ = conn.Close() })

	_, err = fmt.Fprintf(conn, "POST /price/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: a\r\n%s: %s\r\nAuthorization: Token k1\r\nContent-Length: 900\r\n\r\nbegin", names.Deadline, deadline)
	assert.NilError(w.t, err)

	return conn
}

// Guards against slow callers that wait past their deadline and fill the memory: the header and a few bytes of the body
// arrive, the rest never does, and no timeout applies to the body.
func TestSlowBodyIsCutWhenTheRequestsTimeIsOver(t *testing.T) {
	w := newFixture(t, 10)
	u := w.add(respondWith(http.StatusOK, "ran"))

	response, err := http.ReadResponse(bufio.NewReader(w.openSlowBody("30")), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, u.count(), 0)
}

// Guards against a node that runs out of memory while many callers send bodies slowly: a slow body is announced, and a
// second one that doesn't fit beside it is accepted, because bodies are counted only after they were received.
func TestBodiesAreCountedBeforeTheyCome(t *testing.T) {
	w := newFixtureWithBodyMemory(t, 10, 1000)
	w.add(respondWith(http.StatusOK, "ran"))

	slow := w.holdBodyMemory(200)

	_, err := io.WriteString(slow, strings.Repeat("x", 895))
	assert.NilError(t, err)

	response, err := http.ReadResponse(bufio.NewReader(slow), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)

	// The memory of the first body is released.
	response, _, err = w.send("/price/1", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 900))), 900
	})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// holdBodyMemory returns a connection whose slow body leaves no memory for another body of the given size.
func (w *fixture) holdBodyMemory(bytes int) net.Conn {
	w.t.Helper()

	for range 1000 {
		slow := w.openSlowBody("20000")
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

		// The short body was counted before the slow one, which was then refused.
		assert.NilError(w.t, slow.Close())
		for w.relayer.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
	}

	w.t.Fatal("a body was accepted although a slow one holds nearly all memory")

	return nil
}
