package granter

import "time"

// recentPeakWindow is the length of one window; a peak counts in its window and in the next one.
const recentPeakWindow = 10 * time.Second

// recentPeak tracks the largest number of concurrent lower-tier attempts in the current and the previous window.
type recentPeak struct {
	windowStart       time.Time
	current, previous int
}

func (p *recentPeak) record(now time.Time, count int) {
	p.rotate(now)
	p.current = max(p.current, count)
}

func (p *recentPeak) value(now time.Time) int {
	p.rotate(now)

	return max(p.current, p.previous)
}

// rotate starts a new window when the current one is over. Without new grants the
// counts stay, because a holder may be unresponsive for longer than a window.
func (p *recentPeak) rotate(now time.Time) {
	if now.Sub(p.windowStart) < recentPeakWindow || p.current == 0 {
		return
	}

	p.windowStart = now
	p.previous = p.current
	p.current = 0
}

// belowRecentPeak reports whether this node runs fewer lower-tier attempts on the
// pool than its recent peak. The caller holds r.mu.
func (r *Router) belowRecentPeak(pool string) bool {
	peak := r.recentPeaks[pool]

	return peak != nil && r.lowerTierAttempts(pool) < peak.value(time.Now())
}

// lowerTierAttempts returns the number of attempts below tier 1 that this node runs on the pool. The caller holds r.mu.
func (r *Router) lowerTierAttempts(pool string) int {
	count := 0

	for _, a := range r.attempts {
		if a.lowerTier && a.pool == pool {
			count++
		}
	}

	return count
}
