package orderer_test

import (
	"context"
	"strings"
	"sync"
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

// Symptom: two nodes order the same engines, in turns, with different trees.
// Events: both think that they are the candidate, and stay so; their calls of the store interleave.
// Cause: being the candidate, or a read that found no lease, is taken for the right to order.
func TestTwoCandidatesOneOrderer(t *testing.T) {
	slow := func(kind, key string) keeper.Faults {
		return func(_ context.Context, call keeper.Call) keeper.Verdict {
			if call.Kind == kind && strings.HasSuffix(call.Key, key) {
				return keeper.Verdict{DelayBefore: time.Second}
			}

			return keeper.Verdict{}
		}
	}
	tests := map[string][2]keeper.Faults{
		"no faults":                       {},
		"both read before either writes":  {slow("txn", ""), slow("txn", "")},
		"number read after the other won": {nil, slow("get", "/number")},
	}

	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, start func(*node)) {
				w := newWorld([]string{"v1"}, both())
				a, b := w.node("a"), w.node("b")
				a.faults, b.faults = faults[0], faults[1]
				start(a)
				start(b)
				time.Sleep(converged)

				checkModels(t, w, "v1")
				assert.Equal(t, a.counters.TermsTaken.Load()+b.counters.TermsTaken.Load(), int64(1))
				assert.Assert(t, len(a.sent) == 0 || len(b.sent) == 0)
			})
		})
	}
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

// Symptom: an order leaves after the store has ended the lease.
// Events: replies of the store come late, then none of its calls arrives.
// Cause: a lease that is counted from when its reply came.
func TestLeaseIsCountedFromBeforeTheCall(t *testing.T) {
	for _, kind := range []string{"grant", "keepalive"} {
		t.Run(kind, func(t *testing.T) {
			play(t, func(t *testing.T, start func(*node)) {
				w := newWorld(nil, map[string]*fakeEngine{"checks": {checks: true}})
				w.current.Desired.Role = "decode"
				a := w.node("a")
				renewals := 0
				a.faults = func(_ context.Context, call keeper.Call) keeper.Verdict {
					late := keeper.Verdict{DelayAfter: 1500 * time.Millisecond}

					switch {
					case call.Kind == "grant" && kind == "grant":
						return late
					case call.Kind == "keepalive" && kind == "keepalive" && renewals == 0:
						renewals++
						return late
					}

					return keeper.Verdict{LoseRequest: call.Kind == "keepalive"}
				}
				start(a)

				ended := w.leaseEnd(t)
				assert.Assert(t, len(w.engines["checks"].took) > 0)

				for _, v := range w.engines["checks"].took {
					assert.Assert(t, v.number > 1 || v.at.Before(ended))
				}
			})
		})
	}
}

// leaseEnd returns when the store's first lease of the service ended. Orders are due all the time until a second later.
func (w *world) leaseEnd(t *testing.T) time.Time {
	t.Helper()

	var ended time.Time

	// Never at the same moment as an order and its read-back, which come at whole tens.
	time.Sleep(3 * time.Millisecond)

	for seen := false; ended.IsZero() || time.Since(ended) < time.Second; time.Sleep(10 * time.Millisecond) {
		w.change(func() { w.engines["checks"].state.Role = "" })

		kv, _, err := keeper.NewLocal(w.store, nil).Get(t.Context(), "/quincepath/orderer/"+service+"/lease")
		assert.NilError(t, err)

		if seen = seen || kv.Version > 0; seen && kv.Version == 0 && ended.IsZero() {
			ended = time.Now()
		}
	}

	return ended
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

// Symptom: an engine refuses every order, for good.
// Events: the store has lost the numbers; the engine checks them but does not tell the highest.
// Cause: a refusal that does not end the term, so that no higher number is taken.
func TestRefusalEndsTerm(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1"}, map[string]*fakeEngine{"checks": {checks: true, hidesNumber: true}})
		w.engines["checks"].state.HighestFencing = 3
		start(w.node("a"))
		time.Sleep(converged)
		checkModels(t, w, "v1")
		assert.Equal(t, w.engines["checks"].refused, 2)
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
