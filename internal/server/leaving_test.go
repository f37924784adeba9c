package server

import (
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
)

// Symptom: a server that is going away gets new work again, every second.
// Events: two services have a server of one name; one reports that it leaves, the other that it doesn't.
// Cause: the mark went by the name alone, so each report overwrote the other's.
func TestLeavingReportsGoByAddress(t *testing.T) {
	node, _ := newTestNode(t)
	node.tree.set(configurer.Snapshot{Services: map[string]configurer.Service{
		"a": {Name: "a", Upstreams: map[string]configurer.Upstream{"s1": {Name: "s1", Address: "http://127.0.0.1:1"}}},
		"b": {Name: "b", Upstreams: map[string]configurer.Upstream{"s1": {Name: "s1", Address: "http://127.0.0.1:2"}}},
	}})

	node.markReported("http://127.0.0.1:1", true)
	node.markReported("http://127.0.0.1:2", false)

	services := node.tree.Snapshot().Services
	assert.Assert(t, services["a"].Upstreams["s1"].Leaving)
	assert.Assert(t, !services["b"].Upstreams["s1"].Leaving)

	// The pool moves to another holder, and this node hears no more of the server.
	node.dropUnpolledMarks(map[string]bool{"http://127.0.0.1:2": true})
	assert.Assert(t, !node.tree.Snapshot().Services["a"].Upstreams["s1"].Leaving)
}
