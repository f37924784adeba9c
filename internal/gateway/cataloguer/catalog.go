package cataloguer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"quincepath.example/quincepath/internal/storer"
)

// maxPreviousConfigurations limits the earlier configurations kept as bases for deltas. Operators write them in
// short series; one with 2,000 routes takes about 400 KB of memory.
const maxPreviousConfigurations = 4

// State is an immutable snapshot of a catalog, but for its freshness, which later confirmations of the same content raise.
type State struct {
	// Configuration is at least as new as the registry's position.
	Configuration Configuration
	// ConfigurationFreshness is that of Configuration; never nil.
	ConfigurationFreshness *Freshness
	// ReceivedAt is when the node received Configuration, by the catalog's clock.
	ReceivedAt time.Duration
	Registry   Registry
	// RegistryFreshness is that of Registry; never nil.
	RegistryFreshness *Freshness
	// Digest is the digest of Registry.
	Digest uint64
	// StoreReturns counts the returns of the store from older copies that this node has noticed.
	StoreReturns int64
}

// HasConfiguration reports whether a configuration has been received.
func (s *State) HasConfiguration() bool {
	return s.Configuration.Version > 0
}

// IsComplete reports whether a configuration and a registry have been received.
func (s *State) IsComplete() bool {
	return s.HasConfiguration() && s.Registry.Position.IsKnown()
}

// Catalog holds the newest state known to a node. It is safe for concurrent use.
//
// A node's state is fresh as of the time at which the store read that returned it was sent. Peers forward the state
// together with its age. Without this, a node that is cut off would keep accepting revoked keys, seen as requests
// that run long after their key was revoked. The clock must include the time for which the VM is suspended; a
// monotonic clock that stops would hide a suspension.
//
// Decisions take content and freshness from one State: the age of the newest state says nothing about an earlier one.
type Catalog struct {
	now   func() time.Duration
	state atomic.Pointer[State]
	// apply is called with each new state.
	apply func(*State)
	// applying is held while apply is called. No other lock is acquired before it.
	applying sync.Mutex

	mu sync.Mutex
	// previousConfigurations are the states with the most recent earlier configurations, oldest first.
	previousConfigurations []*State
	// graces holds the upstreams that are retained because an outage may have removed them, by ID.
	graces map[string]grace
	// departures are the upstreams that were removed lately.
	departures departures
	// storeReturns are the returns of the store from older copies that nobody has taken yet.
	storeReturns []StoreReturn
}

// New returns an empty catalog. The clock now must include the time for which the VM is suspended.
func New(now func() time.Duration) *Catalog {
	c := &Catalog{now: now, graces: make(map[string]grace), departures: newDepartures()}

	empty := Registry{}
	c.state.Store(&State{
		Registry: empty, Digest: empty.Digest(), ConfigurationFreshness: newFreshness(now), RegistryFreshness: newFreshness(now),
	})

	return c
}

// OnChange makes the catalog call apply with the newest state after each change, before the call that brought the change returns. A separate
// goroutine would run only after requests that wait for a processor, as many do after a pause of the node, and the state before
// would decide about these. It must be called before the first change. Calls don't overlap, and apply must not change the catalog.
func (c *Catalog) OnChange(apply func(*State)) {
	c.apply = apply
}

// applyNewest calls apply with the newest state. c.mu must not be held.
func (c *Catalog) applyNewest() {
	if c.apply == nil {
		return
	}

	c.applying.Lock()
	defer c.applying.Unlock()

	c.apply(c.state.Load())
}

// State returns the newest state. The caller must not modify it.
func (c *Catalog) State() *State {
	return c.state.Load()
}

// Now returns the current time of the catalog's clock.
func (c *Catalog) Now() time.Duration {
	return c.now()
}

// ConfigurationAge returns the time since the newest configuration was last confirmed as current, or false if it never was.
func (c *Catalog) ConfigurationAge() (time.Duration, bool) {
	return c.state.Load().ConfigurationFreshness.Age()
}

