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
	const body = "the answer"

	server, err := cutter.Listen(t.Context())
	assert.NilError(t, err)

	whole := 0

	for cut := range cutter.Cuts(cutter.Responses("HTTP/1.1 200 OK\r\nX-Id: 1\r\n", body)) {
		server.Answer(cut)

		received, err := exchangeBody(t, server.Address())
		assert.DeepEqual(t, server.TakeRequests(), []string{"POST /"})

		if err == nil {
			whole++

			assert.Assert(t, cut.LooksWhole(), "%v", cut)
			assert.Assert(t, strings.HasPrefix(body, received), "%v: %q", cut, received)
			assert.Assert(t, cut.EndsWithConnection || received == body, "%v: %q", cut, received)
		}

		assert.Assert(t, err == nil || !cut.IsWhole(), "%v: %v", cut, err)
	}

	assert.Assert(t, whole >= 6, "only %d responses were whole", whole)
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
