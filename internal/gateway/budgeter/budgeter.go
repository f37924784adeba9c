// Package budgeter bounds the attempts that a node adds to the first ones.
//
// All nodes together may send a service a ratio of its requests and some more in any
// window. Each node holds to the ratio of its own requests and to an even part of
// the rest, so the sum holds without a message. Both are added before they are cut to a
// whole number: with more nodes than extra attempts, a part of less than one would else
// be none, and no node could try again at low traffic although the bound allows it. Without a bound a failure that hits
// all upstreams multiplies the load just when capacity is lost.
package budgeter

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// parts is the number of parts into which the window is cut; one more is counted, so that
// any span of a window's length is covered.
const parts = 10

// rounding is what the sum of two bounds may lack of a whole attempt, in attempts: 0.2 requests of five add up to less than one.
const rounding = 1e-9

// Options bound extra attempts.
type Options struct {
	// Ratio is the number of extra attempts for each request.
	Ratio float64
	// Extra is how many more all nodes together may send in one window; a fraction is allowed.
	Extra float64
	// Window is the span over which both hold.
	Window time.Duration
	// Nodes returns the number of nodes that share Extra; at least 1.
	Nodes func() int
}

// Budgeter counts attempts by service. It is safe for concurrent use.
type Budgeter struct {
	options Options
	// started is the origin of slots: its monotonic reading keeps steps of the wall clock out.
	started time.Time

	mu       sync.Mutex
	services map[string]*window
}

// Usage is what a node has counted for one service, and what it allows now.
type Usage struct {
	Service string `json:"service"`
	// Firsts, Extras and Refused count first attempts, extra attempts and extra attempts that the budget refused, since the start.
	Firsts  int64 `json:"firsts"`
	Extras  int64 `json:"extras"`
	Refused int64 `json:"refused"`
	// WindowFirsts and WindowExtras are those that count now, Bound the extras that the node allows for them.
	WindowFirsts int     `json:"window_firsts"`
	WindowExtras int     `json:"window_extras"`
	Bound        float64 `json:"bound"`
	// Nodes is the number of nodes by which the node divides the extra attempts that all share.
	Nodes int `json:"nodes"`
}

type window struct {
	// slot is the number of the part of time to which the counts were last moved on.
	slot   int64
	firsts [parts + 1]int
	extras [parts + 1]int
	// totals count since the start.
	totals struct{ firsts, extras, refused int64 }
}

// New returns a budgeter that has counted nothing.
func New(options Options) *Budgeter {
	return &Budgeter{options: options, started: time.Now(), services: make(map[string]*window)}
}

// SetBounds replaces the ratio and the extra attempts; what was counted stays.
func (b *Budgeter) SetBounds(ratio float64, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.options.Ratio, b.options.Extra = ratio, extra
}

// First counts a request's first attempt.
func (b *Budgeter) First(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	w := b.window(now, service)
	w.firsts[w.slot%(parts+1)]++
	w.totals.firsts++
}

// Spend takes one extra attempt, or returns false when the budget is spent.
func (b *Budgeter) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	w := b.window(now, service)

	firsts, extras := w.sums()
	if float64(extras+1) > b.bound(firsts)+rounding {
		w.totals.refused++

		return false
	}

	w.extras[w.slot%(parts+1)]++
	w.totals.extras++

	return true
}

// Usage returns what was counted, by service in their order.
func (b *Budgeter) Usage(now time.Time) []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()

	usage := make([]Usage, 0, len(b.services))

	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		w := b.window(now, service)
		firsts, extras := w.sums()
		usage = append(usage, Usage{
			Service:      service,
			Firsts:       w.totals.firsts,
			Extras:       w.totals.extras,
			Refused:      w.totals.refused,
			WindowFirsts: firsts,
			WindowExtras: extras,
			Bound:        b.bound(firsts),
			Nodes:        b.options.Nodes(),
		})
	}

	return usage
}

// bound is the number of extra attempts that so many first ones allow; b.mu is held.
func (b *Budgeter) bound(firsts int) float64 {
	return b.options.Ratio*float64(firsts) + b.options.Extra/float64(max(b.options.Nodes(), 1))
}

func (w *window) sums() (firsts, extras int) {
	for i := range w.firsts {
		firsts += w.firsts[i]
		extras += w.extras[i]
	}

	return firsts, extras
}

// window returns the counts of a service, moved on to now; b.mu is held.
func (b *Budgeter) window(now time.Time, service string) *window {
	slot := int64(now.Sub(b.started) / (b.options.Window / parts))

	w, ok := b.services[service]
	if !ok {
		w = &window{slot: slot}
		b.services[service] = w
	}

	if slot-w.slot > parts {
		*w = window{slot: slot, totals: w.totals}
	}

	for w.slot < slot {
		w.slot++
		w.firsts[w.slot%(parts+1)] = 0
		w.extras[w.slot%(parts+1)] = 0
	}

	return w
}
