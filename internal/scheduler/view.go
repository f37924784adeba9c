package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// unlimited is the room of a server for tier 1 while capacity is unknown.
const unlimited = 1 << 16

// lateShare is the part of its target after which tier 1 takes a straggler.
const lateShare = 0.5

// view is the state of the servers during one call, with the matching
// functions that look at it. They are made once, so that a decision allocates nothing for them.
type view struct {
	pool *Pool
	now  time.Time
	// anyOpen is false when every server that stays is closed. Then closed ones are
	// used all the same: a closed server may answer, no server surely doesn't.
	anyOpen bool
	// anySteady is false when all open servers straggle; then tier 1 takes them too.
	anySteady bool
	// slots is the sum of the limits of the usable servers.
	slots int
	// forLower is the number of free slots that lower tiers may use.
	forLower int
	// reserved is true while the servers that don't straggle have no more free slots than the headroom.
	reserved bool
	// class limits matchLower when not nil.
	class *class

	matchTop, matchExtra, matchLate, matchLower func(*waiter) bool
}

func (v *view) bind() {
	v.matchTop = func(w *waiter) bool { return v.best(w, false) != nil }
	v.matchExtra = func(w *waiter) bool { return v.best(w, true) != nil }
	v.matchLate = func(w *waiter) bool { return v.late(w) && v.bestOf(w, false, false) != nil }
	v.matchLower = func(w *waiter) bool {
		if v.class != nil && w.class != v.class {
			return false
		}

		return len(w.request.Exclude) == 0 || v.best(w, false) != nil
	}
}

// look reads the servers at the start of a round of grants.
func (v *view) look(now time.Time) {
	v.now = now
	v.anyOpen = false
	v.anySteady = false

	for _, s := range v.pool.servers {
		s.slow = max(s.slowness(now), 0.1)
		open := s.open(now)
		v.anyOpen = v.anyOpen || open
		v.anySteady = v.anySteady || (open && s.steady())
	}

	v.slots = 0

	for _, s := range v.pool.servers {
		if v.usable(s) {
			v.slots += s.slots()
		}
	}

	v.count()
}

// straggles says whether tier 1 leaves the server to the others.
func (v *view) straggles(s *server) bool {
	return v.anySteady && !s.steady()
}

// count reckons forLower. Headroom counts only on servers that tier 1 uses.
func (v *view) count() {
	v.reserved = false

	steady, straggling := 0, 0

	for _, s := range v.pool.servers {
		room := max(0, v.room(s, false))
		if v.straggles(s) {
			straggling += room
		} else {
			steady += room
		}
	}

	steady -= v.pool.headroom(v.now)
	v.reserved = steady <= 0
	v.forLower = straggling + max(0, steady)
}

func (v *view) usable(s *server) bool {
	if s.gone || s.upstream.Leaving {
		return false
	}

	return !v.anyOpen || s.open(v.now)
}

// room is the number of requests that the server takes now; it may be below zero.
func (v *view) room(s *server, top bool) int {
	if !v.usable(s) {
		return 0
	}

	if !top && v.reserved && !v.straggles(s) {
		return 0
	}

	free := s.slots() - s.inFlight

	switch {
	case top && v.pool.rebuild.active:
		return unlimited - s.inFlight
	case top:
		return max(free, s.vacated)
	case !v.pool.rebuild.active:
		return free
	}

	return int(s.limit*v.pool.options.RebuildShare) - s.inFlight
}

// extraRoom is the number of requests that tier 1 may add above the server's
// limit: the engine then sets as many lower answers aside. What lower tiers have
// above it, by two holders at once or a limit that fell, doesn't count.
func (v *view) extraRoom(s *server) int {
	if !v.usable(s) {
		return 0
	}

	return min(s.lower, v.pool.options.Oversubscribe) - min(s.extra, max(0, s.inFlight-s.slots()))
}

// best returns the server that suits the request best, or nil when none has
// room. Extra looks for room above the limit. Tier 1 of a plain service takes a
// straggler before it waits: there is no lower tier that could make way.
func (v *view) best(w *waiter, extra bool) *server {
	top := w.class.settings.Tier == topTier

	found := v.bestOf(w, extra, top)
	if found == nil && top && v.pool.service.Kind == configurer.KindPlain {
		found = v.bestOf(w, extra, false)
	}

	return found
}

// late says whether the waiter has spent so much of its target that a straggler is
// better than a further wait.
func (v *view) late(w *waiter) bool {
	waited := v.now.Sub(w.queued) - w.request.Queued + w.request.Waited

	return waited >= time.Duration(lateShare*float64(w.class.settings.Target))
}

// bestOf leaves stragglers out when steady is set.
func (v *view) bestOf(w *waiter, extra, steady bool) *server {
	var (
		found *server
		score float64
	)

	top := w.class.settings.Tier == topTier

	for _, s := range v.pool.servers {
		if (steady && v.straggles(s)) || s.excluded(&w.request) {
			continue
		}

		room := v.room(s, top)
		if extra {
			room = v.extraRoom(s)
		}

		if room <= 0 {
			continue
		}

		candidate := float64(room) / s.slow
		if found == nil || candidate > score {
			found, score = s, candidate
		}
	}

	return found
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33

	return x
}
