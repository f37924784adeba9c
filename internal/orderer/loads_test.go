package orderer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/orderer"
)

// loadTimes returns the times at which engines accepted orders to load models, sorted.
func loadTimes(c *cluster) []time.Time {
	var times []time.Time

	for _, e := range c.engines {
		for _, v := range e.applied {
			if v.order.Kind == orderer.LoadModel {
				times = append(times, v.at)
			}
		}
	}

	slices.SortFunc(times, time.Time.Compare)

	return times
}

// newLoadTimes returns the times at which engines accepted orders to load a model that was not loaded yet, sorted.
func newLoadTimes(c *cluster, loadTime time.Duration) []time.Time {
	var times []time.Time

	for _, e := range c.engines {
		var loadedAt time.Time

		for _, v := range e.applied {
			if v.order.Kind != orderer.LoadModel || !loadedAt.IsZero() && !v.at.Before(loadedAt) {
				continue
			}

			times = append(times, v.at)
			loadedAt = times[len(times)-1].Add(loadTime)
		}
	}

	slices.SortFunc(times, time.Time.Compare)

	return times
}

// Guards against a weight store that refuses loads, so that none finishes in time. An operator desires a new model at twelve
// engines; without limits all of them fetch the same weights at once.
func TestWeightStoreLimits(t *testing.T) {
	const (
		perMinute = 6
		atOnce    = 3
		loadTime  = 45 * time.Second
	)

	runSimulation(t, func(t *testing.T, start func(*node)) {
		engines := map[string]*fakeEngine{}
		for i := range 12 {
			engines[fmt.Sprintf("e%02d", i)] = &fakeEngine{checksFencing: true, loadTime: loadTime}
		}

		c := newCluster([]string{"v1"}, engines)
		c.current.Orders.LoadsPerMinute, c.current.Orders.LoadsAtOnce, c.current.Orders.LoadTimeout = perMinute, atOnce, time.Hour
		a := c.node("a")
		start(a)
		time.Sleep(10 * time.Minute)

		times := loadTimes(c)
		assert.Equal(t, len(times), 12)

		for i, at := range times {
			if i > 0 {
				assert.Assert(t, at.Sub(times[i-1]) >= time.Minute/perMinute)
			}

			if i >= atOnce {
				assert.Assert(t, at.Sub(times[i-atOnce]) >= loadTime, "more than %d loads at once", atOnce)
			}
		}

		assert.Assert(t, a.counters.LoadsDeferred.Load() > 0)
	})
}

// Guards against a load that is never repeated. The engine accepts the order and restarts before the model appears in its
// state; the load must not stay pending for ever.
func TestLostLoadIsOrderedAgain(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v1"}, map[string]*fakeEngine{"checks": {checksFencing: true, loadTime: 15 * time.Second}})
		a := c.node("a")
		start(a)
		time.Sleep(10 * time.Second)
		c.update(func() { c.restart("checks") })
		time.Sleep(time.Minute)
		checkModels(t, c, "v1")
		assert.Equal(t, len(loadTimes(c)), 2)
		assert.Equal(t, a.counters.ReadBackMismatches.Load(), int64(1))
	})
}

// Guards against an engine that loads weights although it is about to stop. The desired models change while the upstream is
// leaving, which must prevent orders and not only requests.
func TestLeavingUpstreamGetsNoOrders(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v1"}, bothKinds())
		c.current.Upstreams["checks"] = configurer.Upstream{Name: "checks", ChecksFencing: true, Leaving: true}
		start(c.node("a"))
		time.Sleep(convergenceTime)
		assert.DeepEqual(t, c.models("ignores"), []string{"v1"})
		assert.Equal(t, len(c.engines["checks"].applied), 0)
	})
}