// RegistryAge returns the time since the newest registry was last confirmed as current, or false if it never was.
func (c *Catalog) RegistryAge() (time.Duration, bool) {
	return c.state.Load().RegistryFreshness.Age()
}

// MarkRegistryFresh records that the registry was complete as of the given time.
func (c *Catalog) MarkRegistryFresh(at time.Duration) {
	c.state.Load().RegistryFreshness.confirm(at)
}

// MarkConfigurationFresh records that the given version was the newest as of the given time. It has no effect unless that
// is the known version: a newer one may still be on its way, page by page.
func (c *Catalog) MarkConfigurationFresh(version int64, at time.Duration) {
	state := c.state.Load()
	if version != state.Configuration.Version || version == 0 {
		return
	}

	state.ConfigurationFreshness.confirm(at)
}

// ApplyConfiguration applies a configuration that was read at the given time. Older versions are ignored, so a node
// never reverts. It reports whether the version is new.
func (c *Catalog) ApplyConfiguration(configuration Configuration, at time.Duration) bool {
	if !c.publishConfiguration(configuration, at) {
		c.MarkConfigurationFresh(configuration.Version, at)

		return false
	}

	c.applyNewest()

	return true
}

// publishConfiguration publishes a configuration with its freshness if it is newer, and reports whether it is.
func (c *Catalog) publishConfiguration(configuration Configuration, at time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	state := c.state.Load()
	if configuration.Version <= state.Configuration.Version {
		return false
	}

	c.previousConfigurations = appendBounded(c.previousConfigurations, state, maxPreviousConfigurations)

	next := *state
	next.Configuration, next.ReceivedAt = configuration, c.now()
	next.ConfigurationFreshness = state.ConfigurationFreshness.next()
	next.ConfigurationFreshness.confirm(at)
	c.state.Store(&next)

	return true
}

// ApplyRegistry applies a registry of a peer. The afterOutage flag says that the store was recently unavailable. An older
// registry is ignored. It reports whether any entry changed.
func (c *Catalog) ApplyRegistry(registry Registry, afterOutage bool) bool {
	changed := c.publishRegistry(registry, c.graceEnd(afterOutage), nil)
	if changed {
		c.applyNewest()
	}

	return changed
}

// Lacks reports whether the registry lacks upstreams that this node lists.
func (c *Catalog) Lacks(registry *Registry) bool {
	return len(registry.DeltaFrom(&c.state.Load().Registry).Upstreams.Remove) > 0
}

// ApplyFreshRegistry applies a registry that this node read from the store at the given time. It combines ApplyRegistry and
// MarkRegistryFresh, so that whoever learns of the change also sees the new freshness.
func (c *Catalog) ApplyFreshRegistry(registry Registry, afterOutage bool, at time.Duration) bool {
	changed := c.publishRegistry(registry, c.graceEnd(afterOutage), &at)
	if changed {
		c.applyNewest()
	}

	return changed
}

// ApplyRegistryAfterOutage does as ApplyFreshRegistry after an outage of the store that ended at the given time.
func (c *Catalog) ApplyRegistryAfterOutage(registry Registry, endedAt, at time.Duration) bool {
	changed := c.publishRegistry(registry, endedAt+OutageGracePeriod, &at)
	if changed {
		c.applyNewest()
	}

	return changed
}

// publishRegistry publishes a registry unless it is older, and reports whether any entry changed. If readAt isn't nil, this node read it
// from the store at that time, as of which it was complete; else it is a peer's. Missing upstreams are retained until graceEnd.
func (c *Catalog) publishRegistry(registry Registry, graceEnd time.Duration, readAt *time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	next, changed := c.nextStateLocked(registry, graceEnd, readAt == nil)

	if readAt != nil {
		next.RegistryFreshness.confirm(*readAt)
	}

	c.state.Store(next)

	return changed
}

