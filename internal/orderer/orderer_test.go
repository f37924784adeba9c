package orderer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/orderer"
	"quincepath.example/quincepath/internal/standin/keeper"
)

func TestEnginesReachDesiredState(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1"}, both())
		w.engines["ignores"].state = orderer.State{Models: []string{"v0"}, Adapters: []string{"old"}}
		w.current.Desired.Adapters, w.current.Desired.Role = []string{"bagni"}, "decode"
		n := w.node("a")
		start(n)
		time.Sleep(converged)

		checkModels(t, w, "v1")

		for _, e := range w.engines {
			assert.DeepEqual(t, e.state.Adapters, []string{"bagni"})
			assert.Equal(t, e.state.Role, "decode")
		}

		before := n.counters.Sent.Load()
		time.Sleep(time.Hour)
		assert.Equal(t, n.counters.Sent.Load(), before, "orders are sent though nothing differs")
	})
}

// Symptom: an engine goes back to a model that was replaced, long after the change.
// Events: a node decides an order, looks at its lease, and is paused right then; the lease ends, the
// tree changes, another node brings all engines there; the first wakes and sends its order.
// Cause: no look at a clock closes the gap between the look and the send; the engine's own check or
// the later look at the state has to.
func TestPausedBetweenCheckAndSend(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1"}, both())
		wake := make(chan struct{})
		resume := sync.OnceFunc(func() { close(wake) })
		defer resume()

		a, b := w.node("a"), w.node("b")
		w.candidate["b"] = false

		a.beforeSend = func(order orderer.Order, _ int64) {
			if order.Name == "v1" {
				<-wake
			}
		}
		a.faults = func(_ context.Context, call keeper.Call) keeper.Verdict {
			// The paused process renews nothing.
			if call.Kind == "keepalive" {
				<-wake
			}

			return keeper.Verdict{}
		}
		start(a)
		time.Sleep(lease + pause - time.Second)
		w.desire("v2")
		w.change(func() { w.candidate["a"], w.candidate["b"] = false, true })
		start(b)
		time.Sleep(converged)
		checkModels(t, w, "v2")

		resume()
		time.Sleep(converged)

		checkModels(t, w, "v2")
		checkOrder(t, "checks", w.engines["checks"])
		assert.Equal(t, w.engines["checks"].refused, 1)
		assert.Equal(t, a.counters.RefusedByFencing.Load(), int64(1))
	})
}

// Symptom: an engine that ignores numbers changes to the old model and back again.
// Events: as above, but the pause is shorter than the longest that is allowed for.
// Cause: the new orderer sends before the earlier orderer's last order can have arrived.
func TestPauseAllowedForIsWaitedOut(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1"}, map[string]*fakeEngine{"ignores": {}})
		a, b := w.node("a"), w.node("b")
		w.candidate["b"] = false
		a.beforeSend = func(orderer.Order, int64) { time.Sleep(lease + pause) }
		a.faults = func(_ context.Context, call keeper.Call) keeper.Verdict {
			if call.Kind == "keepalive" && a.counters.Sent.Load() > 0 {
				time.Sleep(lease + pause)
			}

			return keeper.Verdict{}
		}
		start(a)

		for a.counters.Sent.Load() == 0 {
			time.Sleep(100 * time.Millisecond)
		}

		w.desire("v2")
		w.change(func() { w.candidate["a"], w.candidate["b"] = false, true })
		start(b)
		time.Sleep(converged)

		checkModels(t, w, "v2")
		assert.Equal(t, len(w.engines["ignores"].took), 3, "load v1, load v2, unload v1")
		checkOrder(t, "ignores", w.engines["ignores"])
	})
}

// Symptom: orders of a node whose lease ended long ago.
// Events: the node is paused after it read the engines, and wakes after its lease.
// Cause: it sends what it decided without a new look at its clock.
func TestPausedBeforeCheckSendsNothing(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld(nil, map[string]*fakeEngine{"checks": {checks: true}})
		w.current.Desired.Role = "decode"
		a := w.node("a")
		a.beforeCheck = func() {
			time.Sleep(2 * lease)
		}
		a.faults = func(_ context.Context, call keeper.Call) keeper.Verdict {
			if call.Kind == "keepalive" {
				time.Sleep(2 * lease)
			}

			return keeper.Verdict{}
		}
		start(a)
		time.Sleep(2*lease + time.Second)
		w.change(func() { w.candidate["a"] = false })
		time.Sleep(2 * lease)

		assert.Equal(t, len(a.sent), 0)
		assert.Equal(t, a.counters.NotSent.Load(), int64(1))
	})
}

