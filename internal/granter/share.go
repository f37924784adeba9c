package granter

import "time"

// shareWindow is the time over which the share of a pool is remembered, once more at most.
const shareWindow = 10 * time.Second

// share remembers the largest number of lower-tier attempts at once in this window and the last.
type share struct {
	start         time.Time
	present, last int
}

func (s *share) note(now time.Time, count int) {
	s.turn(now)
	s.present = max(s.present, count)
}

func (s *share) known(now time.Time) int {
	s.turn(now)

	return max(s.present, s.last)
}

// turn begins a new window when the present one is over. Without new grants
// the last counts stay: a holder may be silent for longer than a window.
func (s *share) turn(now time.Time) {
	if now.Sub(s.start) < shareWindow || s.present == 0 {
		return
	}

	s.start = now
	s.last = s.present
	s.present = 0
}

// withinShare says whether this node runs fewer lower-tier attempts on the pool
// than it lately did. The caller holds r.mu.
func (r *Router) withinShare(pool string) bool {
	s := r.shares[pool]

	return s != nil && r.lowerOn(pool) < s.known(time.Now())
}

// lowerOn counts this node's running attempts below tier 1. The caller holds r.mu.
func (r *Router) lowerOn(pool string) int {
	count := 0

	for _, f := range r.flights {
		if f.lower && f.pool == pool {
			count++
		}
	}

	return count
}
