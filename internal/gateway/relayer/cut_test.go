package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/standin/cutter"
)

const (
	cutAnswer = "the answer"
	// cutEvents is the number of events of a stream.
	cutEvents = 4
)

// cutStream returns the events of the stream from the given one on.
func cutStream(from int) string {
	var events strings.Builder

	for id := from; id <= cutEvents; id++ {
		fmt.Fprintf(&events, "id: %d\ndata: piece %d\n\n", id, id)
	}

	return events.String()
}

// goOn returns a handler that goes on with the stream after the event that a request names.
func goOn(rw http.ResponseWriter, r *http.Request) {
	sign(rw)
	rw.Header().Set("Content-Type", eventStream)

	last := 0
	_, _ = fmt.Sscan(r.Header.Get(names.LastEventID), &last)
	_, _ = io.WriteString(rw, cutStream(last+1))
}

// Guards against responses that a server cut off, at any byte of the head or the body, and that callers get as a whole response with
// another body, and against requests that run twice because of it.
func TestResponsesThatServersCutOffAreNotWhole(t *testing.T) {
	for name, test := range map[string]struct {
		path, contentType, body string
		change                  func(*http.Request)
		// before and after handle requests at the upstreams that are chosen before and after the one whose response is cut.
		before, after http.HandlerFunc
		// whole is what callers get of a whole response.
		whole string
	}{
		"not repeatable":                {path: "/book/1", contentType: plainText, body: cutAnswer, whole: cutAnswer},
		"repeated elsewhere":            {path: "/price/1", contentType: plainText, body: cutAnswer, after: respondWith(http.StatusOK, cutAnswer), whole: cutAnswer},
		"stream":                        {path: "/advice/1", contentType: eventStream, body: cutStream(1), whole: cutStream(1)},
		"stream goes on elsewhere":      {path: "/chat/1", contentType: eventStream, body: cutStream(1), after: goOn, whole: cutStream(1)},
		"stream that went on":           {path: "/chat/1", contentType: eventStream, body: cutStream(3), before: streamEvents(false, 1, 2), whole: cutStream(1)},
		"stream that a caller takes up": {path: "/chat/1", contentType: eventStream, body: cutStream(3), change: takeUp, whole: cutStream(3)},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, 1<<20)
			w.began("s", "v1")

			if test.before != nil {
				w.add(test.before)
			}

			server, err := cutter.Listen(t.Context())
			assert.NilError(t, err)

			w.upstreams = append(w.upstreams, &fakeUpstream{name: "cut", version: "v1", address: server.Address()})

			if test.after != nil {
				w.add(test.after)
			}

			w.list()

			head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: sig\r\nContent-Type: %s\r\nConnection: close\r\n", names.RequestID, names.Signature, test.contentType)

			for cut := range cutter.Cuts(cutter.Responses(head, test.body)) {
				server.Answer(cut)

				response, body, err := w.send(test.path, test.change)
				assert.Equal(t, len(server.TakeRequests()), 1, "%v", cut)

				isOK := err == nil && response.StatusCode == http.StatusOK
				// What ends with its connection can be cut behind its head, and between two events, without anybody knowing.
				mayBeShort := cut.EndsWithConnection && cut.LooksWhole()

				switch {
				case isOK && mayBeShort:
					assert.Assert(t, strings.HasPrefix(test.whole, body), "%v: %q", cut, body)
				case isOK:
					assert.Assert(t, cut.LooksWhole() || test.after != nil, "%v: %q", cut, body)
					assert.Equal(t, body, test.whole, "%v", cut)
				default:
					assert.Assert(t, !cut.IsWhole() && test.after == nil, "%v: %v", cut, err)
				}

				if isOK && test.contentType == eventStream {
					assert.Assert(t, strings.HasSuffix(body, "\n\n"), "%v: %q", cut, body)
					// The end of the connection alone doesn't tell that there are no more events.
					assert.Assert(t, strings.Contains(body, test.body[:len("id: 1\n")]), "%v: %q", cut, body)
				}
			}
		})
	}
}

// Guards against a response that is too long to be held, of which callers have a part when its server breaks off, and that ends for them as
// if it were whole.
func TestLongResponsesThatServersCutOffAreNotWhole(t *testing.T) {
	body := strings.Repeat("x", 300<<10)
	w := newFixture(t, 1<<20)

	server, err := cutter.Listen(t.Context())
	assert.NilError(t, err)

	w.upstreams = append(w.upstreams, &fakeUpstream{name: "cut", version: "v1", address: server.Address()})
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: sig\r\nConnection: close\r\n", names.RequestID, names.Signature)

	for _, response := range cutter.Responses(head, body) {
		size := len(response.Head + response.Body)

		for _, bytes := range []int{size - 40<<10, size - 3, size - 2, size - 1, size} {
			for _, end := range []cutter.End{cutter.Close, cutter.Reset} {
				cut := cutter.Cut{Response: response, Bytes: bytes, End: end}
				server.Answer(cut)

				response, received, err := w.send("/price/1", nil)

				switch {
				case err != nil || response.StatusCode != http.StatusOK:
					assert.Assert(t, !cut.IsWhole(), "%s, %d of %d bytes, %v: %v", cut.Framing, bytes, size, end, err)
				case cut.EndsWithConnection:
					assert.Assert(t, cut.LooksWhole() && strings.HasPrefix(body, received), "%s, %d of %d bytes, %v", cut.Framing, bytes, size, end)
				default:
					assert.Assert(t, cut.LooksWhole() && received == body, "%s, %d of %d bytes, %v", cut.Framing, bytes, size, end)
				}
			}
		}
	}
}

// takeUp makes a request take up a stream of which its caller has the first two events.
func takeUp(r *http.Request) {
	r.Header.Set(names.LastEventID, "2")
	r.Header.Set(names.Resumes, began)
}
