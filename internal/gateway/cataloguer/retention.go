package cataloguer

import (
	"maps"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/storer"
)

// OutageGracePeriod is how long upstreams that are missing after a store outage are retained. Entries that expired
// during the outage reappear within two seconds if the upstream is alive.
const OutageGracePeriod = 2200 * time.Millisecond

// grace is the time for which an upstream is retained that an outage may have removed.
type grace struct {
	until time.Duration
	// listedAt is the last known position at which the upstream was listed.
	listedAt storer.Position
}

// graceEnd returns the time until which upstreams are retained that an outage which ends now may have removed; 0 if there was none.
func (c *Catalog) graceEnd(afterOutage bool) time.Duration {
	if !afterOutage {
		return 0
	}

	return c.now() + OutageGracePeriod
}

// retainMissing drops the removals of upstreams that are still within their grace period from the delta, unless it is known that they
// have left. For those that weren't missing before, it lasts until graceEnd. The delta leads from the known registry to the given one.
// c.mu must be held.
func (c *Catalog) retainMissing(known, registry *Registry, delta *RegistryDelta, graceEnd time.Duration) {
	now := c.now()

	maps.DeleteFunc(c.graces, func(id string, _ grace) bool { return registry.Upstreams.Contains(id) })

	delta.Upstreams.Remove = slices.DeleteFunc(delta.Upstreams.Remove, func(id string) bool {
		given, inGrace := c.graces[id]
		if !inGrace && now < graceEnd {
			given, inGrace = grace{until: graceEnd, listedAt: known.Position}, true
			c.graces[id] = given
		}

		upstream, _ := known.Upstreams.Get(id)
		if !inGrace || now >= given.until || c.departures.hasLeftSince(&upstream, given.listedAt) {
			delete(c.graces, id)

			return false
		}

		delta.RetainedUpstreams++

		return true
	})
}

// dropRetainedByPeer drops upstreams from the delta that a peer retains as it knew them, and that this node has seen leave since. A
// peer that was out of touch doesn't know of that. c.mu must be held.
func (c *Catalog) dropRetainedByPeer(delta *RegistryDelta) {
	if delta.RetainedUpstreams == 0 {
		return
	}

	now := c.now()

	delta.Upstreams.Put = slices.DeleteFunc(delta.Upstreams.Put, func(upstream Upstream) bool {
		return c.departures.isRetainedByPeer(now, &upstream, delta.Position)
	})
}
