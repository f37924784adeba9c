package cataloguer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

// listing returns a registry of upstreams in which a node retains some.
func listing(revision int64, retained int, upstreams ...cataloguer.Upstream) cataloguer.Registry {
	return cataloguer.NewRegistry(cataloguer.Listing{
		Position: storer.Position{Revision: revision}, RetainedUpstreams: retained, Upstreams: upstreams,
	})
}

// Guards against an upstream that is retained for its whole grace period by a node, and by those that follow it, although another
// node has seen it leave: nobody tells the node that retains it.
func TestRetentionEndsOnceAnotherNodeSawTheUpstreamLeave(t *testing.T) {
	for _, readsAfterwards := range []bool{false, true} {
		node, _ := newCatalog()
		paused, clock := newCatalog()

		node.ApplyRegistry(registry(24, "a", "b", "c"), false)
		paused.ApplyRegistry(registry(24, "a", "b", "c"), false)
		node.ApplyRegistry(registry(35, "a", "c"), false)

		// Nobody has seen c leave.
		paused.ApplyFreshRegistry(registry(36, "a"), true, clock.now)
		assert.DeepEqual(t, ids(paused), []string{"a", "b", "c"})
		node.ApplyRegistry(paused.State().Registry, false)
		assert.DeepEqual(t, ids(node), []string{"a", "c"})

		paused.AddDepartures(node.HeldDepartures())

		if readsAfterwards {
			paused.ApplyFreshRegistry(registry(36, "a"), false, clock.now)
		} else {
			paused.ApplyRegistry(registry(37, "a"), false)
		}

		assert.DeepEqual(t, ids(paused), []string{"a", "c"})
		node.ApplyRegistry(paused.State().Registry, false)
		assert.DeepEqual(t, ids(node), []string{"a", "c"})
		assert.Equal(t, len(node.HeldDepartures()), 0)
	}
}

// Guards against an upstream that a node knows to have left, by the word of another node, and retains nevertheless.
func TestUpstreamThatAnotherNodeSawLeaveIsNotRetained(t *testing.T) {
	node, _ := newCatalog()
	paused, clock := newCatalog()

	node.ApplyRegistry(registry(24, "a", "b", "c"), false)
	paused.ApplyRegistry(registry(24, "a", "b", "c"), false)
	node.ApplyRegistry(registry(35, "a", "c"), false)

	paused.AddDepartures(node.Departures())
	paused.ApplyRegistryAfterOutage(registry(36, "a"), clock.now-time.Second, clock.now)
	assert.DeepEqual(t, ids(paused), []string{"a", "c"})

	// The grace period counts from the end of the outage.
	clock.now += 1300 * time.Millisecond
	paused.ApplyFreshRegistry(registry(36, "a"), false, clock.now)
	assert.DeepEqual(t, ids(paused), []string{"a"})
}

// Guards against an upstream that has registered again and gets no requests, as a peer retains upstreams and this node has seen the
// former one leave.
func TestUpstreamThatRegistersAgainIsUsedWhileAPeerRetainsOthers(t *testing.T) {
	former, kept := cataloguer.Upstream{ID: "b", Born: 5}, cataloguer.Upstream{ID: "c"}

	t.Run("another run", func(t *testing.T) {
		c, _ := newCatalog()
		c.ApplyRegistry(listing(10, 0, former), false)
		c.ApplyRegistry(listing(11, 0), false)
		c.ApplyRegistry(listing(12, 1, cataloguer.Upstream{ID: "b", Born: 6}, kept), false)
		assert.DeepEqual(t, ids(c), []string{"b", "c"})
	})

	t.Run("the same run, after the longest time for which a peer retains it", func(t *testing.T) {
		c, clock := newCatalog()
		c.ApplyRegistry(listing(10, 0, former), false)
		c.ApplyRegistry(listing(11, 0), false)
		c.ApplyRegistry(listing(12, 1, former, kept), false)
		assert.DeepEqual(t, ids(c), []string{"c"})

		clock.now += 2200 * time.Millisecond
		c.ApplyRegistry(listing(12, 1, former, kept), false)
		assert.DeepEqual(t, ids(c), []string{"b", "c"})
		assert.Equal(t, len(c.HeldDepartures()), 0)
	})

	t.Run("the same run, once the peer retains nothing", func(t *testing.T) {
		c, _ := newCatalog()
		c.ApplyRegistry(listing(10, 0, former), false)
		c.ApplyRegistry(listing(11, 0), false)
		c.ApplyRegistry(listing(12, 1, former, kept), false)
		c.ApplyRegistry(listing(13, 0, former), false)
		assert.DeepEqual(t, ids(c), []string{"b"})
		assert.Equal(t, len(c.HeldDepartures()), 0)
	})

	t.Run("read from the store", func(t *testing.T) {
		c, clock := newCatalog()
		c.ApplyRegistry(listing(10, 0, former), false)
		c.ApplyRegistry(listing(11, 0), false)
		// One entry is held back until its software version is recorded.
		c.ApplyFreshRegistry(listing(12, 1, former, kept), false, clock.now)
		assert.DeepEqual(t, ids(c), []string{"b", "c"})
	})
}
