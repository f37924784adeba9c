package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

// submitSpare grants a slot that is free now, or refuses. A second copy of a request must not wait,
// overtake a waiting request, cause a preemption, or fill a server beyond its limit, because the copy
// may turn out to be unnecessary. It isn't counted in the arrival statistics.
func (p *Pool) submitSpare(now time.Time, request Request, c *class) []Decision {
	p.sequence++
	p.view.refresh(now)

	w := &waiter{request: request, class: c, tier: c.settings.Tier, sequence: p.sequence, queuedAt: now}

	s := p.view.bestServer(w, false)
	if s == nil || !p.spare(c) {
		return p.refuseNew(&request, classifier.NoUpstream, noServerRetryAfter)
	}

	p.waiting[request.ID] = w
	p.addWaiter(w)
	p.timers.push(w)
	p.grant(now, w, s)

	return p.decisions
}

// spare reports whether no other request has a claim on a free slot. While capacity is unknown, this
// is never the case.
func (p *Pool) spare(c *class) bool {
	if p.rebuild.active {
		return false
	}

	if c.settings.Tier == highestTier {
		return p.tiers[highestTier].waiting == 0
	}

	return len(p.waiting) == 0 && p.view.freeForLower > 0
}

// maxSupersededRatio is the largest relative time recorded for a superseded attempt. With it, four
// consecutive ones on an engine, without an attempt at the usual time between them, mark a straggler.
const maxSupersededRatio = 2

// recordSuperseded updates the server's speed from an attempt that another one overtook; its duration
// is only a lower bound. Without this, a straggler whose requests are all hedged in time would never
// be detected. Each request would use a copy until the hedging budget is spent, and then miss its
// target anyway.
func (p *Pool) recordSuperseded(now time.Time, g *grant, report Report) {
	if report.Duration <= g.class.startP95(p.service.Kind) {
		return
	}

	usual, weight := g.class.firstToken.mean, engineSpeedWeight
	if p.service.Kind == configurer.KindPlain {
		usual, weight = g.class.duration.mean, plainSpeedWeight
	}

	g.server.updateSpeed(now, min(report.Duration.Seconds(), maxSupersededRatio*usual), usual, weight)
}
