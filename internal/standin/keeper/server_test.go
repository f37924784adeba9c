package keeper_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/standin/keeper"
)

func TestRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ready := make(chan string, 1)
	ended := make(chan error, 1)
	options := keeper.Options{Listen: "127.0.0.1:0", Token: "secret", Ready: func(addr string) { ready <- addr }}
	go func() { ended <- keeper.Run(ctx, options, zerolog.Nop()) }()
	base := "http://" + <-ready

	steps := []struct {
		token, path, body string
		status            int
		want              string
	}{
		{"", "/v3/kv/put", `{"key":"YQ=="}`, 401, `"code":16`},
		{"secret", "/v3/kv/put", `{"key":"YQ==","value":"MQ==","lease":0}`, 200, `{"header":{"revision":"2"}}`},
		{"secret", "/v3/kv/range", `{"key":"YQ==","limit":"1"}`, 200, `{"header":{"revision":"2"},"kvs":[{"key":"YQ==","value":"MQ==","create_revision":"2","mod_revision":"2","version":"1"}],"count":"1"}`},
		{"secret", "/v3/kv/txn", `{"compare":[{"key":"YQ==","target":"MOD","mod_revision":2}],"success":[{"request_delete_range":{"key":"YQ=="}}]}`, 200, `{"header":{"revision":"3"},"succeeded":true,"responses":[{"response_delete_range":{"header":{"revision":"3"},"deleted":"1"}}]}`},
		{"secret", "/v3/lease/grant", `{"TTL":"5","ID":7}`, 200, `{"header":{"revision":"3"},"ID":"7","TTL":"5"}`},
		{"secret", "/v3/lease/keepalive", `{"ID":"7"}`, 200, `{"result":{"header":{"revision":"3"},"ID":"7","TTL":"5"}}`},
		{"secret", "/v3/kv/range", `{"key":"YQ==","revision":"9"}`, 400, `"code":11`},
		{"secret", "/v3/kv/range", `{"key":5}`, 400, `"code":3`},
		{"", "/standin/switches", `{"outage":true}`, 200, `"outage":true`},
		{"secret", "/v3/kv/range", `{"key":"YQ=="}`, 503, `"code":14`},
	}
	for _, step := range steps {
		status, answer := post(t, base+step.path, step.token, step.body)
		assert.Equal(t, status, step.status, answer)
		assert.Assert(t, strings.Contains(answer, step.want), answer)
	}
	cancel()
	assert.NilError(t, <-ended)
}

func post(t *testing.T, url, token, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	assert.NilError(t, err)

	return response.StatusCode, string(answer)
}
