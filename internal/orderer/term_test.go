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

// Guards against two nodes that alternately send orders to the same engines, from different trees. Both consider themselves
// the candidate, and their calls to the store interleave. Neither being the candidate nor a read that found no lease may
// suffice for sending orders.
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
			runSimulation(t, func(t *testing.T, start func(*node)) {
				c := newCluster([]string{"v1"}, bothKinds())
				a, b := c.node("a"), c.node("b")
				a.faults, b.faults = faults[0], faults[1]
				start(a)
				start(b)
				time.Sleep(convergenceTime)

				checkModels(t, c, "v1")
				assert.Equal(t, a.counters.TermsAcquired.Load()+b.counters.TermsAcquired.Load(), int64(1))
				assert.Assert(t, len(a.sentNumbers) == 0 || len(b.sentNumbers) == 0)
			})
		})
	}
}

// Guards against orders that are sent after the store has ended the lease. Replies of the store are late, and later calls
// don't reach it. The lease must be measured from before the call and not from its reply.
func TestLeaseIsCountedFromBeforeTheCall(t *testing.T) {
	for _, kind := range []string{"grant", "keepalive"} {
		t.Run(kind, func(t *testing.T) {
			runSimulation(t, func(t *testing.T, start func(*node)) {
				c := newCluster(nil, map[string]*fakeEngine{"checks": {checksFencing: true}})
				c.current.Desired.Role = "decode"
				a := c.node("a")
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

				ended := c.waitForLeaseEnd(t)
				assert.Assert(t, len(c.engines["checks"].applied) > 0)

				for _, v := range c.engines["checks"].applied {
					assert.Assert(t, v.number > 1 || v.at.Before(ended))
				}
			})
		})
	}
}

// waitForLeaseEnd returns the time at which the service's first lease in the store ended. It keeps orders due until a
// second after that.
func (c *cluster) waitForLeaseEnd(t *testing.T) time.Time {
	t.Helper()

	var ended time.Time

	// An offset from multiples of 10 ms, at which orders are sent and read back.
	time.Sleep(3 * time.Millisecond)

	for seen := false; ended.IsZero() || time.Since(ended) < time.Second; time.Sleep(10 * time.Millisecond) {
		c.update(func() { c.engines["checks"].state.Role = "" })

		kv, _, err := keeper.NewLocal(c.store, nil).Get(t.Context(), "/quincepath/orderer/"+service+"/lease")
		assert.NilError(t, err)

		if seen = seen || kv.Version > 0; seen && kv.Version == 0 && ended.IsZero() {
			ended = time.Now()
		}
	}

	return ended
}

// Guards against two terms with the same fencing number, between which an engine can't distinguish. The transaction that
// claims the number loses its request or its reply, or is applied late. A number must not be used without a confirmed claim,
// nor be claimed twice.
func TestLostReplyOnClaimingNumber(t *testing.T) {
	tests := map[string]keeper.Verdict{
		"request lost":  {LoseRequest: true},
		"reply lost":    {LoseReply: true},
		"applied late":  {DelayBefore: lease / 2},
		"applied later": {DelayBefore: 3 * lease},
		"reply late":    {DelayAfter: 3 * lease},
	}

	for name, verdict := range tests {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, func(t *testing.T, start func(*node)) {
				c := newCluster([]string{"v1"}, bothKinds())
				a, b := c.node("a"), c.node("b")
				a.faults, b.faults = firstTwoCalls("txn", verdict), firstTwoCalls("txn", verdict)
				start(a)
				start(b)
				time.Sleep(convergenceTime)

				checkModels(t, c, "v1")

				for _, number := range a.sentNumbers {
					for _, other := range b.sentNumbers {
						assert.Assert(t, number != other)
					}
				}

				checkNumbersAscend(t, "ignores", c.engines["ignores"])
			})
		})
	}
}

// firstTwoCalls injects a fault into the first two calls of a kind.
func firstTwoCalls(kind string, verdict keeper.Verdict) keeper.Faults {
	left := 2

	return func(_ context.Context, call keeper.Call) keeper.Verdict {
		if call.Kind != kind || left == 0 {
			return keeper.Verdict{}
		}

		left--

		return verdict
	}
}

// Guards against a node that keeps sending orders although it can't renew its lease. The platform's store is down for longer
// than the lease, and engines restart meanwhile.
func TestOutageEndsOrders(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v1"}, bothKinds())
		a := c.node("a")
		start(a)
		time.Sleep(convergenceTime)
		c.update(func() { c.outage = true })
		time.Sleep(lease)

		sent := len(a.sentNumbers)

		c.update(func() { c.restart("checks"); c.restart("ignores") })
		time.Sleep(time.Hour)
		assert.Equal(t, len(a.sentNumbers), sent)
		assert.Equal(t, a.counters.TermsLost.Load(), int64(1))

		c.update(func() { c.outage = false })
		time.Sleep(convergenceTime)
		checkModels(t, c, "v1")
		assert.Equal(t, c.engines["checks"].state.HighestFencing, int64(2))
	})
}

// Guards against engines that refuse all orders after the store has lost its data. The engines still have the earlier fencing
// numbers, so numbers must not start at 1 again.
func TestNumbersLostByStoreAreNotUsedAgain(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v1"}, bothKinds())
		c.engines["checks"].state.HighestFencing = 41
		start(c.node("a"))
		time.Sleep(convergenceTime)
		checkModels(t, c, "v1")
		assert.Equal(t, c.engines["checks"].state.HighestFencing, int64(42))
		assert.Equal(t, c.engines["checks"].refused, 0)
	})
}

// Guards against changes that are not applied because a node that is no longer the candidate, but still runs, keeps its lease.
func TestFormerCandidateReleasesLease(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v1"}, map[string]*fakeEngine{"checks": {checksFencing: true}})
		a, b := c.node("a"), c.node("b")
		c.candidate["b"] = false
		start(a)
		start(b)
		time.Sleep(convergenceTime)
		c.update(func() { c.candidate["a"], c.candidate["b"] = false, true })
		c.setDesiredModels("v2")
		time.Sleep(lease)
		checkModels(t, c, "v2")
		assert.Equal(t, a.counters.TermsLost.Load(), int64(0))
	})
}

func TestServiceWithoutDesiredStateTakesNoLease(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster(nil, bothKinds())
		a := c.node("a")
		start(a)
		time.Sleep(time.Minute)
		assert.Equal(t, a.counters.TermsAcquired.Load(), int64(0))
		assert.Equal(t, c.store.Revision(), int64(1))
		c.update(func() {
			c.current.Upstreams["checks"] = configurer.Upstream{Name: "checks", ChecksFencing: true, Desired: configurer.Desired{Role: "decode"}}
		})
		time.Sleep(time.Minute)
		assert.Equal(t, c.engines["checks"].state.Role, "decode")
		assert.Equal(t, len(c.engines["ignores"].applied), 0)
	})
}

// Guards against an engine that refuses all orders permanently. The store has lost its fencing number, and the engine checks
// numbers but doesn't report the highest. A refusal must end the term, so that the next one has a higher number.
func TestRefusalEndsTerm(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v1"}, map[string]*fakeEngine{"checks": {checksFencing: true, hidesFencing: true}})
		c.engines["checks"].state.HighestFencing = 3
		start(c.node("a"))
		time.Sleep(convergenceTime)
		checkModels(t, c, "v1")
		assert.Equal(t, c.engines["checks"].refused, 2)
	})
}
