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

// Guards against a new upstream, or a new run of one, that is taken for one that has left, and against one that has left and is not known
// for it.
func TestDepartedRunIsKnown(t *testing.T) {
	c, _ := newCatalog()
	run := func(born int64, address string) cataloguer.Upstream {
		return cataloguer.Upstream{ID: "a", Born: born, Address: address}
	}

	assert.Assert(t, !c.HasDeparted("a", 5, "x"), "never heard of")
	c.ApplyRegistry(listing(1, 0, run(5, "x")), false)
	assert.Assert(t, !c.HasDeparted("a", 5, "x"), "listed")
	assert.Assert(t, !c.HasDeparted("a", 6, "y"), "a later run that others know first")

	c.ApplyRegistry(listing(2, 0), false)
	assert.Assert(t, c.HasDeparted("a", 5, "x"), "gone")
	assert.Assert(t, !c.HasDeparted("a", 6, "x"), "a later run that others know first")

	c.ApplyRegistry(listing(3, 0, run(6, "y")), false)
	assert.Assert(t, c.HasDeparted("a", 5, "x"), "a former run at another address")
	assert.Assert(t, !c.HasDeparted("a", 0, "x"), "an unknown run")
	assert.Assert(t, !c.HasDeparted("a", 6, "y"), "listed")

	// Upstreams that don't say when they were born are told apart by their addresses, where these are known.
	c.ApplyRegistry(listing(4, 0, run(0, "z")), false)
	c.ApplyRegistry(listing(5, 0), false)
	assert.Assert(t, c.HasDeparted("a", 0, "z"))
	assert.Assert(t, !c.HasDeparted("a", 0, "x"))

	told, _ := newCatalog()
	told.AddDepartures(c.Departures())
	assert.Assert(t, told.HasDeparted("a", 0, "z"))
	assert.Assert(t, !told.HasDeparted("a", 7, "z"))
}
