package orderer_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/orderer"
	keeper "quincepath.example/quincepath/internal/standin/platform"
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

		close(wake)
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
		time.Sleep(lease + pause + lease/2)
		assert.Equal(t, a.counters.Sent.Load(), int64(1))
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

// Symptom: two nodes order the same engines, in turns, with different trees.
// Events: both think that they are the candidate, and stay so.
// Cause: being the candidate is taken for the right to order.
func TestTwoCandidatesOneOrderer(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1"}, both())
		a, b := w.node("a"), w.node("b")
		start(a)
		start(b)
		time.Sleep(converged)

		checkModels(t, w, "v1")
		assert.Equal(t, a.counters.TermsTaken.Load()+b.counters.TermsTaken.Load(), int64(1))
		assert.Assert(t, len(a.sent) == 0 || len(b.sent) == 0)
	})
}

// Symptom: two terms share a fencing number, so that an engine can't tell the old from the new.
// Events: the transaction that takes the number loses its request or its reply, or is applied late.
// Cause: a number that is used without knowing that it was taken, or taken twice.
func TestLostReplyOnTakingNumber(t *testing.T) {
	tests := map[string]keeper.Verdict{
		"request lost":  {LoseRequest: true},
		"reply lost":    {LoseReply: true},
		"applied late":  {DelayBefore: lease / 2},
		"applied later": {DelayBefore: 3 * lease},
		"reply late":    {DelayAfter: 3 * lease},
	}

	for name, verdict := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, start func(*node)) {
				w := newWorld([]string{"v1"}, both())
				a, b := w.node("a"), w.node("b")
				a.faults, b.faults = twice("txn", verdict), twice("txn", verdict)
				start(a)
				start(b)
				time.Sleep(converged)

				checkModels(t, w, "v1")

				for _, number := range a.sent {
					for _, other := range b.sent {
						assert.Assert(t, number != other)
					}
				}

				checkOrder(t, "ignores", w.engines["ignores"])
			})
		})
	}
}

// twice returns a fault of the first two calls of a kind.
func twice(kind string, verdict keeper.Verdict) keeper.Faults {
	left := 2

	return func(_ context.Context, call keeper.Call) keeper.Verdict {
		if call.Kind != kind || left == 0 {
			return keeper.Verdict{}
		}

		left--

		return verdict
	}
}

// Symptom: a node goes on ordering while nobody can know that it does.
// Events: the platform's store is down for longer than the lease; engines restart meanwhile.
// Cause: a lease that is taken for granted while it can't be renewed.
func TestOutageEndsOrders(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1"}, both())
		a := w.node("a")
		start(a)
		time.Sleep(converged)
		w.change(func() { w.outage = true })
		time.Sleep(lease)

		sent := len(a.sent)

		w.change(func() { w.restart("checks"); w.restart("ignores") })
		time.Sleep(time.Hour)
		assert.Equal(t, len(a.sent), sent)
		assert.Equal(t, a.counters.TermsLost.Load(), int64(1))

		w.change(func() { w.outage = false })
		time.Sleep(converged)
		checkModels(t, w, "v1")
		assert.Equal(t, w.engines["checks"].state.HighestFencing, int64(2))
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

// Symptom: every number taken is refused, and engines stay as they are.
// Events: the store comes back empty after a loss; the engines remember numbers from before.
// Cause: numbers that begin at 1 again.
func TestNumbersLostByStoreAreNotUsedAgain(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1"}, both())
		w.engines["checks"].state.HighestFencing = 41
		start(w.node("a"))
		time.Sleep(converged)
		checkModels(t, w, "v1")
		assert.Equal(t, w.engines["checks"].state.HighestFencing, int64(42))
		assert.Equal(t, w.engines["checks"].refused, 0)
	})
}

// Symptom: an operator's change is not followed while this node is well.
// Events: the candidate changes; the earlier one lives on.
// Cause: a lease that is kept by a node that no longer orders.
func TestFormerCandidateGivesLeaseBack(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1"}, map[string]*fakeEngine{"checks": {checks: true}})
		a, b := w.node("a"), w.node("b")
		w.candidate["b"] = false
		start(a)
		start(b)
		time.Sleep(converged)
		w.change(func() { w.candidate["a"], w.candidate["b"] = false, true })
		w.desire("v2")
		time.Sleep(lease)
		checkModels(t, w, "v2")
		assert.Equal(t, a.counters.TermsLost.Load(), int64(0))
	})
}

func TestServiceWithoutDesiredStateTakesNoLease(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld(nil, both())
		a := w.node("a")
		start(a)
		time.Sleep(time.Minute)
		assert.Equal(t, a.counters.TermsTaken.Load(), int64(0))
		assert.Equal(t, w.store.Revision(), int64(1))
		w.change(func() {
			w.current.Upstreams["checks"] = configurer.Upstream{Name: "checks", ChecksFencing: true, Desired: configurer.Desired{Role: "decode"}}
		})
		time.Sleep(time.Minute)
		assert.Equal(t, w.engines["checks"].state.Role, "decode")
		assert.Equal(t, len(w.engines["ignores"].took), 0)
	})
}
