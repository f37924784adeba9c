// Package budgeter bounds the attempts that nodes add to the first ones of requests.
//
// In any window, all nodes together send a service at most a ratio of its requests and Extra more. Each node keeps within the
// ratio of its own requests and its part of Extra, so the sum is kept without a message. A node that needs more borrows from
// others what they don't need; the lender counts it as its own.
//
// What counts for a window is the mean of the requests in it and in the one before it. All nodes count alike: bounds of single
// nodes that each took the larger of the two would not add up. An extra attempt counts in each window in which it may have
// arrived.
package budgeter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Options bound extra attempts.
type Options struct {
	// Ratio is the number of extra attempts for each request.
	Ratio float64
	// Extra is how many more all nodes together may send in one window; a fraction is allowed.
	Extra float64
	// Window is the span over which both hold.
	Window time.Duration
	// Share returns this node's part of Extra, 0 to 1. Those of all nodes whose attempts can arrive in one window add up to at most 1.
	Share func() float64
	// Now is a clock that counts suspensions.
	Now func() time.Duration
	// Peers reaches the nodes that may lend; nil if there are none.
	Peers Peers
	// Live returns the names of the nodes that answer, this one included.
	Live func() []string
	// Self is this node's name.
	Self   string
	Logger zerolog.Logger
}

// Budgeter counts attempts by service. It is safe for concurrent use.
//
// Lock order: Budgeter.mu alone; it is not held during calls of Options.
type Budgeter struct {
	// options holds the bounds in force; these two are read and replaced under mu.
	options Options
	loans   loans

	mu       sync.Mutex
	services map[string]*ledger
	// beatAt is when the process was last seen to run, and backlogUntil the end of the time after a stall in which
	// requests are read that may have been sent long before.
	beatAt, backlogUntil time.Duration
}

// New returns a budgeter that has counted nothing.
func New(options Options) *Budgeter {
	return &Budgeter{
		options:  options,
		loans:    newLoans(),
		services: make(map[string]*ledger),
		beatAt:   options.Now(),
	}
}

// SetBounds replaces the ratio and the extra attempts; what was counted stays.
func (b *Budgeter) SetBounds(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.options.Ratio, b.options.Extra = ratio, extra
}

// CountRequest counts a request when it arrives.
func (b *Budgeter) CountRequest(service string) {
	b.update(service, func(l *ledger) {
		b.beatLocked(l.now)

		l.totals.firsts++

		if l.now >= b.backlogUntil {
			l.firsts.add(l.slot, 1)
		}
	})
}

// MarkRunning tells that the process runs. It must be called several times in each stallTime.
func (b *Budgeter) MarkRunning() {
	now := b.options.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	b.beatLocked(now)
}

// beatLocked finds out whether the process was stalled; b.mu is held.
func (b *Budgeter) beatLocked(now time.Duration) {
	if now-b.beatAt > stallTime {
		b.backlogUntil = now + stallGrace
	}

	b.beatAt = now
}

// take takes so much of an extra attempt from this node's own budget, or returns how much is left if that is less.
func (b *Budgeter) take(service string, amount float64) (left float64, ok bool) {
	part := b.options.Share()

	b.update(service, func(l *ledger) {
		left = max(b.available(l, part), 0)
		ok = left >= amount-rounding

		if ok {
			l.inFlight += amount
		}
	})

	return left, ok
}

// update changes the ledger of a service, moved on to now.
func (b *Budgeter) update(service string, change func(l *ledger)) {
	now := b.options.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	change(b.ledger(now, service))
}

// available is how many extra attempts this node may still pay for, with its part of those that all share; b.mu is held.
func (b *Budgeter) available(l *ledger, part float64) float64 {
	return l.available(b.options.Ratio, b.options.Extra*part)
}

// ledger returns the counts of a service, moved on to now; b.mu is held.
func (b *Budgeter) ledger(now time.Duration, service string) *ledger {
	l, ok := b.services[service]
	if !ok {
		l = &ledger{durations: durationsOf(b.options.Window)}
		b.services[service] = l
	}

	l.advance(now)

	return l
}

// Usage is what a node has counted for one service, and what it allows now.
type Usage struct {
	Service string `json:"service"`
	// Requests and ExtraAttempts count requests and the extra attempts that may have arrived, since the start.
	Requests      int64 `json:"firsts"`
	ExtraAttempts int64 `json:"extras"`
	// Refused counts extra attempts for which nothing was left, Unused those that were paid for and not sent.
	Refused int64 `json:"refused"`
	Unused  int64 `json:"unused"`
	// Borrowed and Lent are what peers paid for this node, and this node for peers, in attempts.
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
	// WindowRequests and WindowExtraAttempts are those that count for the window that begins now; the latter has what was lent.
	WindowRequests      float64 `json:"window_firsts"`
	WindowExtraAttempts float64 `json:"window_extras"`
	// Bound is the extra attempts that the node may pay for in that window, Remaining how many it may still pay for in all
	// windows, Share its share of those that all nodes share.
	Bound     float64 `json:"bound"`
	Remaining float64 `json:"left"`
	Share     float64 `json:"part"`
}

// Usage returns what was counted, by service in their order.
func (b *Budgeter) Usage() []Usage {
	part := b.options.Share()
	now := b.options.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	usage := make([]Usage, 0, len(b.services))

	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		l := b.ledger(now, service)
		u := l.totals.usage(service)
		u.WindowRequests, u.WindowExtraAttempts = l.present()
		u.Bound = b.options.Ratio*u.WindowRequests + b.options.Extra*part
		u.Remaining, u.Share = max(b.available(l, part), 0), part
		usage = append(usage, u)
	}

	return usage
}

// totals count since the start.
type totals struct {
	firsts, extras, refused, unused int64
	borrowed, lent                  float64
}

func (t *totals) usage(service string) Usage {
	return Usage{
		Service: service, Requests: t.firsts, ExtraAttempts: t.extras, Refused: t.refused, Unused: t.unused, Borrowed: t.borrowed, Lent: t.lent,
	}
}