// Symptom: an engine that checks numbers takes an order of an earlier orderer all the same.
// Events: the order is on its way while the next orderer takes over and finds nothing to order.
// Cause: the engine has not seen the new number.
func TestNextOrdererShowsItsNumber(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1", "v2"}, map[string]*fakeEngine{"checks": {checks: true}})
		w.engines["checks"].state.Models = []string{"v1"}
		a, b := w.node("a"), w.node("b")
		w.candidate["b"] = false
		a.beforeSend = func(orderer.Order, int64) { time.Sleep(10 * lease) }
		a.faults = func(_ context.Context, call keeper.Call) keeper.Verdict {
			if call.Kind == "keepalive" {
				time.Sleep(10 * lease)
			}

			return keeper.Verdict{}
		}
		start(a)
		time.Sleep(lease)
		assert.Equal(t, a.counters.Sent.Load(), int64(1))
		w.desire("v1")
		w.change(func() { w.candidate["a"], w.candidate["b"] = false, true })
		start(b)
		time.Sleep(20 * lease)

		checkModels(t, w, "v1")
		assert.Equal(t, w.engines["checks"].refused, 1)
		assert.Equal(t, len(w.engines["checks"].took), 1)
	})
}

// restart puts an engine back to nothing.
func (w *world) restart(name string) {
	w.engines[name].state = orderer.State{}
}

// Symptom: an engine that came back serves nothing until somebody notices.
// Events: an engine restarts and holds nothing.
// Cause: orders that are steps, sent once, instead of a state that is looked at again.
func TestRestartedEngineIsOrderedAgain(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1"}, both())
		start(w.node("a"))
		time.Sleep(converged)
		w.change(func() { w.restart("checks"); w.restart("ignores") })
		time.Sleep(5 * time.Second)
		checkModels(t, w, "v1")
	})
}

// Symptom: a swap of models never ends.
// Events: the engine has no room for the new model beside the old.
// Cause: the load that fails holds back the unload that would make room.
func TestSwapWithoutRoom(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v2"}, map[string]*fakeEngine{"checks": {checks: true, room: 1}})
		w.engines["checks"].state.Models = []string{"v1"}
		start(w.node("a"))
		time.Sleep(converged)
		checkModels(t, w, "v2")
	})
}

// Symptom: one server after the other stops serving although nothing was taken from service.
// Events: an operator mistypes the name of a new model; no engine can load it.
// Cause: each engine makes room for what never comes.
func TestModelThatCannotBeLoadedEmptiesOneEngine(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		engines := map[string]*fakeEngine{}
		for _, name := range []string{"e1", "e2", "e3", "e4"} {
			engines[name] = &fakeEngine{checks: true, room: 1, state: orderer.State{Models: []string{"v1"}}, unknown: "typo"}
		}

		w := newWorld([]string{"typo"}, engines)
		start(w.node("a"))
		time.Sleep(time.Hour)

		left := 0
		for name := range engines {
			left += len(w.models(name))
		}

		assert.Equal(t, left, 3)

		w.desire("v2")
		time.Sleep(10 * time.Minute)
		checkModels(t, w, "v2")
	})
}

// What ordering costs while nothing changes, by the default bounds: one holder of 32 engines, one
// node that waits for the lease, and one that is no candidate.
func TestCallsOfAQuietHour(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		engines := map[string]*fakeEngine{}
		for i := range 32 {
			engines[fmt.Sprintf("e%02d", i)] = &fakeEngine{checks: true}
		}

		w := newWorld([]string{"v1"}, engines)
		w.current.Orders = configurer.Orders{}
		calls := map[string]map[string]int{}

		for _, name := range []string{"holds", "waits", "looks on"} {
			n := w.node(name)
			w.change(func() {
				w.candidate[name] = name != "looks on"
				calls[name] = map[string]int{}
			})
			n.faults = func(_ context.Context, call keeper.Call) keeper.Verdict {
				w.change(func() { calls[name][call.Kind]++ })

				return keeper.Verdict{}
			}
			n.beforeCheck = func() { w.change(func() { calls[name]["state"]++ }) }
			start(n)
			time.Sleep(time.Second)
		}

		time.Sleep(time.Hour)

		w.change(func() {
			for _, v := range calls {
				clear(v)
			}
		})
		time.Sleep(time.Hour)
		w.mu.Lock()
		defer w.mu.Unlock()

		assert.Equal(t, fmt.Sprint(calls), "map[holds:map[keepalive:1080 state:14400] looks on:map[] waits:map[get:1080]]")
	})
}

// Symptom: a change of the tree takes the longer the more engines a service has.
// Events: the desired state changes right after a look at forty engines, of which a few are read a second.
// Cause: the orderer sleeps until its next look whatever happens.
func TestChangeWakesOrderer(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		engines := map[string]*fakeEngine{}
		for i := range 40 {
			engines[fmt.Sprintf("e%02d", i)] = &fakeEngine{checks: true, state: orderer.State{Role: "decode", HighestFencing: 1}}
		}

		w := newWorld(nil, engines)
		w.current.Desired.Role = "decode"
		start(w.node("a"))
		time.Sleep(100*time.Second + time.Millisecond)
		w.change(func() { w.current.Desired.Role = "prefill" })
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()

		for _, e := range engines {
			assert.Equal(t, e.state.Role, "prefill")
		}
	})
}
