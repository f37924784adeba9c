package cutter_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/standin/cutter"
)

// Guards against cuts that no client would take for whole because the response itself is none.
func TestWholeResponsesAreResponses(t *testing.T) {
	const body = `{"a":1}`

	server, err := cutter.Listen(t.Context())
	assert.NilError(t, err)

	whole := 0

	for cut := range cutter.Cuts(cutter.Responses("HTTP/1.1 200 OK\r\nConnection: close\r\n", body)) {
		if !cut.IsWhole() {
			continue
		}

		whole++

		server.Answer(cut)

		response, err := http.Get("http://" + server.Address() + "/path")
		assert.NilError(t, err, cut.Framing)

		received, err := io.ReadAll(response.Body)
		assert.NilError(t, err, cut.Framing)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, string(received), body, cut.Framing)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.DeepEqual(t, server.TakeRequests(), []string{"GET /path"})
	}

	assert.Equal(t, whole, 6)
}
