package relayer_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// closeDelimited returns a handler whose response has neither a length nor chunks and ends with its connection, which is reset or
// closed.
func closeDelimited(contentType, body string, reset bool) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		connection, buffer, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()

		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\nContent-Type: %s\r\n\r\n%s",
			names.RequestID, r.Header.Get(names.RequestID), names.Signature, contentType, body)
		_ = buffer.Flush()

		if tcp, ok := connection.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	}
}

const (
	plainText    = "text/plain"
	eventStream  = "text/event-stream"
	firstEvents  = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	secondEvents = "id: 3\ndata: piece 3\n\n"
)

// Guards against responses with neither a length nor chunks that don't arrive whole.
func TestResponseThatEndsWithItsConnectionIsWhole(t *testing.T) {
	long := strings.Repeat("x", 300<<10)

	for name, tt := range map[string]struct{ path, contentType, body string }{
		"plain":  {path: "/price/1", contentType: plainText, body: "answer"},
		"long":   {path: "/price/1", contentType: plainText, body: long},
		"stream": {path: "/chat/1", contentType: eventStream, body: firstEvents + secondEvents},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, 9)
			u := w.add(closeDelimited(tt.contentType, tt.body, false))

			response, body, err := w.send(tt.path, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, body, tt.body)
			assert.Equal(t, u.count(), 1)
		})
	}
}

// Guards against a stream with neither a length nor chunks passing for whole though it ended inside an event: it goes on at another
// upstream, and breaks for the caller where it may not.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	for _, inside := range []string{"id: 3", "id: 3\ndata: pie", "id: 3\ndata: piece 3\n"} {
		t.Run(strings.ReplaceAll(inside, "\n", " "), func(t *testing.T) {
			w := newFixture(t, 9)
			w.add(closeDelimited(eventStream, firstEvents+inside, false))
			other := w.add(closeDelimited(eventStream, secondEvents, false))

			_, body, err := w.send("/chat/1", nil)
			assert.NilError(t, err)
			assert.Equal(t, body, firstEvents+secondEvents)
			assert.Equal(t, other.count(), 1)
			assert.Equal(t, other.requests[0].Header.Get(names.LastEventID), "2")

			_, body, err = w.send("/advice/1", nil)
			assert.Assert(t, err != nil, body)
		})
	}
}

// Guards against a response with neither a length nor chunks passing for whole though its connection was reset.
func TestResponseWhoseConnectionIsResetIsBrokenOff(t *testing.T) {
	w := newFixture(t, 9)
	w.add(closeDelimited(plainText, "ans", true))
	w.add(respondWith(http.StatusOK, "answer"))

	_, body, err := w.send("/price/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "answer")
}
