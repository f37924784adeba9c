package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
)

// grantNext grants one slot to the next request and reports whether it did. Tier 1 comes first, then a
// class that is owed its guaranteed share, then the tiers in order.
func (p *Pool) grantNext(now time.Time) bool {
	if len(p.waiting) == 0 {
		return false
	}

	if w := p.tiers[highestTier].pick(p.quantum, p.view.matchHighest); w != nil {
		p.grant(now, w, p.view.chooseServer(w, false))

		return true
	}

	if p.oversubscribe(now) || p.grantStraggler(now) {
		return true
	}

	if p.view.freeForLower <= 0 {
		return false
	}

	w := p.nextLower()
	if w == nil {
		return false
	}

	p.grant(now, w, p.view.chooseServer(w, false))

	return true
}

// oversubscribe grants a waiting tier 1 request one slot above a server's limit if the engine serves
// by priority.
func (p *Pool) oversubscribe(now time.Time) bool {
	if !p.options.EnginePriority || p.service.Kind != configurer.KindEngine {
		return false
	}

	w := p.tiers[highestTier].pick(p.quantum, p.view.matchOversubscribed)
	if w == nil {
		return false
	}

	p.counters.oversubscribed++
	p.grant(now, w, p.view.chooseServer(w, true)).markOversubscribed()

	return true
}

// grantStraggler grants a late tier 1 request a free slot of a server that tier 1 avoids. Without it,
// lookups waited until they were refused while servers with misjudged speeds were idle.
func (p *Pool) grantStraggler(now time.Time) bool {
	w := p.tiers[highestTier].pick(p.quantum, p.view.matchLate)
	if w == nil {
		return false
	}

	p.grant(now, w, p.view.bestServerAmong(w, false, false))

	return true
}

func (p *Pool) nextLower() *waiter {
	if c := p.mostOwedClass(); c != nil {
		if w := p.pickLower(c); w != nil {
			return w
		}
	}

	return p.pickLower(nil)
}

// pickLower returns the next request below tier 1, only of class c if it is not nil.
func (p *Pool) pickLower(c *class) *waiter {
	p.view.classFilter = c

	for tier := highestTier + 1; tier <= lowestTier; tier++ {
		if c != nil && c.waiting[tier] == 0 {
			continue
		}

		if w := p.tiers[tier].pick(p.quantum, p.view.matchLower); w != nil {
			return w
		}
	}

	return nil
}

// mostOwedClass returns the class that is furthest behind its guaranteed share, or nil if none is
// behind by a whole request.
func (p *Pool) mostOwedClass() *class {
	var (
		found *class
		most  float64
	)

	for _, c := range p.classes {
		if c.total == 0 || c.settings.Tier == highestTier || c.settings.GuaranteedShare <= 0 {
			continue
		}

		if lag := c.credit / c.slotTime(); lag >= 1 && lag > most {
			found, most = c, lag
		}
	}

	return found
}

// chargeGrant charges a granted request to the guaranteed shares and returns the charged slot time in
// seconds. Credit grows only while a class has waiting requests, so that no class accumulates it while
// idle.
func (p *Pool) chargeGrant(granted *class) float64 {
	cost := granted.slotTime()

	for _, c := range p.classes {
		if c.total > 0 && c.settings.GuaranteedShare > 0 {
			c.addCredit(c.settings.GuaranteedShare * cost)
		}
	}

	granted.addCredit(-cost)

	return cost
}

// addCredit adds slot time in seconds to what the class is owed, within bounds.
func (c *class) addCredit(seconds float64) {
	bound := maxCreditRequests * c.slotTime()
	c.credit = min(max(c.credit+seconds, -bound), bound)
}

// correctCharge replaces the estimated slot time of an ended grant by the actual one.
func (p *Pool) correctCharge(now time.Time, g *grant) {
	difference := now.Sub(g.grantedAt).Seconds() - g.chargedSlotTime

	for _, c := range p.classes {
		if c.total > 0 && c.settings.GuaranteedShare > 0 {
			c.addCredit(c.settings.GuaranteedShare * difference)
		}
	}

	g.class.addCredit(-difference)
}

// grant gives the request a slot of the server.
func (p *Pool) grant(now time.Time, w *waiter, s *server) *grant {
	charged := p.chargeGrant(w.class)
	p.tiers[w.tier].take(w)
	w.removeFromCounts()
	p.timers.remove(w)
	delete(p.waiting, w.request.ID)

	g := &grant{
		id:               p.nextGrantID(),
		request:          w.request,
		class:            w.class,
		server:           s,
		sequence:         p.sequence,
		grantedAt:        now,
		cost:             w.class.cost,
		chargedSlotTime:  charged,
		belowHighestTier: w.class.settings.Tier > highestTier,
		countsInExposure: p.isExposed(&w.request, w.class),
		promptCached:     p.view.hasPromptCached(w, s),
	}

	g.server.vacated = max(0, g.server.vacated-1)
	g.server.add(now, g, p.classes)
	p.grants[g.id] = g
	p.grantByRequest[g.request.ID] = g
	p.view.countFreeSlots()

	w.class.granted++
	w.class.longestWait = max(w.class.longestWait, now.Sub(w.queuedAt))

	p.addDecision(g.decision(Grant))

	return g
}

func (g *grant) markOversubscribed() {
	g.oversubscribed = true
	g.server.oversubscribed++
}

// releaseGrant frees the slot of a grant.
func (p *Pool) releaseGrant(now time.Time, g *grant) {
	g.server.remove(now, g)
	delete(p.grants, g.id)

	if p.grantByRequest[g.request.ID] == g {
		delete(p.grantByRequest, g.request.ID)
	}

	p.endedGrants.add(g.id)

	if g.server.removed {
		p.removeUnusedServers()
	}
}

// Finish frees a slot and updates the estimates from its report. An unknown ID changes nothing.
func (p *Pool) Finish(now time.Time, grantID string, report Report) []Decision {
	p.startCall(now)

	g := p.grants[grantID]
	if g == nil {
		p.endedGrants.add(grantID)

		return p.decisions
	}

	if report.Result == dispatcher.ResultPreempted {
		p.counters.tokensLost += g.request.Progress + report.Tokens
	}

	p.recordReport(now, g, report)
	p.correctCharge(now, g)
	p.releaseGrant(now, g)
	p.grantAndRunTimers(now)

	return p.decisions
}
