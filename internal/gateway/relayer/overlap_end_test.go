package relayer_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/storer"
)

// suspicions records when requests broke off by what the relayer says of them.
type suspicions struct {
	brokenExchanges

	breaks atomic.Int64
}

// IsSuspected implements relayer.Quarantine.
func (s *suspicions) IsSuspected(_ []quarantiner.Part, brokeAt []time.Time) bool {
	s.breaks.Add(int64(len(brokeAt)))

	return false
}

// hangs is silent until the relayer leaves.
func hangs(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// Guards against sound upstreams that are ejected, and requests that count as crashing them, because another upstream was faster
// than the end of a short silence.
func TestOvertakenAttemptIsNoFailure(t *testing.T) {
	for name, path := range map[string]string{"stream": "/letter/1", "short answer": "/quote/1"} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
				broken := &suspicions{}
				w.quarantine = broken
				w.restart()
				w.add(hangs)
				w.add(resumesAfter(0))

				_, body, err := w.send(path, nil)
				assert.NilError(t, err)
				assert.Equal(t, body, sixEvents())
				synctest.Wait()
				assert.Equal(t, len(broken.list()), 0)
				assert.Equal(t, broken.breaks.Load(), int64(0))
				assert.DeepEqual(t, w.outcomesOf(), []string{"silent", "served"})
			})
		})
	}
}

// Guards against an upstream that hangs for good and of which neither its pool nor the quarantine hears, since each attempt is merely
// overtaken.
func TestUpstreamThatHangsForLongIsReported(t *testing.T) {
	inVirtualTime(t, 1000, func(t *testing.T, w *fixture) {
		var hanging atomic.Bool

		broken := &brokenExchanges{}
		w.quarantine = broken
		w.restart()
		hanging.Store(true)
		w.add(func(rw http.ResponseWriter, r *http.Request) {
			if hanging.Load() {
				hangs(rw, r)
			}

			respondWith(http.StatusOK, "answer")(rw, r)
		})
		w.add(respondWith(http.StatusOK, "answer"))

		w.list()

		// Requests every 0.2 s, each of which is overtaken after 0.4 s.
		outcomesFor := func(span time.Duration) map[string]int {
			w.mu.Lock()
			from := len(w.chosen)
			w.mu.Unlock()

			for range span / (200 * time.Millisecond) {
				go func() { _, _, _ = w.send("/quote/1", nil) }()

				time.Sleep(200 * time.Millisecond)
			}

			time.Sleep(time.Second)
			w.mu.Lock()
			defer w.mu.Unlock()

			outcomes := make(map[string]int)
			for _, id := range w.chosen[from:] {
				outcomes[w.ends[id][0]]++
			}

			return outcomes
		}

		outcomes := outcomesFor(4 * time.Second)
		assert.Equal(t, outcomes["silent"], 20, "%v", outcomes)
		assert.Equal(t, len(broken.list()), 20)

		hanging.Store(false)
		assert.DeepEqual(t, outcomesFor(time.Second), map[string]int{"served": 5})

		hanging.Store(true)
		assert.DeepEqual(t, outcomesFor(time.Second), map[string]int{"served": 5, "silent": 5})
	})
}

// Guards against a request that crashes machines without a trace, as each of its attempts is overtaken before the upstream is known
// to be gone: the quarantine learns of it once a sound upstream would have gone on. One that has left by plan until then, or started
// again, is none that crashed.
func TestQuarantineLearnsOfALongSilence(t *testing.T) {
	for name, c := range map[string]struct {
		// change is what happens to the first upstream within the two seconds.
		change func(w *fixture)
		want   []string
	}{
		"nothing": {change: func(*fixture) {}, want: []string{"u0"}},
		"left": {change: func(w *fixture) {
			w.upstreams = w.upstreams[1:]
			w.list()
		}},
		"draining":  {change: func(w *fixture) { w.listAs(cataloguer.Upstream{Draining: true}) }},
		"restarted": {change: func(w *fixture) { w.listAs(cataloguer.Upstream{Born: 7}) }},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 10, func(t *testing.T, w *fixture) {
				broken := &brokenExchanges{}
				w.quarantine = broken
				w.restart()
				w.add(hangs)
				w.add(respondWith(http.StatusOK, "answer"))
				w.list()

				_, _, err := w.send("/quote/1", nil)
				assert.NilError(t, err)
				assert.Equal(t, len(broken.list()), 0)

				time.Sleep(time.Second)
				c.change(w)
				time.Sleep(time.Second)
				synctest.Wait()
				assert.DeepEqual(t, broken.list(), c.want)
			})
		})
	}
}

// listAs lists the first upstream with the given state.
func (w *fixture) listAs(state cataloguer.Upstream) {
	state.ID, state.Service, state.Address, state.Slots = w.upstreams[0].name, "s", w.upstreams[0].address, 1
	listing := cataloguer.Listing{
		Position:  storer.Position{Revision: w.catalog.State().Registry.Position.Revision + 1},
		Upstreams: []cataloguer.Upstream{state},
	}
	w.catalog.ApplyFreshRegistry(cataloguer.NewRegistry(listing), false, w.now)
}
