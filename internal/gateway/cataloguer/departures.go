package cataloguer

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"quincepath.example/quincepath/internal/storer"
)

const (
	// departureRetention is how long an upstream that is no longer listed is remembered. A copy of the store is some seconds old.
	departureRetention = time.Minute
	// departureHold is how long an upstream that was listed no more, and never said that it leaves, is held back after an older copy of
	// the store lists it again. An entry that stands for so long is renewed by an upstream that lives: one that is silent loses its
	// entry after some four seconds.
	departureHold = 10 * time.Second
	// maxDepartures limits the upstreams that are remembered, maxSentDepartures those that a node tells one that has just started.
	maxDepartures     = 4096
	maxSentDepartures = 512
)

// Departure is an upstream that is no longer listed.
type Departure struct {
	ID string `json:"id"`
	// Born is the start time of the run that ended, see Upstream.
	Born int64 `json:"born,omitempty"`
	// Position is that of the store at which it was removed.
	storer.Position

	// Draining says that it had said that it leaves.
	Draining bool `json:"draining,omitempty"`
	// AgeMS is how long ago it was removed.
	AgeMS int64 `json:"age_ms"`
}

// departure is a Departure as a catalog keeps it.
type departure struct {
	Departure

	at time.Duration
	// address is empty if another node told of it.
	address string
	// listedAgainAt is when the store first listed it after its return, or when a peer that retains upstreams first did; negative if
	// neither does.
	listedAgainAt time.Duration
}

// departures remembers upstreams that are no longer listed, so that an older copy of the store doesn't bring them back. It is not
// safe for concurrent use.
type departures struct {
	byID *simplelru.LRU[string, departure]
	// held are the IDs of those that the store, or a peer that retains upstreams, lists again.
	held map[string]bool
}

func newDepartures() departures {
	// The only possible error is a limit below 1.
	byID, err := simplelru.NewLRU[string, departure](maxDepartures, nil)
	if err != nil {
		panic(err)
	}

	return departures{byID: byID, held: make(map[string]bool)}
}

// add remembers an upstream that is removed at a position.
func (d *departures) add(now time.Duration, upstream *Upstream, position storer.Position) {
	d.byID.Add(upstream.ID, departure{
		Departure: Departure{ID: upstream.ID, Born: upstream.Born, Position: position, Draining: upstream.Draining},
		at:        now, address: upstream.Address, listedAgainAt: -1,
	})
}

// isHeld reports whether an upstream that the store lists is held back, since this run of it had left before the store returned from a
// copy.
func (d *departures) isHeld(now time.Duration, upstream *Upstream, position storer.Position) bool {
	found, ok := d.byID.Peek(upstream.ID)
	if !ok || !found.IsOfEarlierHistory(position) || found.Born != upstream.Born {
		return false
	}

	return d.hold(now, upstream.ID, &found) && (found.Draining || now-found.listedAgainAt < departureHold)
}

// isRetainedByPeer reports whether an upstream that a peer lists at a position, and that this node doesn't, is one that the peer retains
// although it had left. Which ones a peer retains isn't told, but none for longer than the grace period.
func (d *departures) isRetainedByPeer(now time.Duration, upstream *Upstream, position storer.Position) bool {
	found, ok := d.byID.Peek(upstream.ID)
	if !ok || found.Born != upstream.Born || !found.HasHistoryOf(position) || !found.IsBefore(position) {
		return false
	}

	return d.hold(now, upstream.ID, &found) && now-found.listedAgainAt < OutageGracePeriod
}

// hold records that a departed upstream is listed again, unless that was recorded before. It returns false if the departure is too old to
// hold it back.
func (d *departures) hold(now time.Duration, id string, found *departure) bool {
	if found.listedAgainAt >= 0 {
		return true
	}

	if now-found.at > departureRetention {
		return false
	}

	found.listedAgainAt = now
	d.byID.Add(id, *found)
	d.held[id] = true

	return true
}

// hasLeftSince reports whether this run of an upstream is known to have been removed after a position at which it was listed.
func (d *departures) hasLeftSince(upstream *Upstream, listedAt storer.Position) bool {
	found, ok := d.byID.Peek(upstream.ID)

	return ok && found.Born == upstream.Born && listedAt.IsBefore(found.Position)
}

// update takes over that a registry no longer lists an upstream that the store had listed again: its removal was written again.
func (d *departures) update(now time.Duration, registry *Registry) {
	for id := range d.held {
		if registry.Upstreams.Contains(id) {
			continue
		}

		delete(d.held, id)

		if found, ok := d.byID.Peek(id); ok {
			found.Position, found.at, found.listedAgainAt = registry.Position, now, -1
			d.byID.Add(id, found)
		}
	}
}

// list returns the latest departures, for a node that has just started.
func (d *departures) list(now time.Duration) []Departure {
	var all []Departure

	for _, found := range slices.Backward(d.byID.Values()) {
		if found.listedAgainAt < 0 && now-found.at > departureRetention || len(all) == maxSentDepartures {
			break
		}

		found.AgeMS = (now - found.at).Milliseconds()
		all = append(all, found.Departure)
	}

	return all
}

// HasDeparted reports whether this node knows that the run of an upstream that was born at the given time, 0 if unknown, has left. One that
// this node neither lists nor remembers may be new, and known to other nodes first.
func (c *Catalog) HasDeparted(id string, born int64, address string) bool {
	if listed, ok := c.state.Load().Registry.Upstreams.Get(id); ok {
		return born < listed.Born && born > 0 && address != listed.Address
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	found, ok := c.departures.byID.Peek(id)

	return ok && found.Born == born && (found.address == "" || found.address == address)
}

// HeldDepartures returns the departures of upstreams that a peer retains and that this node doesn't list for that reason.
func (c *Catalog) HeldDepartures() []Departure {
	c.mu.Lock()
	defer c.mu.Unlock()

	registry := &c.state.Load().Registry

	var held []Departure

	for id := range c.departures.held {
		found, ok := c.departures.byID.Peek(id)
		if ok && found.HasHistoryOf(registry.Position) && !registry.Upstreams.Contains(id) && len(held) < maxSentDepartures {
			found.AgeMS = (c.now() - found.at).Milliseconds()
			held = append(held, found.Departure)
		}
	}

	return held
}

// Departures returns upstreams that were removed lately.
func (c *Catalog) Departures() []Departure {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.departures.list(c.now())
}

// AddDepartures takes over what another node remembers of removed upstreams.
func (c *Catalog) AddDepartures(added []Departure) {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.now()

	// The newest are the first.
	for _, told := range slices.Backward(added) {
		known, ok := c.departures.byID.Peek(told.ID)
		if !ok || known.IsOfEarlierHistory(told.Position) || known.listedAgainAt < 0 && known.IsBefore(told.Position) {
			at := now - time.Duration(told.AgeMS)*time.Millisecond
			c.departures.byID.Add(told.ID, departure{Departure: told, at: at, listedAgainAt: -1})
		}
	}
}
