package server

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/standin/generator"
)

// Symptom: a node adds a third of a millisecond to each answer, and engines see a new connection for each.
// Events: the node reads an answer up to its last event and closes the body there.
// Cause: a body closed before its end takes its connection along.
func TestConnectionToEngineIsKept(t *testing.T) {
	node, base := newTestNode(t)

	var opened atomic.Int64

	engine := httptest.NewUnstartedServer(generator.New(generator.Options{Name: "engine-1", Slots: 8}).Handler())
	engine.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}

	engine.Start()
	t.Cleanup(engine.Close)

	snapshot := node.tree.Snapshot()
	snapshot.Services["assistente"].Upstreams["engine-1"] = configurer.Upstream{Name: "engine-1", Address: engine.URL, Slots: 8}
	node.tree.set(snapshot)

	for range 10 {
		ask(t, base)

		// The caller has its answer before the run has ended and given the connection back.
		for node.runs.count() > 0 {
			time.Sleep(time.Millisecond)
		}
	}

	assert.Equal(t, opened.Load(), int64(1))
}