// Guards against requests that fail because no engine has their model any more. A model is replaced or retired while requests
// run and the new one is still loading; an unload must check whether another copy exists.
func TestLastCopyIsNotUnloaded(t *testing.T) {
	tests := map[string]struct {
		// desired has the desired models by engine; the default is v2.
		desired map[string][]string
		running map[string]int
		leaving string
		// want has the loaded models at the end by engine.
		want map[string][]string
	}{
		"idle":              {want: map[string][]string{"checks": {"v2"}, "other": {"v2"}}},
		"one busy":          {running: map[string]int{"other": 1}, want: map[string][]string{"checks": {"v2"}, "other": {"v1", "v2"}}},
		"both busy":         {running: map[string]int{"checks": 1, "other": 1}, want: map[string][]string{"checks": {"v2"}, "other": {"v1", "v2"}}},
		"other copy leaves": {running: map[string]int{"checks": 1}, leaving: "other", want: map[string][]string{"checks": {"v1", "v2"}, "other": {"v1"}}},
		"desired elsewhere": {
			desired: map[string][]string{"other": {"v1", "v2"}},
			want:    map[string][]string{"checks": {"v2"}, "other": {"v1", "v2"}},
		},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, func(t *testing.T, start func(*node)) {
				c := newCluster([]string{"v2"}, map[string]*fakeEngine{"checks": {checksFencing: true}, "other": {checksFencing: true}})
				c.running = tt.running

				for name, e := range c.engines {
					e.state.Models = []string{"v1"}
					c.current.Upstreams[name] = configurer.Upstream{
						Name: name, ChecksFencing: true, Leaving: name == tt.leaving, Desired: configurer.Desired{Models: tt.desired[name]},
					}
				}

				start(c.node("a"))
				time.Sleep(convergenceTime)

				for name, want := range tt.want {
					assert.DeepEqual(t, c.models(name), want)
				}
			})
		})
	}
}

// Guards against losing both copies of a model of which one is still needed. An unload is accepted but takes effect late, and
// the next unload must not count that engine as having a copy.
func TestPendingUnloadIsNotCountedAsCopy(t *testing.T) {
	runSimulation(t, func(t *testing.T, start func(*node)) {
		c := newCluster([]string{"v2"}, map[string]*fakeEngine{"checks": {checksFencing: true}, "other": {checksFencing: true}})
		c.running = map[string]int{"checks": 1, "other": 1}

		for _, e := range c.engines {
			e.state.Models = []string{"v1", "v2"}
		}

		a := c.node("a")
		unloads := 0
		a.drop = func(order orderer.Order) bool {
			if order.Kind == orderer.UnloadModel {
				unloads++
			}

			return order.Kind == orderer.UnloadModel
		}
		start(a)
		time.Sleep(convergenceTime)
		assert.Equal(t, len(c.models("checks"))+len(c.models("other")), 4)
		c.mu.Lock()
		defer c.mu.Unlock()

		assert.Assert(t, unloads > 1, "the unload is ordered again while it is late")
		assert.Assert(t, a.dropped["checks"] == 0 || a.dropped["other"] == 0, "unloads of both copies were ordered: %v", a.dropped)
	})
}

// Guards against exceeding the limit of concurrent loads after a handover: the new orderer must also count the pending loads
// of the previous one.
func TestLoadsAtOnceLimitSurvivesHandover(t *testing.T) {
	const (
		atOnce   = 2
		loadTime = 2 * time.Minute
	)

	runSimulation(t, func(t *testing.T, start func(*node)) {
		engines := map[string]*fakeEngine{}
		for i := range 12 {
			engines[fmt.Sprintf("e%02d", i)] = &fakeEngine{checksFencing: true, loadTime: loadTime}
		}

		c := newCluster([]string{"v1"}, engines)
		c.current.Orders.LoadsPerMinute, c.current.Orders.LoadsAtOnce, c.current.Orders.LoadTimeout = 60, atOnce, 10*time.Minute
		former, next := c.node("a"), c.node("b")
		c.update(func() { c.candidate["b"] = false })
		start(former)
		start(next)
		time.Sleep(30 * time.Second)

		c.update(func() { c.candidate["a"], c.candidate["b"] = false, true })
		time.Sleep(30 * time.Minute)

		// Excludes orders that only raise the fencing number at an engine and load nothing.
		times := newLoadTimes(c, loadTime)
		assert.Equal(t, len(times), 12)

		for i := atOnce; i < len(times); i++ {
			assert.Assert(t, times[i].Sub(times[i-atOnce]) >= loadTime, "more than %d loads at once", atOnce)
		}
	})
}
