package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

// submitSpare grants a slot that is free now, or refuses. A second copy of a
// request must neither wait, nor go before a request that does, nor have a
// running answer preempted, nor fill a server beyond its limit: the copy may turn
// out to be for nothing. It doesn't count as a request in what is learned of arrivals.
func (p *Pool) submitSpare(now time.Time, request Request, c *class) []Decision {
	p.order++
	p.view.look(now)

	w := &waiter{request: request, class: c, tier: c.settings.Tier, order: p.order, queued: now}

	s := p.view.best(w, false)
	if s == nil || !p.spare(c) {
		return p.refuseNew(&request, classifier.NoUpstream, noServerWait)
	}

	p.waiting[request.ID] = w
	p.add(w)
	p.wakes.push(w)
	p.grant(now, w, s)

	return p.decisions
}

// spare says whether a free slot is nobody's. While capacity is unknown none is.
func (p *Pool) spare(c *class) bool {
	if p.rebuild.active {
		return false
	}

	if c.settings.Tier == topTier {
		return p.tiers[topTier].waiting == 0
	}

	return len(p.waiting) == 0 && p.view.forLower > 0
}

// supersededRatio is the relative time that a superseded attempt counts as. With
// it, four running on an engine without a usual time between them make a straggler.
const supersededRatio = 2

// learnSuperseded takes what an attempt tells that another one overtook. All
// that is known is that it took at least so long. Without this a straggler whose
// requests are all hedged in time would never show, and each would cost a copy
// until the budget is spent; then they would miss their target all the same.
func (p *Pool) learnSuperseded(now time.Time, g *grant, report Report) {
	if report.Duration <= g.class.start(p.service.Kind) {
		return
	}

	usual, weight := g.class.firstToken.mean, slowWeight
	if p.service.Kind == configurer.KindPlain {
		usual, weight = g.class.duration.mean, plainWeight
	}

	g.server.learnSpeed(now, min(report.Duration.Seconds(), supersededRatio*usual), usual, weight)
}
