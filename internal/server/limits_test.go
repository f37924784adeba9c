package server

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/loader"
)

// Symptom: one organisation's bulk work takes its whole limit, and its own lookups are refused.
// Sequence: it sends two requests of a class of engines, and two of a class of a plain service.
// Cause: limits hold for an organisation as a whole alone.
func TestLimitsByClassRefuseAtOnce(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(service.Close)

	node, base := newTestNode(t, func(s *loader.Settings) {
		plain := s.Services["assistente"]
		plain.Kind = "plain"
		plain.Upstreams = map[string]configurer.Upstream{"banco-1": {Address: service.URL, FailureDomain: "catania-sala", Slots: 8}}
		s.Services["banco"] = plain

		for _, v := range s.Services {
			limited := v.Classes["counter_lookup"]
			limited.OrganisationRequestsPerSecond = 0.001
			v.Classes["bulk"] = limited
		}
	})
	node.limits.setNodes([]string{"node-1"}, 1)

	requests := map[string]refusal{
		"engine": {"", "POST", "/v1/chat/completions", testKey, nil, `{"model":"assistente","messages":[{"role":"user","content":"price"}],"max_tokens":1}`},
		"plain":  {"", "POST", "/services/banco/price", testKey, nil, ``},
	}

	for name, v := range requests {
		t.Run(name, func(t *testing.T) {
			v.header = map[string]string{headerClass: "bulk"}
			first := answerTo(t, base, v)
			assert.Equal(t, first.StatusCode, http.StatusOK)

			started := time.Now()
			second := answerTo(t, base, v)
			t.Logf("refused after %s", time.Since(started))
			assert.Equal(t, second.StatusCode, http.StatusTooManyRequests)
			assert.Equal(t, second.Header.Get(headerResult), "rate_limited")
			assert.Equal(t, second.Header.Get(headerRan), "not_run")
			assert.Equal(t, second.Header.Get("Retry-After"), "30")

			v.header = nil
			assert.Equal(t, answerTo(t, base, v).StatusCode, http.StatusOK, "other classes go on")
		})
	}

	assert.DeepEqual(t, node.parts()["limits"](), map[string]int64{"class_rate_limited": 2})
}
