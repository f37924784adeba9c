package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
)

// grantNext gives one slot to the request that is next, and says whether it did.
// Tier 1 comes before all else; then a class that is owed its guaranteed share;
// then the tiers in order.
func (p *Pool) grantNext(now time.Time) bool {
	if len(p.waiting) == 0 {
		return false
	}

	if w := p.tiers[topTier].pick(p.quantum, p.view.matchTop); w != nil {
		p.grant(now, w, p.view.choose(w, false))

		return true
	}

	if p.oversubscribe(now) || p.grantStraggler(now) {
		return true
	}

	if p.view.forLower <= 0 {
		return false
	}

	w := p.nextLower()
	if w == nil {
		return false
	}

	p.grant(now, w, p.view.choose(w, false))

	return true
}

// oversubscribe gives a waiting tier 1 request one slot above a server's limit
// where the engine itself serves by priority.
func (p *Pool) oversubscribe(now time.Time) bool {
	if !p.options.EnginePriority || p.service.Kind != configurer.KindEngine {
		return false
	}

	w := p.tiers[topTier].pick(p.quantum, p.view.matchExtra)
	if w == nil {
		return false
	}

	p.counters.oversubscribed++
	p.grant(now, w, p.view.choose(w, true)).takeExtra()

	return true
}

// grantStraggler gives a tier 1 request that is late a free slot of a server that
// tier 1 avoids. Without it, lookups waited to their end beside idle servers when
// the speeds were judged wrongly.
func (p *Pool) grantStraggler(now time.Time) bool {
	w := p.tiers[topTier].pick(p.quantum, p.view.matchLate)
	if w == nil {
		return false
	}

	p.grant(now, w, p.view.bestOf(w, false, false))

	return true
}

func (p *Pool) nextLower() *waiter {
	if c := p.owed(); c != nil {
		if w := p.pickLower(c); w != nil {
			return w
		}
	}

	return p.pickLower(nil)
}

// pickLower returns the next request below tier 1, of one class when c is not nil.
func (p *Pool) pickLower(c *class) *waiter {
	p.view.class = c

	for tier := topTier + 1; tier <= lowestTier; tier++ {
		if c != nil && c.waiting[tier] == 0 {
			continue
		}

		if w := p.tiers[tier].pick(p.quantum, p.view.matchLower); w != nil {
			return w
		}
	}

	return nil
}

// owed returns the class that lags most behind its guaranteed share, or nil when none lags by a request.
func (p *Pool) owed() *class {
	var (
		found *class
		most  float64
	)

	for _, c := range p.classes {
		if c.total == 0 || c.settings.Tier == topTier || c.settings.GuaranteedShare <= 0 {
			continue
		}

		if lag := c.credit / c.slotTime(); lag >= 1 && lag > most {
			found, most = c, lag
		}
	}

	return found
}

// charge accounts a granted request to the guaranteed shares and returns the
// slot time in seconds that it charged. Shares grow only while a class has to
// wait, so that nobody saves them up in quiet times.
func (p *Pool) charge(granted *class) float64 {
	cost := granted.slotTime()

	for _, c := range p.classes {
		if c.total > 0 && c.settings.GuaranteedShare > 0 {
			c.owe(c.settings.GuaranteedShare * cost)
		}
	}

	granted.owe(-cost)

	return cost
}

// owe adds slot time in seconds to what the class is owed, within bounds.
func (c *class) owe(seconds float64) {
	bound := creditCap * c.slotTime()
	c.credit = min(max(c.credit+seconds, -bound), bound)
}

// settleCharge replaces the estimated slot time of an ended grant by the true one.
func (p *Pool) settleCharge(now time.Time, g *grant) {
	difference := now.Sub(g.granted).Seconds() - g.charged

	for _, c := range p.classes {
		if c.total > 0 && c.settings.GuaranteedShare > 0 {
			c.owe(c.settings.GuaranteedShare * difference)
		}
	}

	g.class.owe(-difference)
}

// grant gives the request a slot of the server.
func (p *Pool) grant(now time.Time, w *waiter, s *server) *grant {
	charged := p.charge(w.class)
	p.tiers[w.tier].take(w)
	w.uncount()
	p.wakes.remove(w)
	delete(p.waiting, w.request.ID)

	g := &grant{
		id:      p.nextGrantID(),
		request: w.request,
		class:   w.class,
		server:  s,
		order:   p.order,
		granted: now,
		cost:    w.class.cost,
		charged: charged,
		lower:   w.class.settings.Tier > topTier,
		exposed: p.exposed(&w.request, w.class),
		cached:  p.view.caches(w, s),
	}

	g.server.vacated = max(0, g.server.vacated-1)
	g.server.add(now, g, p.classes)
	p.grants[g.id] = g
	p.holding[g.request.ID] = g
	p.view.count()

	w.class.granted++
	w.class.longestWait = max(w.class.longestWait, now.Sub(w.queued))

	p.decide(g.decision(Grant))

	return g
}

func (g *grant) takeExtra() {
	g.extra = true
	g.server.extra++
}

// free gives the slot of a grant back.
func (p *Pool) free(now time.Time, g *grant) {
	g.server.remove(now, g)
	delete(p.grants, g.id)

	if p.holding[g.request.ID] == g {
		delete(p.holding, g.request.ID)
	}

	p.finished.add(g.id)

	if g.server.gone {
		p.dropGone()
	}
}

// Finish frees a slot and learns from its report. An unknown id changes nothing.
func (p *Pool) Finish(now time.Time, grantID string, report Report) []Decision {
	p.begin(now)

	g := p.grants[grantID]
	if g == nil {
		p.finished.add(grantID)

		return p.decisions
	}

	if report.Result == dispatcher.ResultPreempted {
		p.counters.tokensLost += g.request.Progress + report.Tokens
	}

	p.learn(now, g, report)
	p.settleCharge(now, g)
	p.free(now, g)
	p.settle(now)

	return p.decisions
}
