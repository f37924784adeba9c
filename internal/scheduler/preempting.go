package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

const (
	// preemptPatience times PreemptionDelay is how long a preempted grant may take to
	// end before another is preempted in its place.
	preemptPatience = 10
	// startShare bounds the part of a target that the expected start may take, so
	// that a slow class doesn't preempt at once each time.
	startShare = 0.8
)

func (p *Pool) preempts() bool {
	return p.service.Kind == configurer.KindEngine && !p.options.EnginePriority && !p.options.NoPreemption
}

// preemptAt is the last moment at which preempting still lets the waiter meet
// its target, or zero when it never preempts. Until then a slot may become free by itself.
func (p *Pool) preemptAt(now time.Time, w *waiter) time.Time {
	settings := &w.class.settings
	if settings.Tier != topTier || !p.preempts() {
		return time.Time{}
	}

	start := min(w.class.start(p.service.Kind), time.Duration(startShare*float64(settings.Target)))
	latest := now.Add(settings.Target - w.request.Waited - start - p.options.PreemptionDelay)

	if latest.Before(now) {
		return now
	}

	return latest
}

// preemptFor takes a slot back for a waiter that would miss its target, and
// returns when to look again. Slots that were taken back already and not yet
// freed count, so that no two are lost for one waiter.
func (p *Pool) preemptFor(now time.Time, w *waiter) time.Time {
	patience := preemptPatience * p.options.PreemptionDelay

	victim, pending := p.victim(now, w)
	if victim == nil || pending >= p.tiers[topTier].waiting {
		return now.Add(p.options.PreemptionDelay)
	}

	victim.preempted = true
	victim.preemptedAt = now
	p.counters.preempted++
	p.decide(victim.decision(Preempt))

	return now.Add(patience)
}

// victim returns the grant to take back for w, or nil, and the number of
// preempted grants that are about to become free.
func (p *Pool) victim(now time.Time, w *waiter) (found *grant, pending int) {
	patience := preemptPatience * p.options.PreemptionDelay
	lost := 0

	for _, g := range p.grants {
		if g.preempted {
			if now.Sub(g.preemptedAt) < patience {
				pending++
			}

			continue
		}

		if !p.preemptible(g, w) {
			continue
		}

		progress := p.progress(now, g)
		if found == nil || worse(g, progress, found, lost) {
			found, lost = g, progress
		}
	}

	return found, pending
}

// preemptible says whether taking the grant back gives w a slot and does no harm.
// It does on a server above its limit too, which two holders at once leave
// behind: w takes the place of what was preempted. Were such servers spared, tier 1
// would wait until whole answers have brought them below their limits.
func (p *Pool) preemptible(g *grant, w *waiter) bool {
	if g.class.settings.Tier == topTier || !g.class.settings.Repeatable || g.request.NotRepeatable {
		return false
	}

	s := g.server

	return p.view.usable(s) && !p.view.straggles(s) && !s.excluded(&w.request)
}

// progress estimates the tokens that the engine has to read again when g resumes.
func (p *Pool) progress(now time.Time, g *grant) int {
	gap := p.gaps.expected(g.server.inFlight) * max(g.server.slow, 1)
	if gap <= 0 {
		return g.request.Progress + int(now.Sub(g.granted)/time.Millisecond)
	}

	return g.request.Progress + int(now.Sub(g.granted).Seconds()/gap)
}

// worse says whether a is to be preempted before b: the lower tier, then the
// least progress, then the newest.
func worse(a *grant, progressA int, b *grant, progressB int) bool {
	if a.class.settings.Tier != b.class.settings.Tier {
		return a.class.settings.Tier > b.class.settings.Tier
	}

	if progressA != progressB {
		return progressA < progressB
	}

	return a.order > b.order
}
