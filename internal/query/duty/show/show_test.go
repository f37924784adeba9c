package show_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/query/duty/show"
)

const status = `{"duties":{"holds":true,"number":12,"since":"2026-12-03T08:17:13Z","terms":2,
 "usage":{"last_reported":353445120,"due":1,"missed":0,"late":0},
 "pools":[{"service":"chat","failure_domain":"sala","regular":1,"spot":57,"leaving":2,"ordered_regular":1,"ordered_spot":59},
  {"service":"chat","failure_domain":"porto","regular":30,"spot":0,"leaving":0,"ordered_regular":-1,"ordered_spot":30}]}}`

func run(t *testing.T, body string, asJSON bool) (string, error) {
	t.Helper()

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()

	var out bytes.Buffer

	f := &factory.Factory{Streams: factory.Streams{Out: &out}}
	err := show.Run(t.Context(), show.Options{Factory: f, Metrics: strings.TrimPrefix(server.URL, "http://"), JSON: asJSON})

	return out.String(), err
}

func TestDutiesAreShown(t *testing.T) {
	for name, asJSON := range map[string]bool{"plain": false, "json": true} {
		t.Run(name, func(t *testing.T) {
			out, err := run(t, status, asJSON)
			assert.NilError(t, err)
			golden.Assert(t, out, name+".golden")
		})
	}
}

func TestNodeWithoutDutiesIsSaid(t *testing.T) {
	_, err := run(t, `{}`, false)
	assert.ErrorContains(t, err, "lack gateway.duties.address")
}
