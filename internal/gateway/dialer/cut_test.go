package dialer_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/standin/cutter"
)

// Guards against responses that were cut off and pass for whole, and against requests that are sent again by themselves because of it.
func TestResponsesThatAreCutOffAreNotWhole(t *testing.T) {
	const (
		body = "the answer"
		head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Folded: a\r\n b\r\n"
	)

	for name, test := range map[string]struct {
		// stale is a response to an earlier request that comes before.
		stale, head string
		// step is the number of bytes between two cuts before the last ones.
		step int
	}{
		"response": {head: head, step: 1},
		"response behind that to another request": {stale: "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 2\r\n\r\nno", head: head, step: 1},
		"response with a long head":               {head: head + "X-Long: " + strings.Repeat("a", 6<<10) + "\r\n", step: 97},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := cutter.Listen(t.Context())
			assert.NilError(t, err)

			responses := cutter.Responses(test.head, body)
			for i := range responses {
				responses[i].Head = test.stale + responses[i].Head
			}

			whole := 0

			for cut := range cutter.Cuts(responses) {
				if cut.Bytes%test.step != 0 && cut.Bytes < len(cut.Head)-100 {
					continue
				}

				server.Answer(cut)

				received, err := exchangeBody(t, server.Address())
				assert.DeepEqual(t, server.TakeRequests(), []string{"POST /"})

				if err == nil {
					whole++

					assert.Assert(t, cut.LooksWhole(), "%v", cut)
					assert.Assert(t, received == body || cut.EndsWithConnection && strings.HasPrefix(body, received), "%v: %q", cut, received)
				}

				assert.Assert(t, err == nil || !cut.IsWhole(), "%v: %v", cut, err)
			}

			assert.Assert(t, whole >= 6, "only %d responses were whole", whole)
		})
	}
}

// exchangeBody sends a request on a new connection and returns the body of the response.
func exchangeBody(t *testing.T, address string) (string, error) {
	t.Helper()

	response, err := dialer.New(1).Exchange(t.Context(), dialer.Upstream{ID: "u", Address: address}, &dialer.Request{
		Method: http.MethodPost, Host: "h", URI: "/", Body: []byte("request"), IDHeader: "X-Id", ID: "1",
	})
	if err != nil {
		assert.Assert(t, errors.Is(err, dialer.ErrConnectionLost), "%v", err)

		return "", err
	}
	defer response.Close()

	received, err := io.ReadAll(response.Body)

	return string(received), err
}
