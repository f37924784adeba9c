package relayer_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/standin/cutter"
)

// Guards against responses with a status that the protocol doesn't know: callers got them, or got nothing before their time was up, as the
// node took a status below 100 for that of an interim response and waited for the final one.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "1000", "20", "-20"} {
		for _, test := range []struct {
			path, contentType string
			// retried says that the request may go to another upstream.
			retried bool
		}{
			{path: "/book/1", contentType: plainText},
			{path: "/price/1", contentType: plainText, retried: true},
			{path: "/chat/1", contentType: eventStream, retried: true},
			{path: "/advice/1", contentType: eventStream},
		} {
			t.Run(status+test.path, func(t *testing.T) {
				w := newFixture(t, 9)

				server, err := cutter.Listen(t.Context())
				assert.NilError(t, err)

				head := fmt.Sprintf("HTTP/1.1 %s Odd\r\n%s: id-1\r\n%s: sig\r\nContent-Type: %s\r\nContent-Length: 3\r\n\r\n", status, names.RequestID, names.Signature, test.contentType)
				server.Answer(cutter.Cut{Response: cutter.Response{Head: head, Body: "odd"}, Bytes: len(head) + 3, End: cutter.Stay})

				w.upstreams = append(w.upstreams, &fakeUpstream{name: "odd", version: "v1", address: server.Address()})
				other := w.add(streamEvents(true, 1, 2))

				response, body, err := w.send(test.path, func(r *http.Request) { r.Header.Set(names.Deadline, "2000") })
				assert.NilError(t, err)

				if !test.retried {
					assert.Equal(t, response.StatusCode, http.StatusBadGateway)
					assert.Equal(t, other.count(), 0)

					return
				}

				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Assert(t, strings.HasPrefix(body, "id: 1\n"), body)
			})
		}
	}
}
