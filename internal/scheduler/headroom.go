package scheduler

import (
	"math"
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

const (
	minBurstWindow = 100 * time.Millisecond
	burstHalfLife  = 30 * time.Second
	// maxHeadroomFraction is the largest fraction of the pool that learned headroom may reserve.
	maxHeadroomFraction = 0.25
)

// burstMeter measures how many tier 1 requests arrive within one tier 1 target.
type burstMeter struct {
	// lastArrival is the latest arrival, or the pool's first event before there was one.
	lastArrival time.Time
	window      time.Duration
	windowStart time.Time
	count       float64
	// peak is the largest count of a window; it halves every burstHalfLife.
	peak   float64
	peakAt time.Time
}

func (b *burstMeter) setFirstEvent(now time.Time) {
	if b.lastArrival.IsZero() {
		b.lastArrival = now
	}
}

func (b *burstMeter) addArrival(now time.Time, classes map[string]configurer.Class) {
	b.lastArrival = now

	if b.window == 0 || now.Sub(b.windowStart) >= b.window {
		b.window = shortestTopTarget(classes)
		b.windowStart = now
		b.count = 0
	}

	b.count++

	if recent := b.recentPeak(now); b.count > recent {
		b.peak = b.count
		b.peakAt = now
	}
}

func (b *burstMeter) recentPeak(now time.Time) float64 {
	return b.peak * math.Exp2(-now.Sub(b.peakAt).Seconds()/burstHalfLife.Seconds())
}

func shortestTopTarget(classes map[string]configurer.Class) time.Duration {
	shortest := time.Duration(0)

	for _, class := range classes {
		if class.Tier == highestTier && (shortest == 0 || class.Target < shortest) {
			shortest = class.Target
		}
	}

	return max(shortest, minBurstWindow)
}

// headroom returns the number of free slots reserved for tier 1: the largest recent burst of tier 1,
// less the slots that become free while it arrives.
func (p *Pool) headroom(now time.Time) int {
	if p.options.Headroom < 0 || now.Sub(p.tier1Burst.lastArrival) >= p.options.HeadroomIdleTimeout || !p.hasHighestTier() {
		return 0
	}

	if p.options.Headroom > 0 {
		return p.options.Headroom
	}

	slots, busy := 0, 0.0

	for _, s := range p.servers {
		if !s.removed && !s.upstream.Leaving {
			slots += s.slots()
		}
	}

	for _, c := range p.classes {
		busy += float64(c.running) / c.slotTime()
	}

	need := p.tier1Burst.recentPeak(now) - busy*p.tier1Burst.window.Seconds()
	if p.options.EnginePriority && p.service.Kind == configurer.KindEngine {
		need -= float64(len(p.servers))
	}

	return int(min(max(math.Ceil(need), 1), maxHeadroomFraction*float64(slots)))
}

func (p *Pool) hasHighestTier() bool {
	for _, c := range p.classes {
		if c.settings.Tier == highestTier {
			return true
		}
	}

	return false
}
