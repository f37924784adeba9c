package granter

import (
	"slices"
	"time"

	"quincepath.example/quincepath/internal/dispatcher"
)

// flight is one running attempt.
type flight struct {
	item flightItem
	pool string
	// peer is the holder that granted, or empty.
	peer  string
	lower bool
	since time.Time
	// inner is the fallback's slot, or nil.
	inner     *dispatcher.Slot
	preempted chan struct{}
	// preemptors are the holders that preempted the attempt; preempted is closed once there is one.
	preemptors []string
}

// holders lists who reckons with the attempt: the holder that granted it, the
// present one, which has adopted it if it took the pool over, and those that
// preempted it. While nodes take different nodes for the holder, the last may be
// none of the others, and would wait for the slot until the next comparisons.
func (f *flight) holders(present string) []string {
	all := append([]string{f.peer, present}, f.preemptors...)
	slices.Sort(all)

	return slices.DeleteFunc(slices.Compact(all), func(name string) bool { return name == "" })
}

func newFlight(p *pending, grantID, upstream, peer string) *flight {
	return &flight{
		item: flightItem{
			GrantID:      grantID,
			ID:           p.item.ID,
			Upstream:     upstream,
			Class:        p.item.Class,
			Organisation: p.item.Organisation,

			NotRepeatable: p.item.NotRepeatable,
		},
		pool:      p.pool,
		peer:      peer,
		lower:     p.class.Tier != topTier,
		since:     time.Now(),
		preempted: make(chan struct{}),
	}
}

// launch notes a running attempt. The caller holds r.mu.
func (r *Router) launch(f *flight) {
	r.flights[f.item.GrantID] = f

	if !f.lower {
		return
	}

	s := r.shares[f.pool]
	if s == nil {
		s = &share{}
		r.shares[f.pool] = s
	}

	s.note(time.Now(), r.lowerOn(f.pool))
}

// inFlight answers what this node runs on a pool.
func (r *Router) inFlight(pool string) inFlightResult {
	r.mu.Lock()
	defer r.mu.Unlock()

	var result inFlightResult

	for _, f := range r.flights {
		if f.pool != pool {
			continue
		}

		item := f.item
		item.Age = time.Since(f.since)
		result.Flights = append(result.Flights, item)
	}

	return result
}

// compare answers what this node runs on a pool, or only that its holder knows it.
func (r *Router) compare(pool string, known digest) inFlightResult {
	result := r.inFlight(pool)

	var own digest
	for i := range result.Flights {
		own.add(result.Flights[i].GrantID)
	}

	if own == known {
		return inFlightResult{Same: true}
	}

	return result
}
