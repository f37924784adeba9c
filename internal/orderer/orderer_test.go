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
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v1"}, bothKinds())
		c.engines["ignores"].state = orderer.State{Models: []string{"v0"}, Adapters: []string{"old"}}
		c.current.Desired.Adapters, c.current.Desired.Role = []string{"bagni"}, "decode"
		n := c.node("a")
		start(n)
		time.Sleep(convergenceTime)

		checkModels(t, c, "v1")

		for _, e := range c.engines {
			assert.DeepEqual(t, e.state.Adapters, []string{"bagni"})
			assert.Equal(t, e.state.Role, "decode")
		}

		before := n.counters.Sent.Load()
		time.Sleep(time.Hour)
		assert.Equal(t, n.counters.Sent.Load(), before, "orders are sent although the engines have the desired state")
	})
}

// Guards against an engine that goes back to a replaced model long after the change. A node checks its lease and is paused
// before it sends an order. The lease ends, the tree changes, and another node brings all engines to the new state. Then the
// first node resumes and sends its order. No check of a clock can close the gap between check and send, so the engine's own
// check or a later read of the state has to.
func TestPausedBetweenCheckAndSend(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v1"}, bothKinds())
		wake := make(chan struct{})
		resume := sync.OnceFunc(func() { close(wake) })
		defer resume()

		a, b := c.node("a"), c.node("b")
		c.candidate["b"] = false

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
		time.Sleep(lease + longestPause - time.Second)
		c.setDesiredModels("v2")
		c.update(func() { c.candidate["a"], c.candidate["b"] = false, true })
		start(b)
		time.Sleep(convergenceTime)
		checkModels(t, c, "v2")

		resume()
		time.Sleep(convergenceTime)

		checkModels(t, c, "v2")
		checkNumbersAscend(t, "checks", c.engines["checks"])
		assert.Equal(t, c.engines["checks"].refused, 1)
		assert.Equal(t, a.counters.RefusedByFencing.Load(), int64(1))
	})
}

// Guards against an engine that ignores fencing numbers changing to the old model and back. As above, but the pause is not
// longer than allowed for: the new orderer must not send orders before the last order of the earlier one can have arrived.
func TestPauseAllowedForIsWaitedOut(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v1"}, map[string]*fakeEngine{"ignores": {}})
		a, b := c.node("a"), c.node("b")
		c.candidate["b"] = false
		a.beforeSend = func(orderer.Order, int64) { time.Sleep(lease + longestPause) }
		a.faults = func(_ context.Context, call keeper.Call) keeper.Verdict {
			if call.Kind == "keepalive" && a.counters.Sent.Load() > 0 {
				time.Sleep(lease + longestPause)
			}

			return keeper.Verdict{}
		}
		start(a)

		for a.counters.Sent.Load() == 0 {
			time.Sleep(100 * time.Millisecond)
		}

		c.setDesiredModels("v2")
		c.update(func() { c.candidate["a"], c.candidate["b"] = false, true })
		start(b)
		time.Sleep(convergenceTime)

		checkModels(t, c, "v2")
		assert.Equal(t, len(c.engines["ignores"].applied), 3, "load v1, load v2, unload v1")
		checkNumbersAscend(t, "ignores", c.engines["ignores"])
	})
}

// Guards against orders of a node whose lease ended long ago. The node is paused after it has read the engines and resumes
// after the end of its lease. It must check its clock again before it sends.
func TestPausedBeforeCheckSendsNothing(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster(nil, map[string]*fakeEngine{"checks": {checksFencing: true}})
		c.current.Desired.Role = "decode"
		a := c.node("a")
		a.afterStateRead = func() {
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
		c.update(func() { c.candidate["a"] = false })
		time.Sleep(2 * lease)

		assert.Equal(t, len(a.sentNumbers), 0)
		assert.Equal(t, a.counters.NotSent.Load(), int64(1))
	})
}

// Guards against an engine that checks fencing numbers but accepts an order of an earlier orderer. The order is in transit
// while the next orderer takes over and has no orders due, so that the engine has not seen the new number.
func TestNewOrdererRaisesFencingNumber(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v1", "v2"}, map[string]*fakeEngine{"checks": {checksFencing: true}})
		c.engines["checks"].state.Models = []string{"v1"}
		a, b := c.node("a"), c.node("b")
		c.candidate["b"] = false
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
		c.setDesiredModels("v1")
		c.update(func() { c.candidate["a"], c.candidate["b"] = false, true })
		start(b)
		time.Sleep(20 * lease)

		checkModels(t, c, "v1")
		assert.Equal(t, c.engines["checks"].refused, 1)
		assert.Equal(t, len(c.engines["checks"].applied), 1)
	})
}

