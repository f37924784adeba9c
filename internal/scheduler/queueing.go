package scheduler

import (
	"time"
)

func (p *Pool) enqueue(now time.Time, request Request, c *class) {
	p.order++

	w := &waiter{
		request: request,
		class:   c,
		tier:    c.settings.Tier,
		order:   p.order,
		queued:  now.Add(-request.Queued),
	}

	w.schedule(now, p.preemptAt(now, w))
	p.waiting[request.ID] = w
	p.add(w)
	p.wakes.push(w)

	if c.settings.Tier == topTier {
		p.burst.arrived(now, p.service.Classes)
	}

	c.load.add(now, c.slotTime())
}

// schedule sets the times at which something is due, and the tier that the age so far gives.
func (w *waiter) schedule(now, preemptAt time.Time) {
	settings := &w.class.settings
	if settings.MaxWait > 0 {
		w.refuseAt = w.queued.Add(settings.MaxWait)
	}

	w.preemptAt = preemptAt
	w.moveUpAt = time.Time{}

	if settings.MoveUpAfter <= 0 || settings.Tier <= topTier+1 {
		return
	}

	periods := int(now.Sub(w.queued) / settings.MoveUpAfter)
	w.tier = max(settings.Tier-periods, topTier+1)

	if w.tier > topTier+1 {
		w.moveUpAt = w.queued.Add(time.Duration(periods+1) * settings.MoveUpAfter)
	}
}

// add puts a waiter into the ring of its effective tier.
func (p *Pool) add(w *waiter) {
	p.tiers[w.tier].push(w, p.service.Organisations[w.request.Organisation].Weight)
	w.class.waiting[w.tier]++
	w.class.total++
}

// uncount undoes the counting of add after the waiter left its ring.
func (w *waiter) uncount() {
	w.class.waiting[w.tier]--
	w.class.total--

	if w.class.total == 0 {
		w.class.credit = min(w.class.credit, 0)
	}
}

// drop takes a waiter out of everything.
func (p *Pool) drop(w *waiter) {
	p.tiers[w.tier].remove(w)
	w.uncount()
	p.wakes.remove(w)
	delete(p.waiting, w.request.ID)
}

func (p *Pool) moveUp(now time.Time, w *waiter) {
	p.wakes.remove(w)
	p.tiers[w.tier].remove(w)
	w.uncount()
	w.schedule(now, w.preemptAt)
	p.add(w)
	p.wakes.push(w)
}
