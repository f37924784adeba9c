package budgeter

import (
	"context"
	"time"
)

// Permit allows one extra attempt. It counts against every window until it is completed or cancelled. A nil Permit stands for
// an attempt that doesn't count against the budget. Methods must not be called concurrently.
type Permit struct {
	budgeter *Budgeter
	service  string
	// own and borrowed are the fractions covered by this node and by its peers. They add up to one attempt.
	own, borrowed float64
	// expires is the time after which the borrowed fraction must not be used.
	expires time.Duration
	closed  bool
}

// Acquire reserves one extra attempt from this node's budget, or borrows what is missing from other nodes. It returns false if
// no budget is left.
func (b *Budgeter) Acquire(ctx context.Context, service string) (*Permit, bool) {
	b.update(service, func(c *counters) { c.demand.add(c.slot, 1) })

	own, ok := b.reserve(service, 1)
	if ok {
		return &Permit{budgeter: b, service: service, own: 1}, true
	}

	if permit, ok := b.borrow(ctx, service, own); ok {
		return permit, true
	}

	b.update(service, func(c *counters) { c.totals.refused++ })

	return nil, false
}

// Usable reports whether the attempt may still be sent.
func (p *Permit) Usable() bool {
	return p == nil || !p.closed && (p.borrowed == 0 || p.budgeter.options.Now() <= p.expires)
}

// Borrowed returns the fraction of the attempt that was borrowed from other nodes.
func (p *Permit) Borrowed() float64 {
	if p == nil {
		return 0
	}

	return p.borrowed
}

// Cancel returns the reservation of an attempt that was not sent. It has no effect after Complete.
func (p *Permit) Cancel() {
	p.close(func(c *counters) { c.totals.unused++ })
}

// Complete records an attempt that was sent. arrived says that this attempt and all earlier ones of the same request have
// certainly arrived; otherwise it may still arrive late.
func (p *Permit) Complete(arrived bool) {
	p.close(func(c *counters) {
		latestArrival := c.now
		if !arrived {
			latestArrival += c.lateArrival
		}

		amount := p.own
		if p.borrowed > 0 && latestArrival > p.expires+c.lateArrival {
			// The attempt may arrive after its lender has stopped counting it.
			amount = 1
		}

		c.extraAttempts.add(c.slotAt(latestArrival), amount)
		c.totals.extraAttempts++
	})
}

// close closes the permit on the first call and updates the counters with record.
func (p *Permit) close(record func(c *counters)) {
	if p == nil || p.closed {
		return
	}

	p.closed = true

	p.budgeter.update(p.service, func(c *counters) {
		c.reserved -= p.own
		record(c)
	})
}
