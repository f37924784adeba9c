package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

const (
	// preemptTimeoutFactor times PreemptionDelay is how long a preempted grant may take to end before
	// another one is preempted instead.
	preemptTimeoutFactor = 10
	// maxStartFraction bounds the expected start as a fraction of the target, so that a slow class doesn't
	// always preempt at once.
	maxStartFraction = 0.8
)

func (p *Pool) preemptionEnabled() bool {
	return p.service.Kind == configurer.KindEngine && !p.options.EnginePriority && !p.options.NoPreemption
}

// latestPreemption returns the last moment at which a preemption still lets the waiter meet its
// target, or zero if it never preempts. Until then a slot may become free without one.
func (p *Pool) latestPreemption(now time.Time, w *waiter) time.Time {
	settings := &w.class.settings
	if settings.Tier != highestTier || !p.preemptionEnabled() {
		return time.Time{}
	}

	start := min(w.class.startP95(p.service.Kind), time.Duration(maxStartFraction*float64(settings.Target)))
	latest := now.Add(settings.Target - w.request.Waited - start - p.options.PreemptionDelay)

	if latest.Before(now) {
		return now
	}

	return latest
}

// preemptForWaiter preempts a grant for a waiter that would miss its target, and returns when to check
// again. Preempted grants that have not ended yet count, so that a waiter never costs two of them.
func (p *Pool) preemptForWaiter(now time.Time, w *waiter) time.Time {
	timeout := preemptTimeoutFactor * p.options.PreemptionDelay

	victim, pending := p.selectVictim(now, w)
	if victim == nil || pending >= p.tiers[highestTier].waiting {
		return now.Add(p.options.PreemptionDelay)
	}

	victim.preempted = true
	victim.preemptedAt = now
	p.counters.preempted++
	p.addDecision(victim.decision(Preempt))

	return now.Add(timeout)
}

// selectVictim returns the grant to preempt for w, or nil, and the number of preempted grants that are
// about to end.
func (p *Pool) selectVictim(now time.Time, w *waiter) (found *grant, pending int) {
	timeout := preemptTimeoutFactor * p.options.PreemptionDelay
	leastProgress := 0

	for _, g := range p.grants {
		if g.preempted {
			if now.Sub(g.preemptedAt) < timeout {
				pending++
			}

			continue
		}

		if !p.preemptible(g, w) {
			continue
		}

		progress := p.progress(now, g)
		if found == nil || preemptFirst(g, progress, found, leastProgress) {
			found, leastProgress = g, progress
		}
	}

	return found, pending
}

// preemptible reports whether preempting the grant gives w a slot and does no harm. This includes
// servers above their limit, which two concurrent holders can leave behind, since w replaces the
// preempted request. Otherwise tier 1 would wait until complete answers bring such servers below their
// limits.
func (p *Pool) preemptible(g *grant, w *waiter) bool {
	if g.class.settings.Tier == highestTier || !g.class.settings.Repeatable || g.request.NotRepeatable {
		return false
	}

	s := g.server

	return p.view.usable(s) && !p.view.isAvoided(s) && !s.excluded(&w.request)
}

// progress estimates the tokens that the engine must process again when g resumes.
func (p *Pool) progress(now time.Time, g *grant) int {
	gap := p.gaps.expected(g.server.inFlight) * max(g.server.currentSlowness, 1)
	if gap <= 0 {
		return g.request.Progress + int(now.Sub(g.grantedAt)/time.Millisecond)
	}

	return g.request.Progress + int(now.Sub(g.grantedAt).Seconds()/gap)
}

// preemptFirst reports whether a is preempted before b: the lower tier first, then the one with the
// least progress, then the newest.
func preemptFirst(a *grant, progressA int, b *grant, progressB int) bool {
	if a.class.settings.Tier != b.class.settings.Tier {
		return a.class.settings.Tier > b.class.settings.Tier
	}

	if progressA != progressB {
		return progressA < progressB
	}

	return a.sequence > b.sequence
}
