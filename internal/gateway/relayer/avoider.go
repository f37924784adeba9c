package relayer

import (
	"sync"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// unlistedLife is how long an upstream that left the list is remembered: its entry may only have lapsed, and return.
const unlistedLife = time.Minute

// avoider remembers the upstreams that have asked this node for no more requests. It is safe for concurrent use.
//
// The list of upstreams tells late that one leaves, by as long as the store is away, and never that one wants rest; their
// own answers tell both at once.
type avoider struct {
	mu sync.Mutex
	// upstreams are by their id.
	upstreams map[string]*avoided
}

// avoided is one upstream that wants no requests.
type avoided struct {
	service string
	// born tells its start from others under its id; 0 if it isn't known.
	born int64
	// leaving says that it wants none any more, restUntil until when it wants none.
	leaving   bool
	restUntil time.Time
	// unlistedAt is when it was first missing in the list; zero while it is there.
	unlistedAt time.Time
}

func newAvoider() *avoider {
	return &avoider{upstreams: make(map[string]*avoided)}
}

// leave notes that an upstream leaves, and reports whether that is new.
func (v *avoider) leave(service string, upstream string, born int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()

	a := v.of(service, upstream, born)
	isNew := !a.leaving
	a.leaving = true

	return isNew
}

// rest notes until when an upstream wants no requests.
func (v *avoider) rest(service string, upstream string, born int64, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()

	a := v.of(service, upstream, born)
	if until.After(a.restUntil) {
		a.restUntil = until
	}
}

func (v *avoider) of(service, upstream string, born int64) *avoided {
	a, ok := v.upstreams[upstream]
	if !ok || a.isOther(born) {
		a = &avoided{service: service, born: born}
		v.upstreams[upstream] = a
	}

	return a
}

// isOther says whether a start of the upstream's id is known to be another one.
func (a *avoided) isOther(born int64) bool {
	return a.born != 0 && born != 0 && a.born != born
}

func (a *avoided) wantsNone(now time.Time) bool {
	return a.leaving || now.Before(a.restUntil)
}

// avoids says whether the upstream wants no requests now.
func (v *avoider) avoids(upstream string, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()

	a, ok := v.upstreams[upstream]

	return ok && a.wantsNone(now)
}

// list returns the upstreams of a service that want no requests now, and the time until the first of their rests ends; 0 if
// none rests.
func (v *avoider) list(service string, now time.Time) ([]string, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()

	var (
		ids  []string
		rest time.Duration
	)

	for id, a := range v.upstreams {
		if a.service != service || !a.wantsNone(now) {
			continue
		}

		ids = append(ids, id)

		if left := a.restUntil.Sub(now); !a.leaving && (rest == 0 || left < rest) {
			rest = left
		}
	}

	return ids, rest
}

// update takes in the list of upstreams: what was said by one that started again holds no longer.
func (v *avoider) update(listed []cataloguer.Upstream, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()

	if len(v.upstreams) == 0 {
		return
	}

	starts := make(map[string]int64, len(listed))
	for _, upstream := range listed {
		starts[upstream.ID] = upstream.Born
	}

	for id, a := range v.upstreams {
		born, ok := starts[id]

		switch {
		case ok && a.isOther(born), !a.wantsNone(now), !ok && !a.unlistedAt.IsZero() && now.Sub(a.unlistedAt) > unlistedLife:
			delete(v.upstreams, id)
		case ok:
			a.unlistedAt = time.Time{}
		case a.unlistedAt.IsZero():
			a.unlistedAt = now
		}
	}
}

// AvoidedUpstreams counts the upstreams that want no requests of this node.
type AvoidedUpstreams struct {
	Leaving int `json:"leaving"`
	Resting int `json:"resting"`
}

func (v *avoider) counts(now time.Time) AvoidedUpstreams {
	v.mu.Lock()
	defer v.mu.Unlock()

	var counts AvoidedUpstreams

	for _, a := range v.upstreams {
		switch {
		case a.leaving:
			counts.Leaving++
		case now.Before(a.restUntil):
			counts.Resting++
		}
	}

	return counts
}
