package server

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/standin/generator"
)

const (
	testKey = "counter-key"
	// testKeyHash is the SHA-256 sum of testKey.
	testKeyHash = "edbd7968212204de4f16847e8aa622c26329f5f074698dc93879d21fdb01711b"
	// allocationBound is the most allocations that one streamed request of
	// sixteen tokens may cost a node, its engine and its caller together.
	allocationBound = 700
)

// newTestNode returns a node before one engine that takes no time, and its address.
// Each change is made to the settings first.
func newTestNode(tb testing.TB, changes ...func(*loader.Settings)) (*Node, string) {
	tb.Helper()

	engine := httptest.NewServer(generator.New(generator.Options{Name: "engine-1", Slots: 64}).Handler())
	tb.Cleanup(engine.Close)

	settings := loader.Defaults()
	settings.Node.Name = "node-1"
	settings.Node.FailureDomain = "catania-sala"
	settings.Services = map[string]loader.Service{"assistente": {
		Kind:         "engine",
		DefaultClass: "counter_lookup",
		Classes: map[string]configurer.Class{"counter_lookup": {
			Tier: 1, Target: 300 * time.Millisecond, GapLimit: time.Second, MaxWait: 10 * time.Second, Repeatable: true,
		}},
		Organisations: map[string]configurer.Organisation{"barbagallo": {Weight: 1, KeyHashes: []string{testKeyHash}}},
		Upstreams:     map[string]configurer.Upstream{"engine-1": {Address: engine.URL, FailureDomain: "catania-sala", Slots: 64}},
	}}

	for _, change := range changes {
		change(&settings)
	}

	node, err := newNode(settings, zerolog.Nop())
	assert.NilError(tb, err)

	caller := httptest.NewServer(node.callerRoutes())

	tb.Cleanup(func() {
		caller.Close()
		node.stopWork()
	})

	return node, caller.URL
}

// ask sends one streamed chat completion and reads it to the end.
func ask(tb testing.TB, base string) {
	tb.Helper()

	body := `{"model":"assistente","messages":[{"role":"user","content":"price"}],"max_tokens":16,"stream":true}`
	request, err := http.NewRequestWithContext(tb.Context(), http.MethodPost, base+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	assert.NilError(tb, err)
	request.Header.Set("Authorization", "Bearer "+testKey)

	response, err := http.DefaultClient.Do(request)
	assert.NilError(tb, err)

	defer response.Body.Close()

	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(tb, err)
	assert.Equal(tb, response.StatusCode, http.StatusOK)
}

func TestAllocationsOfOneRequest(t *testing.T) {
	_, base := newTestNode(t)

	ask(t, base)

	allocations := testing.AllocsPerRun(50, func() { ask(t, base) })
	t.Logf("%.0f allocations", allocations)
	assert.Assert(t, allocations <= allocationBound, "%.0f allocations, %d allowed", allocations, allocationBound)
}

func BenchmarkRequest(b *testing.B) {
	_, base := newTestNode(b)

	b.ReportAllocs()

	for b.Loop() {
		ask(b, base)
	}
}
