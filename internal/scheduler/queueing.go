package scheduler

import (
	"time"
)

func (p *Pool) enqueue(now time.Time, request Request, c *class) {
	p.sequence++

	w := &waiter{
		request:  request,
		class:    c,
		tier:     c.settings.Tier,
		sequence: p.sequence,
		queuedAt: now.Add(-request.Queued),
	}

	w.schedule(now, p.latestPreemption(now, w))
	p.waiting[request.ID] = w
	p.addWaiter(w)
	p.timers.push(w)

	if c.settings.Tier == highestTier {
		p.tier1Burst.addArrival(now, p.service.Classes)
	}

	c.load.add(now, c.slotTime())
}

// schedule sets the times of the waiter's events, and the effective tier for its age.
func (w *waiter) schedule(now, preemptAt time.Time) {
	settings := &w.class.settings
	if settings.MaxWait > 0 {
		w.refuseAt = w.queuedAt.Add(settings.MaxWait)
	}

	w.preemptAt = preemptAt
	w.moveUpAt = time.Time{}

	if settings.MoveUpAfter <= 0 || settings.Tier <= highestTier+1 {
		return
	}

	periods := int(now.Sub(w.queuedAt) / settings.MoveUpAfter)
	w.tier = max(settings.Tier-periods, highestTier+1)

	if w.tier > highestTier+1 {
		w.moveUpAt = w.queuedAt.Add(time.Duration(periods+1) * settings.MoveUpAfter)
	}
}

// addWaiter adds a waiter to the queue of its effective tier.
func (p *Pool) addWaiter(w *waiter) {
	p.tiers[w.tier].push(w, p.service.Organisations[w.request.Organisation].Weight)
	w.class.waiting[w.tier]++
	w.class.total++
}

// removeFromCounts reverses the counting of addWaiter after the waiter left its queue.
func (w *waiter) removeFromCounts() {
	w.class.waiting[w.tier]--
	w.class.total--

	if w.class.total == 0 {
		w.class.credit = min(w.class.credit, 0)
	}
}

// removeWaiter removes a waiter from its queue, the timers and the index of waiting requests.
func (p *Pool) removeWaiter(w *waiter) {
	p.tiers[w.tier].remove(w)
	w.removeFromCounts()
	p.timers.remove(w)
	delete(p.waiting, w.request.ID)
}

func (p *Pool) moveUp(now time.Time, w *waiter) {
	p.timers.remove(w)
	p.tiers[w.tier].remove(w)
	w.removeFromCounts()
	w.schedule(now, w.preemptAt)
	p.addWaiter(w)
	p.timers.push(w)
}
