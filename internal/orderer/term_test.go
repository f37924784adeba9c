package orderer_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/standin/keeper"
)

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
				assert.Equal(t, a.counters.TermsAcquired.Load()+b.counters.TermsAcquired.Load(), int64(1))
				assert.Assert(t, len(a.sent) == 0 || len(b.sent) == 0)
			})
		})
	}
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
		assert.Equal(t, a.counters.TermsAcquired.Load(), int64(0))
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
