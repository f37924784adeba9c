package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// unboundedRoom is the number of free slots per server for tier 1 while capacity is unknown.
const unboundedRoom = 1 << 16

// lateTargetFraction is the fraction of its target after which a waiting tier 1 request accepts a
// straggler.
const lateTargetFraction = 0.5

// serverView is the state of the servers during one call, with the matching functions that read it.
// The functions are created once, so that a decision doesn't allocate them.
type serverView struct {
	pool *Pool
	now  time.Time
	// hasOpenServer is false when all remaining servers are closed. Closed servers are then used anyway: a
	// closed server may answer, and refusing certainly fails.
	hasOpenServer bool
	// hasPreferredServer is false when tier 1 would avoid all open servers; then it uses them too.
	hasPreferredServer bool
	// slots is the sum of the limits of the usable servers.
	slots int
	// freeForLower is the number of free slots that lower tiers may use.
	freeForLower int
	// onlyHeadroomLeft is true while the servers that tier 1 uses have no more free slots than the
	// headroom.
	onlyHeadroomLeft bool
	// classFilter restricts matchLower to one class if not nil.
	classFilter *class

	matchHighest, matchOversubscribed, matchLate, matchLower func(*waiter) bool
}

func (v *serverView) bindMatchers() {
	v.matchHighest = func(w *waiter) bool { return v.bestServer(w, false) != nil }
	v.matchOversubscribed = func(w *waiter) bool { return v.bestServer(w, true) != nil }
	v.matchLate = func(w *waiter) bool { return v.isLate(w) && v.bestServerAmong(w, false, false) != nil }
	v.matchLower = func(w *waiter) bool {
		if v.classFilter != nil && w.class != v.classFilter {
			return false
		}

		return len(w.request.Exclude) == 0 || v.bestServer(w, false) != nil
	}
}

// refresh reads the state of the servers at the start of a round of grants.
func (v *serverView) refresh(now time.Time) {
	v.now = now
	v.hasOpenServer = false
	v.hasPreferredServer = false

	for _, s := range v.pool.servers {
		s.currentSlowness = max(s.slowness(now), 0.1)
		open := s.isOpen(now)
		v.hasOpenServer = v.hasOpenServer || open
		v.hasPreferredServer = v.hasPreferredServer || (open && s.preferredByHighestTier())
	}

	v.slots = 0

	for _, s := range v.pool.servers {
		if v.usable(s) {
			v.slots += s.slots()
		}
	}

	v.countFreeSlots()
}

// isAvoided reports whether tier 1 avoids the server.
func (v *serverView) isAvoided(s *server) bool {
	return v.hasPreferredServer && !s.preferredByHighestTier()
}

// countFreeSlots updates freeForLower. Headroom is only reserved on servers that tier 1 uses.
func (v *serverView) countFreeSlots() {
	v.onlyHeadroomLeft = false

	preferred, avoided := 0, 0

	for _, s := range v.pool.servers {
		free := max(0, v.freeSlots(s, false))
		if v.isAvoided(s) {
			avoided += free
		} else {
			preferred += free
		}
	}

	preferred -= v.pool.headroom(v.now)
	v.onlyHeadroomLeft = preferred <= 0
	v.freeForLower = avoided + max(0, preferred)
}

func (v *serverView) usable(s *server) bool {
	if s.removed || s.upstream.Leaving {
		return false
	}

	return !v.hasOpenServer || s.isOpen(v.now)
}

// freeSlots returns the number of requests that the server can take now; it may be negative.
func (v *serverView) freeSlots(s *server, highest bool) int {
	if !v.usable(s) {
		return 0
	}

	if !highest && v.onlyHeadroomLeft && !v.isAvoided(s) {
		return 0
	}

	free := s.slots() - s.inFlight

	switch {
	case highest && v.pool.rebuild.active:
		return unboundedRoom - s.inFlight
	case highest:
		return max(free, s.vacated)
	case !v.pool.rebuild.active:
		return free
	}

	return int(s.limit*v.pool.options.RebuildShare) - s.inFlight
}

// oversubscribableSlots returns the number of requests that tier 1 may add above the server's limit;
// the engine then pauses as many of lower tiers. Requests of lower tiers above the limit, because of
// two concurrent holders or a reduced limit, don't count.
func (v *serverView) oversubscribableSlots(s *server) int {
	if !v.usable(s) {
		return 0
	}

	return min(s.belowHighestTier, v.pool.options.Oversubscribe) - min(s.oversubscribed, max(0, s.inFlight-s.slots()))
}

// bestServer returns the best server for the request, or nil if none has a free slot. If aboveLimit is
// set, it looks for slots above the limit. Tier 1 of a plain service uses a straggler rather than
// wait, because it can't preempt a lower tier.
func (v *serverView) bestServer(w *waiter, aboveLimit bool) *server {
	highest := w.class.settings.Tier == highestTier

	found := v.bestServerAmong(w, aboveLimit, highest)
	if found == nil && highest && v.pool.service.Kind == configurer.KindPlain {
		found = v.bestServerAmong(w, aboveLimit, false)
	}

	return found
}

// isLate reports whether the waiter has used so much of its target that a straggler is better than
// further waiting.
func (v *serverView) isLate(w *waiter) bool {
	waited := v.now.Sub(w.queuedAt) - w.request.Queued + w.request.Waited

	return waited >= time.Duration(lateTargetFraction*float64(w.class.settings.Target))
}

// bestServerAmong excludes the servers that tier 1 avoids if skipAvoided is set.
func (v *serverView) bestServerAmong(w *waiter, aboveLimit, skipAvoided bool) *server {
	var (
		found *server
		score float64
	)

	highest := w.class.settings.Tier == highestTier

	for _, s := range v.pool.servers {
		if (skipAvoided && v.isAvoided(s)) || s.excluded(&w.request) {
			continue
		}

		room := v.freeSlots(s, highest)
		if aboveLimit {
			room = v.oversubscribableSlots(s)
		}

		if room <= 0 {
			continue
		}

		candidate := float64(room) / s.currentSlowness
		if found == nil || candidate > score {
			found, score = s, candidate
		}
	}

	return found
}

func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33

	return x
}
