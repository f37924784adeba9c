package process_test

import (
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// orderedState is what an engine holds.
type orderedState struct {
	Models         []string `json:"models"`
	HighestFencing int64    `json:"highest_fencing"`
}

// orderRecord is what an engine tells of the orders that it met.
type orderRecord struct {
	Applied []appliedOrder `json:"applied"`
	Refused int            `json:"refused"`
	Held    int            `json:"held"`
}

type appliedOrder struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Fencing int64  `json:"fencing"`
}

// newOrderedFleet starts two nodes before an engine that checks fencing numbers and one that ignores them.
func newOrderedFleet(t *testing.T) (f *fleet, checks, ignores *process) {
	t.Helper()

	f = &fleet{shape: shape{emptyTree: true}, platform: start(t, "platform", "standin", "platform")}
	checks = start(t, "checks", "standin", "engine", "--name", "checks", "--key", engineKey, "--check-fencing")
	ignores = start(t, "ignores", "standin", "engine", "--name", "ignores", "--key", engineKey)
	f.addNodes(t, 2)

	made := f.putBranch(t, engineBranch, strings.NewReplacer("HASH", callerHash, "CHECKS", checks.address, "IGNORES", ignores.address).Replace(`
kind: engine
default_class: chat
classes:
  chat: {tier: 2, target: 2s, gap_limit: 1s, max_wait: 30s}
organisations:
  barbagallo: {weight: 1, key_hashes: [HASH]}
desired: {models: [first]}
orders: {lease: 3s, longest_pause: 1s, loads_per_minute: 600, loads_at_once: 10}
upstreams:
  checks: {address: "http://CHECKS", failure_domain: catania-sala, slots: 4, checks_fencing: true}
  ignores: {address: "http://IGNORES", failure_domain: catania-sala, slots: 4}
`))
	f.inForce(t, made.Revision)

	return f, checks, ignores
}

// ordererOf returns the node that orders engines now, or -1.
func (f *fleet) ordererOf(t *testing.T, nodes ...int) int {
	t.Helper()

	for _, i := range nodes {
		if f.orderCounts(t, i)["services_held"] == 1 {
			return i
		}
	}

	return -1
}

func (f *fleet) orderCounts(t *testing.T, node int) map[string]int64 {
	t.Helper()

	var variables struct {
		Orders map[string]int64 `json:"quincepath_orders"`
	}

	call(t, http.MethodGet, "http://"+f.nodeSpecs[node].adminAddress+"/debug/vars", nil, &variables)

	return variables.Orders
}

// waitForModel waits until the engine has loaded exactly one model.
func waitForModel(t *testing.T, engine *process, model string) {
	t.Helper()
	waitFor(t, engine.name+" holds only "+model, func() bool {
		var state orderedState

		call(t, http.MethodGet, "http://"+engine.address+"/state", nil, &state)

		return slices.Equal(state.Models, []string{model})
	})
}

func ordersOf(t *testing.T, engine *process) orderRecord {
	t.Helper()

	var record orderRecord

	call(t, http.MethodGet, "http://"+engine.address+"/standin/orders", nil, &record)

	return record
}

// Symptom: an engine goes back to a model that operators have replaced.
// Events: a node's orders are on their way when it is frozen for longer than its lease; operators change the
// tree; another node orders the engines there; the old orders arrive; the first node wakes.
// Cause: a lease does not stop a node that is paused, nor an order that has left.
func TestFrozenOrdererDoesNotUndoAChange(t *testing.T) {
	t.Parallel()

	f, checks, ignores := newOrderedFleet(t)
	engines := []*process{checks, ignores}

	for _, engine := range engines {
		waitForModel(t, engine, "first")
		switchOn(t, engine, map[string]any{"hold_orders": 100})
	}

	frozen := f.ordererOf(t, 0, 1)
	assert.Assert(t, frozen >= 0, "no node orders")

	f.change(t, frozen, "tree", "set", engineBranch, "desired.models=[second]")

	for _, engine := range engines {
		waitFor(t, "the order at "+engine.name, func() bool { return ordersOf(t, engine).Held > 0 })
	}

	f.nodes[frozen].signal(t, syscall.SIGSTOP)

	since := time.Now()
	other := 1 - frozen

	// What has come stays on its way; what comes from now on passes.
	for _, engine := range engines {
		switchOn(t, engine, map[string]any{"hold_orders": 0})
	}

	f.change(t, other, "tree", "set", engineBranch, "desired.models=[third]")
	waitForModel(t, checks, "third")
	t.Logf("the engine that checks was in order again %v after the freeze", time.Since(since))
	waitForModel(t, ignores, "third")
	t.Logf("the engine that ignores numbers %v after it", time.Since(since))
	assert.Equal(t, f.ordererOf(t, other), other)

	// The old orders arrive now, and the old orderer wakes.
	for _, engine := range engines {
		switchOn(t, engine, map[string]any{"release_orders": true})
	}

	f.nodes[frozen].signal(t, syscall.SIGCONT)
	waitFor(t, "the old order's refusal", func() bool { return ordersOf(t, checks).Refused > 0 })
	waitFor(t, "the old order's effect", func() bool { return wasOrdered(ordersOf(t, ignores), "second") })
	waitFor(t, "the end of the old term", func() bool { return f.orderCounts(t, frozen)["terms_lost"] == 1 })
	waitForModel(t, checks, "third")
	waitForModel(t, ignores, "third")

	assert.Assert(t, !wasOrdered(ordersOf(t, checks), "second"))
	assert.Assert(t, slices.IsSortedFunc(ordersOf(t, checks).Applied, func(a, b appliedOrder) int { return int(a.Fencing - b.Fencing) }))

	since = time.Now()

	f.change(t, frozen, "tree", "set", engineBranch, "desired.models=[fourth]")
	waitForModel(t, checks, "fourth")
	waitForModel(t, ignores, "fourth")
	t.Logf("both were in order %v after a change of the tree", time.Since(since))
}

// wasOrdered says whether an order to load the model took effect.
func wasOrdered(record orderRecord, model string) bool {
	for _, v := range record.Applied {
		if v.Kind == "load_model" && v.Name == model {
			return true
		}
	}

	return false
}
