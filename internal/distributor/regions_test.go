package distributor_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
)

// inForceLimit is in how much virtual time a change must be in force everywhere.
const inForceLimit = 9 * time.Second

// Symptom: after two regions lost each other for an hour, one stays at old settings, or brings them back in the other.
// Sequence: no message passes between two regions of two failure domains each, and each sees only its own nodes; the
// store is with one, or reached by both; changes go on; a node starts in the other region; the cut ends.
// Cause: a region without the store has only peers as old as itself: they must go on serving, and not be believed.
func TestRegionsApartForAnHour(t *testing.T) {
	for name, reached := range map[string]bool{"store with one region": false, "store reached by both": true} {
		run(t, name, func(t *testing.T, f *fleet) {
			first := f.change("a")
			fell := f.startWatched(12)
			f.ready()
			time.Sleep(10 * time.Second)

			// The nodes' own map changes when the late one starts, while calls ask for a domain.
			domains := map[string]string{"late": "domain-3"}
			for _, n := range f.nodes {
				domains[n.self.Name] = n.self.FailureDomain
			}

			away := func(name string) bool { return domains[name] >= "domain-2" }
			cut := func(from, to string) bool { return away(from) != away(to) }
			f.cut.Store(&cut)
			f.apart.Store(true)
			f.eachAway(away, func(n *node) { n.down.Store(!reached) })
			// Watches that are open bring nothing more; those with the store look at its head from time to time.
			f.store.SilenceWatches(!reached)

			newest := first
			for range 6 {
				time.Sleep(10 * time.Minute)
				newest = f.change("a")
				time.Sleep(inForceLimit)
				f.checkRevisions(t, away, reached, first, newest)
			}

			f.start("late", "domain-3").down.Store(!reached)
			time.Sleep(time.Minute)
			f.checkRevisions(t, away, reached, first, newest)

			f.cut.Store(new(func(string, string) bool { return false }))
			f.apart.Store(false)
			f.eachAway(away, func(n *node) { n.down.Store(false) })
			f.store.SilenceWatches(false)

			back := f.until(newest, time.Minute)
			after := f.until(f.change("a"), time.Minute)
			t.Logf("the newest settings in force everywhere %v after the cut, the next change %v after it was made", back, after)
			assert.Assert(t, back < inForceLimit, "%v", back)
			assert.Assert(t, after < inForceLimit, "%v", after)
			assert.Assert(t, !fell.Load(), "a node went back")
		})
	}
}

// startWatched starts nodes in four failure domains; the result is set once one of them goes back to an older revision.
func (f *fleet) startWatched(count int) *atomic.Bool {
	var fell atomic.Bool

	for i := range count {
		var last atomic.Int64

		f.subscribe = func(s configurer.Snapshot) { fell.Store(fell.Load() || last.Swap(s.Revision) > s.Revision) }
		f.start(fmt.Sprintf("node-%d", i), fmt.Sprintf("domain-%d", i%4))
	}

	f.subscribe = nil

	return &fell
}

func (f *fleet) eachAway(away func(name string) bool, do func(n *node)) {
	for name, n := range f.nodes {
		if away(name) {
			do(n)
		}
	}
}

// checkRevisions checks that all nodes serve, and that only a region that can't reach the store has the old settings.
func (f *fleet) checkRevisions(t *testing.T, away func(name string) bool, reached bool, old, newest int64) {
	t.Helper()

	for name, n := range f.nodes {
		want := newest
		if away(name) && !reached {
			want = old
		}

		assert.Assert(t, n.IsReady(), name)
		assert.Equal(t, n.Snapshot().Revision, want, name)
	}
}
