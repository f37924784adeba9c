package cataloguer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

// returning is a catalog with a clock, to which registries of a store that returns from copies are applied.
type returning struct {
	*cataloguer.Catalog

	now time.Duration
}

func newReturning() *returning {
	r := &returning{now: time.Hour}
	r.Catalog = cataloguer.New(func() time.Duration { return r.now })

	return r
}

// apply applies a registry at a position and returns the IDs of the upstreams that may be used.
func (r *returning) apply(era, revision int64, upstreams ...cataloguer.Upstream) []string {
	listing := cataloguer.Listing{Position: storer.Position{Era: era, Revision: revision}, Upstreams: upstreams}
	r.ApplyRegistry(cataloguer.NewRegistry(listing), false)

	return r.usable()
}

func (r *returning) usable() []string {
	var usable []string

	for upstream := range r.State().Registry.Upstreams.All() {
		if !upstream.Draining {
			usable = append(usable, upstream.ID)
		}
	}

	return usable
}

// Guards against a node that goes back to what the store had lost, and one that drops what came after its return.
func TestRegistryOfALaterEraIsNewer(t *testing.T) {
	a, b := cataloguer.Upstream{ID: "a"}, cataloguer.Upstream{ID: "b"}
	r := newReturning()

	assert.DeepEqual(t, r.apply(1, 90, a), []string{"a"})
	assert.DeepEqual(t, r.apply(2, 7, a, b), []string{"a", "b"})
	assert.DeepEqual(t, r.apply(1, 95, a), []string{"a", "b"})
	assert.Equal(t, r.State().Registry.Position, storer.Position{Era: 2, Revision: 7})

	r.AdvanceRegistry(r.State().Digest, storer.Position{Era: 1, Revision: 99}, 0)
	assert.Equal(t, r.State().Registry.Position, storer.Position{Era: 2, Revision: 7})
	r.AdvanceRegistry(r.State().Digest, storer.Position{Era: 3, Revision: 2}, 0)
	assert.Equal(t, r.State().Registry.Position, storer.Position{Era: 3, Revision: 2})

	returns := r.TakeStoreReturns()
	assert.Equal(t, len(returns), 2)
	assert.Equal(t, returns[0].From, storer.Position{Era: 1, Revision: 90})
	assert.Equal(t, returns[1].To, storer.Position{Era: 3, Revision: 2})
	assert.Equal(t, r.State().StoreReturns, int64(2))
	assert.Equal(t, len(r.TakeStoreReturns()), 0)
}

// Guards against an upstream that is used again since a copy of the store doesn't know that it leaves.
func TestLeavingUpstreamStaysSoUnlessItRunsAnew(t *testing.T) {
	ready, leaving := cataloguer.Upstream{ID: "a", Born: 5}, cataloguer.Upstream{ID: "a", Born: 5, Draining: true}
	r := newReturning()

	r.apply(1, 10, ready)
	assert.Equal(t, len(r.apply(1, 11, leaving)), 0)
	assert.Equal(t, len(r.apply(2, 8, ready)), 0)
	assert.Equal(t, r.State().Registry.RetainedUpstreams, 1)

	r.now += time.Hour
	assert.Equal(t, len(r.apply(2, 9, ready)), 0)
	assert.Equal(t, len(r.apply(3, 1, ready)), 0)

	// The upstream has written again, and the registry is the store's.
	assert.Equal(t, len(r.apply(3, 2, leaving)), 0)
	assert.Equal(t, r.State().Registry.RetainedUpstreams, 0)

	assert.DeepEqual(t, r.apply(3, 3, cataloguer.Upstream{ID: "a", Born: 6}), []string{"a"})
}

// Guards against an upstream that had gone and is used again since a copy of the store lists it.
func TestDepartedUpstreamStaysAway(t *testing.T) {
	a, b := cataloguer.Upstream{ID: "a"}, cataloguer.Upstream{ID: "b"}

	t.Run("until its removal is written again", func(t *testing.T) {
		r := newReturning()
		r.apply(1, 10, a, b)
		r.apply(1, 11, a)
		assert.DeepEqual(t, r.apply(2, 9, a, b), []string{"a"})
		assert.DeepEqual(t, r.apply(2, 10, a), []string{"a"})
		// It registers again.
		assert.DeepEqual(t, r.apply(2, 11, a, b), []string{"a", "b"})
	})

	t.Run("unless its entry stands for long", func(t *testing.T) {
		r := newReturning()
		r.apply(1, 10, a, b)
		r.apply(1, 11, a)
		assert.DeepEqual(t, r.apply(2, 9, a, b), []string{"a"})
		r.now += 9 * time.Second
		assert.DeepEqual(t, r.apply(2, 12, a, b), []string{"a"})
		r.now += 2 * time.Second
		assert.DeepEqual(t, r.apply(2, 12, a, b), []string{"a", "b"})
	})

	t.Run("for good if it had said that it leaves", func(t *testing.T) {
		r := newReturning()
		r.apply(1, 10, a, b)
		r.apply(1, 11, a, cataloguer.Upstream{ID: "b", Draining: true})
		r.apply(1, 12, a)
		r.apply(2, 9, a, b)
		r.now += time.Minute
		assert.DeepEqual(t, r.apply(2, 10, a, b), []string{"a"})
	})

	t.Run("at a node that starts in between", func(t *testing.T) {
		r, started := newReturning(), newReturning()
		r.apply(1, 10, a, b)
		r.apply(1, 11, a)
		r.now += 3 * time.Second
		started.AddDepartures(r.Departures())
		assert.DeepEqual(t, started.apply(2, 9, a, b), []string{"a"})
	})

	t.Run("but not where it came back in the same era", func(t *testing.T) {
		r := newReturning()
		r.apply(1, 10, a, b)
		r.apply(1, 11, a)
		assert.DeepEqual(t, r.apply(1, 12, a, b), []string{"a", "b"})
	})
}

// Guards against upstreams that live and are dropped since the copy was made before they registered.
func TestUpstreamThatTheCopyLacksIsKeptForAWhile(t *testing.T) {
	a, b := cataloguer.Upstream{ID: "a"}, cataloguer.Upstream{ID: "b"}
	r := newReturning()

	r.apply(1, 10, a, b)
	assert.DeepEqual(t, r.apply(2, 9, a), []string{"a", "b"})
	r.now += 2 * time.Second
	assert.DeepEqual(t, r.apply(2, 10, a), []string{"a", "b"})
	r.now += 300 * time.Millisecond
	assert.DeepEqual(t, r.apply(2, 10, a), []string{"a"})
}

// Guards against an upstream that has left and gets requests again: a node that stood still meanwhile takes its next read for one after an
// outage, retains the upstream as it knew it, and passes it on at a newer position.
func TestUpstreamThatLeftDoesNotReturnFromANodeThatStoodStill(t *testing.T) {
	node, _ := newCatalog()
	paused, _ := newCatalog()

	node.ApplyRegistry(registry(24, "a", "b"), false)
	paused.ApplyRegistry(registry(24, "a", "b"), false)

	// b leaves while the other node stands still.
	node.ApplyRegistry(registry(35, "a"), false)
	assert.DeepEqual(t, ids(node), []string{"a"})

	paused.ApplyRegistry(registry(36, "a"), true)
	node.ApplyRegistry(paused.State().Registry, false)
	assert.DeepEqual(t, ids(node), []string{"a"})
}
