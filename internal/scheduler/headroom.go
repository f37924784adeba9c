package scheduler

import (
	"math"
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

const (
	shortestBurst = 100 * time.Millisecond
	burstForget   = 30 * time.Second
	// largestReserve is the part of the pool that learned headroom may keep free.
	largestReserve = 0.25
)

// burst measures how many tier 1 requests come within one of their latency targets.
type burst struct {
	// last is the latest arrival, or the pool's first event while there was none.
	last   time.Time
	window time.Duration
	start  time.Time
	count  float64
	// peak is the largest count of a window; it halves every burstForget.
	peak   float64
	peakAt time.Time
}

func (b *burst) began(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
}

func (b *burst) arrived(now time.Time, classes map[string]configurer.Class) {
	b.last = now

	if b.window == 0 || now.Sub(b.start) >= b.window {
		b.window = shortestTopTarget(classes)
		b.start = now
		b.count = 0
	}

	b.count++

	if recent := b.recentPeak(now); b.count > recent {
		b.peak = b.count
		b.peakAt = now
	}
}

func (b *burst) recentPeak(now time.Time) float64 {
	return b.peak * math.Exp2(-now.Sub(b.peakAt).Seconds()/burstForget.Seconds())
}

func shortestTopTarget(classes map[string]configurer.Class) time.Duration {
	shortest := time.Duration(0)

	for _, class := range classes {
		if class.Tier == topTier && (shortest == 0 || class.Target < shortest) {
			shortest = class.Target
		}
	}

	return max(shortest, shortestBurst)
}

// headroom is the number of free slots that lower tiers leave to tier 1: the
// largest recent burst of tier 1, less the slots that become free while it comes.
func (p *Pool) headroom(now time.Time) int {
	if p.options.Headroom < 0 || now.Sub(p.burst.last) >= p.options.HeadroomIdleTimeout || !p.servesTop() {
		return 0
	}

	if p.options.Headroom > 0 {
		return p.options.Headroom
	}

	slots, busy := 0, 0.0

	for _, s := range p.servers {
		if !s.gone && !s.upstream.Leaving {
			slots += s.slots()
		}
	}

	for _, c := range p.classes {
		busy += float64(c.running) / c.slotTime()
	}

	need := p.burst.recentPeak(now) - busy*p.burst.window.Seconds()
	if p.options.EnginePriority && p.service.Kind == configurer.KindEngine {
		need -= float64(len(p.servers))
	}

	return int(min(max(math.Ceil(need), 1), largestReserve*float64(slots)))
}

func (p *Pool) servesTop() bool {
	for _, c := range p.classes {
		if c.settings.Tier == topTier {
			return true
		}
	}

	return false
}
