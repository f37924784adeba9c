package budgeter

import (
	"context"
	"time"
)

// Permit is one extra attempt that was paid for. It counts in each window until it is over. Its methods may be called on nil,
// which stands for an attempt that costs nothing, but not concurrently.
type Permit struct {
	budgeter *Budgeter
	service  string
	// own and borrowed add up to one attempt.
	own, borrowed float64
	// expires is when what was borrowed may not be used any more.
	expires time.Duration
	over    bool
}

// Acquire pays for one extra attempt, from this node's own budget or from those of others; false if nothing is left.
func (b *Budgeter) Acquire(ctx context.Context, service string) (*Permit, bool) {
	b.update(service, func(l *ledger) { l.wanted.add(l.slot, 1) })

	own, ok := b.take(service, 1)
	if ok {
		return &Permit{budgeter: b, service: service, own: 1}, true
	}

	if charge, ok := b.borrow(ctx, service, own); ok {
		return charge, true
	}

	b.update(service, func(l *ledger) { l.totals.refused++ })

	return nil, false
}

// Usable says whether the attempt may still be sent.
func (c *Permit) Usable() bool {
	return c == nil || !c.over && (c.borrowed == 0 || c.budgeter.options.Now() <= c.expires)
}

// Borrowed is the part of the attempt that other nodes pay for.
func (c *Permit) Borrowed() float64 {
	if c == nil {
		return 0
	}

	return c.borrowed
}

// Cancel gives back an attempt that was not sent. After Complete it does nothing.
func (c *Permit) Cancel() {
	c.end(func(l *ledger) { l.totals.unused++ })
}

// Complete ends an attempt that was sent. Arrived says that it and those before it of the same request surely have arrived.
func (c *Permit) Complete(arrived bool) {
	c.end(func(l *ledger) {
		last := l.now
		if !arrived {
			last += l.late
		}

		amount := c.own
		if c.borrowed > 0 && last > c.expires+l.late {
			// It took longer than its lender counts it.
			amount = 1
		}

		l.extras.add(l.at(last), amount)
		l.totals.extras++
	})
}

// end closes the charge once, and records how.
func (c *Permit) end(record func(l *ledger)) {
	if c == nil || c.over {
		return
	}

	c.over = true

	c.budgeter.update(c.service, func(l *ledger) {
		l.inFlight -= c.own
		record(l)
	})
}
