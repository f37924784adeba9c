package relayer

import (
	"sync"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// unlistedRetention is how long an upstream is remembered after it disappeared from the list. Its entry may only have
// expired and can return.
const unlistedRetention = time.Minute

// avoidList holds the upstreams that asked this node to send no requests, either because they are leaving (shutting
// down) or because they are resting (paused by Retry-After). It is safe for concurrent use.
//
// The list of upstreams shows late that one is leaving, delayed by any outage of the store, and never that one is
// resting; the upstreams' responses show both immediately.
type avoidList struct {
	mu sync.Mutex
	// upstreams is keyed by upstream ID.
	upstreams map[string]*avoidedUpstream
}

// avoidedUpstream is an upstream that asked for no requests.
type avoidedUpstream struct {
	service string
	// born is the upstream's start time, which distinguishes instances with the same ID; 0 if it isn't known.
	born int64
	// leaving is true if the upstream is shutting down; restUntil is when its requested pause ends.
	leaving   bool
	restUntil time.Time
	// unlistedAt is when the upstream was first missing from the list; zero while it is listed.
	unlistedAt time.Time
}

func newAvoidList() *avoidList {
	return &avoidList{upstreams: make(map[string]*avoidedUpstream)}
}

// markLeaving records that an upstream is leaving, and reports whether that is new.
func (l *avoidList) markLeaving(service string, upstream string, born int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	a := l.entry(service, upstream, born)
	isNew := !a.leaving
	a.leaving = true

	return isNew
}

// markResting records until when an upstream wants no requests. A request for a shorter rest doesn't shorten it.
func (l *avoidList) markResting(service string, upstream string, born int64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	a := l.entry(service, upstream, born)
	if until.After(a.restUntil) {
		a.restUntil = until
	}
}

func (l *avoidList) entry(service, upstream string, born int64) *avoidedUpstream {
	a, ok := l.upstreams[upstream]
	if !ok || a.isOtherInstance(born) {
		a = &avoidedUpstream{service: service, born: born}
		l.upstreams[upstream] = a
	}

	return a
}

// isOtherInstance reports whether the start time is known to belong to another instance with the same ID.
func (a *avoidedUpstream) isOtherInstance(born int64) bool {
	return a.born != 0 && born != 0 && a.born != born
}

func (a *avoidedUpstream) refusesRequests(now time.Time) bool {
	return a.leaving || now.Before(a.restUntil)
}

// contains reports whether the upstream accepts no requests now.
func (l *avoidList) contains(upstream string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	a, ok := l.upstreams[upstream]

	return ok && a.refusesRequests(now)
}

// unavailable returns the upstreams of a service that accept no requests now, and the time until the first rest ends, or
// 0 if none is resting.
func (l *avoidList) unavailable(service string, now time.Time) ([]string, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	var (
		ids  []string
		rest time.Duration
	)

	for id, a := range l.upstreams {
		if a.service != service || !a.refusesRequests(now) {
			continue
		}

		ids = append(ids, id)

		if left := a.restUntil.Sub(now); !a.leaving && (rest == 0 || left < rest) {
			rest = left
		}
	}

	return ids, rest
}

// update applies a new list of upstreams. It removes the entries of upstreams that restarted, that accept requests
// again, or that have been missing from the list for longer than unlistedRetention.
func (l *avoidList) update(listed *cataloguer.Index[cataloguer.Upstream], now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for id, a := range l.upstreams {
		upstream, ok := listed.Get(id)

		switch {
		case ok && a.isOtherInstance(upstream.Born), !a.refusesRequests(now), !ok && !a.unlistedAt.IsZero() && now.Sub(a.unlistedAt) > unlistedRetention:
			delete(l.upstreams, id)
		case ok:
			a.unlistedAt = time.Time{}
		case a.unlistedAt.IsZero():
			a.unlistedAt = now
		}
	}
}

// AvoidedUpstreams is the number of upstreams that accept no requests from this node, by reason.
type AvoidedUpstreams struct {
	Leaving int `json:"leaving"`
	Resting int `json:"resting"`
}

func (l *avoidList) counts(now time.Time) AvoidedUpstreams {
	l.mu.Lock()
	defer l.mu.Unlock()

	var counts AvoidedUpstreams

	for _, a := range l.upstreams {
		switch {
		case a.leaving:
			counts.Leaving++
		case now.Before(a.restUntil):
			counts.Resting++
		}
	}

	return counts
}