// restart makes an engine lose its state.
func (c *cluster) restart(name string) {
	c.engines[name].state = orderer.State{}
}

// Guards against an engine that serves nothing after a restart, which loses its state. Orders that were sent once as steps
// would not be repeated; a desired state that is compared again in each round is restored.
func TestRestartedEngineIsOrderedAgain(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v1"}, bothKinds())
		start(c.node("a"))
		time.Sleep(convergenceTime)
		c.update(func() { c.restart("checks"); c.restart("ignores") })
		time.Sleep(5 * time.Second)
		checkModels(t, c, "v1")
	})
}

// Guards against a model replacement that never finishes. The engine can't hold both models, and the failing load must not
// block the unload of the old one.
func TestSwapWithoutRoom(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v2"}, map[string]*fakeEngine{"checks": {checksFencing: true, maxModels: 1}})
		c.engines["checks"].state.Models = []string{"v1"}
		start(c.node("a"))
		time.Sleep(convergenceTime)
		checkModels(t, c, "v2")
	})
}

// Guards against engines that stop serving one after the other. An operator mistypes the name of a new model, which no engine
// can load, and each engine unloads the old model to make room for it.
func TestModelThatCannotBeLoadedEmptiesOneEngine(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		engines := map[string]*fakeEngine{}
		for _, name := range []string{"e1", "e2", "e3", "e4"} {
			engines[name] = &fakeEngine{checksFencing: true, maxModels: 1, state: orderer.State{Models: []string{"v1"}}, invalidModel: "typo"}
		}

		c := newCluster([]string{"typo"}, engines)
		start(c.node("a"))
		time.Sleep(time.Hour)

		left := 0
		for name := range engines {
			left += len(c.models(name))
		}

		assert.Equal(t, left, 3)

		c.setDesiredModels("v2")
		time.Sleep(10 * time.Minute)
		checkModels(t, c, "v2")
	})
}

// Counts the calls in an hour without changes, with the default settings: of the holder for 32 engines, of a node that waits
// for the lease, and of one that isn't a candidate.
func TestCallsOfAQuietHour(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		engines := map[string]*fakeEngine{}
		for i := range 32 {
			engines[fmt.Sprintf("e%02d", i)] = &fakeEngine{checksFencing: true}
		}

		c := newCluster([]string{"v1"}, engines)
		c.current.Orders = configurer.Orders{}
		calls := map[string]map[string]int{}

		for _, name := range []string{"holds", "waits", "looks on"} {
			n := c.node(name)
			c.update(func() {
				c.candidate[name] = name != "looks on"
				calls[name] = map[string]int{}
			})
			n.faults = func(_ context.Context, call keeper.Call) keeper.Verdict {
				c.update(func() { calls[name][call.Kind]++ })

				return keeper.Verdict{}
			}
			n.afterStateRead = func() { c.update(func() { calls[name]["state"]++ }) }
			start(n)
			time.Sleep(time.Second)
		}

		time.Sleep(time.Hour)

		c.update(func() {
			for _, v := range calls {
				clear(v)
			}
		})
		time.Sleep(time.Hour)
		c.mu.Lock()
		defer c.mu.Unlock()

		assert.Equal(t, fmt.Sprint(calls), "map[holds:map[keepalive:1080 state:14400] looks on:map[] waits:map[get:1080]]")
	})
}

// Guards against changes of the tree that take longer the more engines a service has. The desired state changes right after
// forty engines were read, at a limited rate of reads. The orderer must not sleep until the next round in spite of the change.
func TestChangeWakesOrderer(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		engines := map[string]*fakeEngine{}
		for i := range 40 {
			engines[fmt.Sprintf("e%02d", i)] = &fakeEngine{checksFencing: true, state: orderer.State{Role: "decode", HighestFencing: 1}}
		}

		c := newCluster(nil, engines)
		c.current.Desired.Role = "decode"
		start(c.node("a"))
		time.Sleep(100*time.Second + time.Millisecond)
		c.update(func() { c.current.Desired.Role = "prefill" })
		time.Sleep(2 * time.Second)
		c.mu.Lock()
		defer c.mu.Unlock()

		for _, e := range engines {
			assert.Equal(t, e.state.Role, "prefill")
		}
	})
}
