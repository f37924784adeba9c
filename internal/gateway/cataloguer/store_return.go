package cataloguer

import (
	"slices"

	"quincepath.example/quincepath/internal/storer"
)

// StoreReturn describes the return of the store from an older copy, as a node notices it by a position of a later history. What
// the store had acknowledged before may be lost.
type StoreReturn struct {
	From, To storer.Position
	// LostUpstreams, LostNodes, LostQuarantined and LostLimits count the known entries that the store lacks after its return.
	LostUpstreams, LostNodes, LostQuarantined, LostLimits int
	// KeptDraining counts the upstreams that are known to leave and that the store lists as if they did not, HeldDeparted those that
	// had been removed and that it lists again.
	KeptDraining, HeldDeparted int
}

// isStoreReturn reports whether a registry at the given position shows that the store has returned from a copy since this one.
func (r *Registry) isStoreReturn(next storer.Position) bool {
	return r.Position.IsKnown() && r.Position.IsOfEarlierHistory(next)
}

// TakeStoreReturns returns the returns of the store that were noticed since the last call, oldest first.
func (c *Catalog) TakeStoreReturns() []StoreReturn {
	c.mu.Lock()
	defer c.mu.Unlock()

	taken := c.storeReturns
	c.storeReturns = nil

	return taken
}

// keepDraining keeps upstreams draining that are known to leave, whatever an older copy of the store says: an upstream never takes
// that back in the same run. It returns their number.
func keepDraining(known *Registry, delta *RegistryDelta) int {
	kept := 0

	for i := range delta.Upstreams.Put {
		upstream := &delta.Upstreams.Put[i]
		former, ok := known.Upstreams.Get(upstream.ID)

		if ok && former.Draining && !upstream.Draining && former.Born == upstream.Born {
			upstream.Draining = true
			kept++
		}
	}

	return kept
}

// holdDeparted drops upstreams from the delta that had been removed before the store returned from an older copy, which lists
// them. It returns their number. c.mu must be held.
func (c *Catalog) holdDeparted(delta *RegistryDelta) int {
	now, before := c.now(), len(delta.Upstreams.Put)

	delta.Upstreams.Put = slices.DeleteFunc(delta.Upstreams.Put, func(upstream Upstream) bool {
		return c.departures.isHeld(now, &upstream, delta.Position)
	})

	return before - len(delta.Upstreams.Put)
}

// rememberDeparted remembers the upstreams that the delta removes. c.mu must be held.
func (c *Catalog) rememberDeparted(known *Registry, delta *RegistryDelta) {
	for _, id := range delta.Upstreams.Remove {
		if upstream, ok := known.Upstreams.Get(id); ok {
			c.departures.add(c.now(), &upstream, delta.Position)
		}
	}
}