// nextStateLocked returns the state that follows from a registry, and whether any entry changed. c.mu must be held.
func (c *Catalog) nextStateLocked(registry Registry, graceEnd time.Duration, isPeers bool) (next *State, changed bool) {
	state := c.state.Load()
	if registry.Position.IsBefore(state.Registry.Position) {
		return state, false
	}

	isReturn := state.Registry.isStoreReturn(registry.Position)
	delta := registry.DeltaFrom(&state.Registry)
	noticed := StoreReturn{
		From: state.Registry.Position, To: registry.Position, LostUpstreams: len(delta.Upstreams.Remove), LostNodes: len(delta.Nodes.Remove),
		LostQuarantined: len(delta.Quarantined.Remove), LostLimits: len(delta.Limits.Remove),
	}

	dropEarlierStarts(&state.Registry, &delta)
	c.departures.update(c.now(), &registry)

	if isPeers {
		c.dropRetainedByPeer(&delta)
	}

	noticed.KeptDraining, noticed.HeldDeparted = keepDraining(&state.Registry, &delta), c.holdDeparted(&delta)
	delta.RetainedUpstreams += noticed.KeptDraining + noticed.HeldDeparted
	c.retainMissing(&state.Registry, &registry, &delta, max(graceEnd, c.graceEnd(isReturn)))
	c.rememberDeparted(&state.Registry, &delta)

	next = new(State)
	*next = *state
	next.Registry = state.Registry.Apply(&delta)
	next.Digest = next.Registry.Digest()

	if isReturn {
		c.recordReturnLocked(next, noticed)
	}

	// What the store lists of itself may have to be written again, also where nothing is lost.
	if next.Digest == state.Digest && !isReturn {
		return next, false
	}

	next.RegistryFreshness = state.RegistryFreshness.next()

	return next, true
}

// recordReturnLocked records that the next state is the first after a return of the store from an older copy. c.mu must be held.
func (c *Catalog) recordReturnLocked(next *State, noticed StoreReturn) {
	c.storeReturns = append(c.storeReturns, noticed)
	next.StoreReturns++
}

// AdvanceRegistry records that the registry with the given digest was unchanged at a later position of the store. Otherwise the
// node would keep its earlier position and accept an older registry of a peer as newer.
func (c *Catalog) AdvanceRegistry(digest uint64, position storer.Position, kept int) {
	if c.advanceRegistry(digest, position, kept) {
		c.applyNewest()
	}
}

// advanceRegistry advances the registry and reports whether that is a return of the store from an older copy.
func (c *Catalog) advanceRegistry(digest uint64, position storer.Position, kept int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	state := c.state.Load()
	if state.Digest != digest || position.IsBefore(state.Registry.Position) {
		return false
	}

	next := *state
	next.Registry.Position, next.Registry.RetainedUpstreams = position, kept

	isReturn := state.Registry.isStoreReturn(position)
	if isReturn {
		c.recordReturnLocked(&next, StoreReturn{From: state.Registry.Position, To: position})
	}

	c.state.Store(&next)

	return isReturn
}

// PreviousConfiguration returns an earlier configuration by its version, or false if it is no longer kept.
func (c *Catalog) PreviousConfiguration(version int64) (*Configuration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	i := slices.IndexFunc(c.previousConfigurations, func(s *State) bool { return s.Configuration.Version == version })
	if i < 0 || version == 0 {
		return nil, false
	}

	return &c.previousConfigurations[i].Configuration, true
}

// appendBounded appends a state and drops the oldest ones beyond the limit.
func appendBounded(states []*State, state *State, limit int) []*State {
	states = append(states, state)

	return slices.Clone(states[max(len(states)-limit, 0):])
}

// dropEarlierStarts drops entries of an earlier start of a server from the delta. A write of the previous process may
// become visible late, and its address may belong to another server by then.
func dropEarlierStarts(known *Registry, delta *RegistryDelta) {
	delta.Upstreams.Put = slices.DeleteFunc(delta.Upstreams.Put, func(upstream Upstream) bool {
		newest, ok := known.Upstreams.Get(upstream.ID)

		return ok && upstream.Born > 0 && upstream.Born < newest.Born
	})
}
