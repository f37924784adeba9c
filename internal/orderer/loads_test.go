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

// loadsOf returns the times at which loads began at any engine, in order.
func loadsOf(w *world) []time.Time {
	var times []time.Time

	for _, e := range w.engines {
		for _, v := range e.took {
			if v.order.Kind == orderer.LoadModel {
				times = append(times, v.at)
			}
		}
	}

	slices.SortFunc(times, time.Time.Compare)

	return times
}

// unshownLoadsOf returns the times at which loads were ordered from engines that did not show the model yet, in order.
func unshownLoadsOf(w *world, loadTime time.Duration) []time.Time {
	var times []time.Time

	for _, e := range w.engines {
		var shown time.Time

		for _, v := range e.took {
			if v.order.Kind != orderer.LoadModel || !shown.IsZero() && !v.at.Before(shown) {
				continue
			}

			times = append(times, v.at)
			shown = times[len(times)-1].Add(loadTime)
		}
	}

	slices.SortFunc(times, time.Time.Compare)

	return times
}

// Symptom: the weight store refuses loads, and none of them ends in time.
// Events: an operator desires a new model at twelve engines at once.
// Cause: loads that are not spread; all engines fetch the same weights at the same moment.
func TestWeightStoreLimits(t *testing.T) {
	const (
		perMinute = 6
		atOnce    = 3
		loadTime  = 45 * time.Second
	)

	play(t, func(t *testing.T, start func(*node)) {
		engines := map[string]*fakeEngine{}
		for i := range 12 {
			engines[fmt.Sprintf("e%02d", i)] = &fakeEngine{checks: true, loadTime: loadTime}
		}

		w := newWorld([]string{"v1"}, engines)
		w.current.Orders.LoadsPerMinute, w.current.Orders.LoadsAtOnce, w.current.Orders.LoadTimeout = perMinute, atOnce, time.Hour
		a := w.node("a")
		start(a)
		time.Sleep(10 * time.Minute)

		times := loadsOf(w)
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

// Symptom: a load that an engine lost is never done.
// Events: the engine takes the order to load and restarts before the model shows.
// Cause: a load that counts as under way for good.
func TestLostLoadIsOrderedAgain(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1"}, map[string]*fakeEngine{"checks": {checks: true, loadTime: 15 * time.Second}})
		a := w.node("a")
		start(a)
		time.Sleep(10 * time.Second)
		w.change(func() { w.restart("checks") })
		time.Sleep(time.Minute)
		checkModels(t, w, "v1")
		assert.Equal(t, len(loadsOf(w)), 2)
		assert.Equal(t, a.counters.ReadBackMismatches.Load(), int64(1))
	})
}

// Symptom: an engine that is about to stop fetches weights.
// Events: the desired models change while an upstream is leaving.
// Cause: the mark is looked at for requests only.
func TestLeavingUpstreamGetsNoOrders(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v1"}, both())
		w.current.Upstreams["checks"] = configurer.Upstream{Name: "checks", ChecksFencing: true, Leaving: true}
		start(w.node("a"))
		time.Sleep(converged)
		assert.DeepEqual(t, w.models("ignores"), []string{"v1"})
		assert.Equal(t, len(w.engines["checks"].took), 0)
	})
}

// Symptom: requests for a model fail although a server had it a moment ago.
// Events: a model is replaced or retired while requests run; loads of the new one take their time.
// Cause: an unload that does not ask whether another copy is there.
func TestLastCopyStays(t *testing.T) {
	tests := map[string]struct {
		// desired is each engine's own; a missing one means v2.
		desired map[string][]string
		running map[string]int
		leaving string
		// want is what the engines hold at the end.
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
			play(t, func(t *testing.T, start func(*node)) {
				w := newWorld([]string{"v2"}, map[string]*fakeEngine{"checks": {checks: true}, "other": {checks: true}})
				w.running = tt.running

				for name, e := range w.engines {
					e.state.Models = []string{"v1"}
					w.current.Upstreams[name] = configurer.Upstream{
						Name: name, ChecksFencing: true, Leaving: name == tt.leaving, Desired: configurer.Desired{Models: tt.desired[name]},
					}
				}

				start(w.node("a"))
				time.Sleep(converged)

				for name, want := range tt.want {
					assert.DeepEqual(t, w.models(name), want)
				}
			})
		})
	}
}

// Symptom: both copies of a model are gone while one of them was still desired to serve.
// Events: an unload is answered but takes effect late; the next unload counts that engine as a copy.
// Cause: a copy whose unload is on its way is relied on.
func TestLateUnloadIsNoCopy(t *testing.T) {
	play(t, func(t *testing.T, start func(*node)) {
		w := newWorld([]string{"v2"}, map[string]*fakeEngine{"checks": {checks: true}, "other": {checks: true}})
		w.running = map[string]int{"checks": 1, "other": 1}

		for _, e := range w.engines {
			e.state.Models = []string{"v1", "v2"}
		}

		a := w.node("a")
		late := 0
		a.drop = func(order orderer.Order) bool {
			if order.Kind == orderer.UnloadModel {
				late++
			}

			return order.Kind == orderer.UnloadModel
		}
		start(a)
		time.Sleep(converged)
		assert.Equal(t, len(w.models("checks"))+len(w.models("other")), 4)
		w.mu.Lock()
		defer w.mu.Unlock()

		assert.Assert(t, late > 1, "the late unload is ordered again")
		assert.Assert(t, a.dropped["checks"] == 0 || a.dropped["other"] == 0, "both copies were ordered away: %v", a.dropped)
	})
}

// Guards against a new orderer that doesn't know of its predecessor's loads and exceeds the loads at once with its own.
func TestLoadsAtOnceHoldThroughAChangeOfTheOrderer(t *testing.T) {
	const (
		atOnce   = 2
		loadTime = 2 * time.Minute
	)

	play(t, func(t *testing.T, start func(*node)) {
		engines := map[string]*fakeEngine{}
		for i := range 12 {
			engines[fmt.Sprintf("e%02d", i)] = &fakeEngine{checks: true, loadTime: loadTime}
		}

		w := newWorld([]string{"v1"}, engines)
		w.current.Orders.LoadsPerMinute, w.current.Orders.LoadsAtOnce, w.current.Orders.LoadTimeout = 60, atOnce, 10*time.Minute
		former, next := w.node("a"), w.node("b")
		w.change(func() { w.candidate["b"] = false })
		start(former)
		start(next)
		time.Sleep(30 * time.Second)

		w.change(func() { w.candidate["a"], w.candidate["b"] = false, true })
		time.Sleep(30 * time.Minute)

		// Orders that only show an engine the new fencing number load nothing.
		times := unshownLoadsOf(w, loadTime)
		assert.Equal(t, len(times), 12)

		for i := atOnce; i < len(times); i++ {
			assert.Assert(t, times[i].Sub(times[i-atOnce]) >= loadTime, "more than %d loads at once", atOnce)
		}
	})
}
