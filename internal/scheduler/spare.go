package scheduler

import (
	"time"

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
