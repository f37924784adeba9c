// Package budgeter implements the retry budget: it limits the extra attempts, those that nodes send in addition to the first
// attempt of each request.
//
// In any window, all nodes together send a service at most Ratio extra attempts per request, plus Extra. Each node stays within
// Ratio of its own requests plus its share of Extra, so the total holds without messages between nodes. A node that needs more
// borrows unused budget from other nodes; the lender counts it as its own.
//
// The number of requests of a window is the mean of the requests in it and in the window before it. All nodes have to use the
// same rule: if each node took the larger of the two, the limits of the nodes would not add up to the limit of all. An extra
// attempt counts in each window in which it may have arrived.
package budgeter

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Options configures a Budgeter.
type Options struct {
	// Ratio is the number of extra attempts allowed per request.
	Ratio float64
	// Extra is the number of extra attempts per window that all nodes together may send beyond Ratio. It may be a fraction.
	Extra float64
	// Window is the length of the window to which both limits apply.
	Window time.Duration
	// Share returns this node's share of Extra, from 0 to 1. The shares of all nodes whose attempts can arrive in one window
	// must add up to at most 1.
	Share func() float64
	// Now returns a monotonic time that also advances while the system is suspended.
	Now func() time.Duration
	// Peers reaches the nodes to borrow from; nil if there are none.
	Peers Peers
	// Live returns the names of the live nodes, this one included.
	Live func() []string
	// Self is this node's name.
	Self   string
	Logger zerolog.Logger
}

// Budgeter tracks the retry budget of each service. It is safe for concurrent use.
//
// Budgeter.mu is not held together with another lock, nor while functions of Options are called.
type Budgeter struct {
	// options holds the current configuration. mu guards its Ratio and Extra.
	options  Options
	borrower borrower

	mu       sync.Mutex
	services map[string]*counters
	// lastRunningAt is the last time at which the process was known to run. backlogUntil is the end of the time after a stall in
	// which the requests that are read may have been sent long before.
	lastRunningAt, backlogUntil time.Duration
}

// New returns a Budgeter with empty counters.
func New(options Options) *Budgeter {
	return &Budgeter{
		options:       options,
		borrower:      newBorrower(),
		services:      make(map[string]*counters),
		lastRunningAt: options.Now(),
	}
}

// SetBounds replaces Ratio and Extra. The counters are kept.
func (b *Budgeter) SetBounds(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.options.Ratio, b.options.Extra = ratio, extra
}

// CountRequest counts a request that has just arrived.
func (b *Budgeter) CountRequest(service string) {
	b.update(service, func(c *counters) {
		b.detectStallLocked(c.now)

		c.totals.requests++

		if c.now >= b.backlogUntil {
			c.requests.add(c.slot, 1)
		}
	})
}

// MarkRunning records that the process is running. It must be called several times per stallThreshold.
func (b *Budgeter) MarkRunning() {
	now := b.options.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	b.detectStallLocked(now)
}

// detectStallLocked checks whether the process was stalled. The caller holds b.mu.
func (b *Budgeter) detectStallLocked(now time.Duration) {
	if now-b.lastRunningAt > stallThreshold {
		b.backlogUntil = now + stallBacklogTime
	}

	b.lastRunningAt = now
}

// reserve reserves the given fraction of an extra attempt from this node's own budget. If less than that remains, it reserves
// nothing. remaining is what was available before.
func (b *Budgeter) reserve(service string, amount float64) (remaining float64, ok bool) {
	share := b.options.Share()

	b.update(service, func(c *counters) {
		remaining = max(b.available(c, share), 0)
		ok = remaining >= amount-roundingTolerance

		if ok {
			c.reserved += amount
		}
	})

	return remaining, ok
}

// update changes the counters of a service after advancing them to the current time.
func (b *Budgeter) update(service string, change func(c *counters)) {
	now := b.options.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	change(b.countersFor(now, service))
}

// available returns how many extra attempts this node may still reserve, given its share of Extra. The caller holds b.mu.
func (b *Budgeter) available(c *counters, share float64) float64 {
	return c.available(b.options.Ratio, b.options.Extra*share)
}

// countersFor returns the counters of a service, advanced to now. The caller holds b.mu.
func (b *Budgeter) countersFor(now time.Duration, service string) *counters {
	c, ok := b.services[service]
	if !ok {
		c = &counters{durations: durationsOf(b.options.Window)}
		b.services[service] = c
	}

	c.advance(now)

	return c
}

// Usage holds the counters and the current limits of one service on this node.
type Usage struct {
	Service string `json:"service"`
	// Requests and ExtraAttempts count the requests, and the extra attempts that may have arrived, since the start.
	Requests      int64 `json:"firsts"`
	ExtraAttempts int64 `json:"extras"`
	// Refused counts extra attempts that found no budget left, Unused those that were reserved but not sent.
	Refused int64 `json:"refused"`
	Unused  int64 `json:"unused"`
	// Borrowed and Lent are the numbers of attempts borrowed from peers and lent to them.
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
	// WindowRequests and WindowExtraAttempts are the numbers that count in the window that starts now. The latter includes what
	// was lent.
	WindowRequests      float64 `json:"window_firsts"`
	WindowExtraAttempts float64 `json:"window_extras"`
	// Bound is the number of extra attempts that the node may send in that window, Remaining how many it may still reserve
	// without exceeding any window, Share its share of Extra.
	Bound     float64 `json:"bound"`
	Remaining float64 `json:"left"`
	Share     float64 `json:"part"`
}

// Usage returns the usage of all services, sorted by name.
func (b *Budgeter) Usage() []Usage {
	share := b.options.Share()
	now := b.options.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	usage := make([]Usage, 0, len(b.services))

	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		c := b.countersFor(now, service)
		u := c.totals.usage(service)
		u.WindowRequests, u.WindowExtraAttempts = c.currentWindow()
		u.Bound = b.options.Ratio*u.WindowRequests + b.options.Extra*share
		u.Remaining, u.Share = max(b.available(c, share), 0), share
		usage = append(usage, u)
	}

	return usage
}

// totals counts since the start.
type totals struct {
	requests, extraAttempts, refused, unused int64
	borrowed, lent                           float64
}

func (t *totals) usage(service string) Usage {
	return Usage{
		Service: service, Requests: t.requests, ExtraAttempts: t.extraAttempts, Refused: t.refused, Unused: t.unused, Borrowed: t.borrowed, Lent: t.lent,
	}
}
