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

// Guards against a part of a response that passes for whole: the upstream sends it while the request's body is still sent, and resets the
// connection then. Where nothing else tells the end of the response, only the reset tells that it isn't whole.
func TestEarlyResponsesThatAreResetAreNotWhole(t *testing.T) {
	// bodyBytes is more than the buffers of a connection hold, so that the reset ends a write.
	const bodyBytes = 8 << 20

	long := strings.Repeat("x", 300<<10)
	heads := map[string]string{
		"HTTP 1.1": "HTTP/1.1 200 OK\r\n",
		"close":    "HTTP/1.1 200 OK\r\nConnection: close\r\n",
		"HTTP 1.0": "HTTP/1.0 200 OK\r\n",
	}

	for name, test := range map[string]struct {
		path, contentType, body string
		// after handles the request at the next upstream, and whole is what the caller gets of it; empty if the request isn't repeated.
		after http.HandlerFunc
		whole string
	}{
		"not repeatable":       {path: "/book/1", contentType: plainText, body: "ans"},
		"nothing of the body":  {path: "/book/1", contentType: plainText},
		"repeated":             {path: "/price/1", contentType: plainText, body: "ans", after: respondWith(http.StatusOK, "answer"), whole: "answer"},
		"too long to hold":     {path: "/price/1", contentType: plainText, body: long},
		"stream":               {path: "/advice/1", contentType: eventStream, body: firstEvents},
		"stream without event": {path: "/advice/1", contentType: eventStream},
		"stream that goes on":  {path: "/chat/1", contentType: eventStream, body: firstEvents, after: streamEvents(true, 3, 4), whole: firstEvents + "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"},
	} {
		for headName, head := range heads {
			t.Run(name+" "+headName, func(t *testing.T) {
				w := newFixtureWithBodyMemory(t, 1<<20, 1<<30)
				w.server.Close()
				w.configuration.Limits.BodyBytes = 2 * bodyBytes
				w.restart()

				server, err := cutter.Listen(t.Context())
				assert.NilError(t, err)

				head := fmt.Sprintf("%s%s: id-1\r\n%s: sig\r\nContent-Type: %s\r\n\r\n", head, names.RequestID, names.Signature, test.contentType)
				response := cutter.Response{Head: head, Body: test.body, EndsWithConnection: true}
				server.Answer(cutter.Cut{Response: response, Bytes: len(head) + len(test.body), End: cutter.Reset, Early: true})

				w.upstreams = append(w.upstreams, &fakeUpstream{name: "early", version: "v1", address: server.Address()})
				if test.after != nil {
					w.add(test.after)
				}

				w.list()

				for range 3 {
					response, body, err := w.send(test.path, func(r *http.Request) {
						r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("b", bodyBytes))), bodyBytes
					})

					if test.whole == "" {
						assert.Assert(t, err != nil || response.StatusCode >= http.StatusInternalServerError, "%d bytes", len(body))

						continue
					}

					assert.NilError(t, err)
					assert.Equal(t, body, test.whole)
				}
			})
		}
	}
}
