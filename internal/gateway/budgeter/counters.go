package budgeter

import (
	"math"
	"time"
)

const (
	slotsPerWindow = 100
	// windowsAveraged is the number of windows over which requests are averaged: a window and the one before it.
	windowsAveraged = 2
	// keptSlots is the size of the ring of slots. It covers two past windows, and as far into the future as an attempt may arrive.
	keptSlots = 256
	// maxLateArrival is how long an unanswered attempt may still arrive after the node gave up on it. Windows below ten seconds
	// use half their length instead.
	maxLateArrival = 5 * time.Second
	// maxLoanTime is how long a borrowed amount may be used. Windows below ten seconds use a tenth of their length instead.
	maxLoanTime = time.Second
	// stallThreshold is the time without a sign that the process runs after which it counts as stalled.
	stallThreshold = time.Second
	// stallBacklogTime is how long it takes after a stall to read the requests that arrived during it.
	stallBacklogTime = 250 * time.Millisecond
	// roundingTolerance allows for floating-point error: five times 0.2 adds up to less than one.
	roundingTolerance = 1e-9
)

// Retention returns how long after its last use a node's share of the extra attempts can still count against a window.
func Retention(window time.Duration) time.Duration {
	d := durationsOf(window)

	return window + d.lateArrival + d.loanTime + 2*d.slotLength
}

// durations are the time spans that follow from the length of the window.
type durations struct {
	slotLength, lateArrival, loanTime time.Duration
}

func durationsOf(window time.Duration) durations {
	return durations{
		slotLength:  max(window/slotsPerWindow, time.Nanosecond),
		lateArrival: min(maxLateArrival, window/2),
		loanTime:    min(maxLoanTime, window/10),
	}
}

// slotAt returns the number of the slot that contains the given time.
func (d durations) slotAt(moment time.Duration) int64 {
	return int64(moment / d.slotLength)
}

// slotCounts is a ring of amounts by slot. A slot is overwritten once it is keptSlots behind.
type slotCounts [keptSlots]float64

func (s *slotCounts) add(slot int64, amount float64) {
	s[slot%keptSlots] += amount
}

func (s *slotCounts) get(slot int64) float64 {
	if slot < 0 {
		return 0
	}

	return s[slot%keptSlots]
}

// counters holds the counts of one service.
type counters struct {
	durations

	// slot is the current slot, now the time up to which the counters were advanced.
	slot int64
	now  time.Duration
	// requests counts requests by the slot in which they arrived, demand the extra attempts that this node needed.
	requests, demand slotCounts
	// extraAttempts counts attempts by the last slot in which they may have arrived, which may be in the future.
	extraAttempts slotCounts
	// reserved is the amount held by open permits. It counts in every window.
	reserved float64
	totals   totals
}

// advance moves the counters forward to the given time.
func (c *counters) advance(now time.Duration) {
	c.now = max(c.now, now)
	current := c.slotAt(c.now)

	// Future slots hold only extra attempts, up to the latest time at which one may arrive.
	ahead := c.slotAt(c.lateArrival+c.loanTime) + 2

	for k := max(c.slot+1, current-keptSlots+1); k <= current; k++ {
		c.requests[k%keptSlots], c.demand[k%keptSlots], c.extraAttempts[(k+ahead)%keptSlots] = 0, 0, 0
	}

	c.slot = current
}

// available returns how many extra attempts may still be reserved now: the minimum over all windows that have not ended yet.
func (c *counters) available(ratio, allowance float64) float64 {
	extraAttempts := c.reserved + c.pendingArrivals()
	requests := c.requestsFrom(c.slot)
	least := math.Inf(1)

	for k := c.slot; k >= c.slot-slotsPerWindow; k-- {
		extraAttempts += c.extraAttempts.get(k)
		least = min(least, ratio*requests/windowsAveraged+allowance-extraAttempts)
		requests += c.requests.get(k - slotsPerWindow)
	}

	return least
}

// pendingArrivals returns the number of unanswered extra attempts that may still arrive.
func (c *counters) pendingArrivals() float64 {
	sum := 0.0
	for k := c.slot + 1; k <= c.slot+c.slotAt(c.lateArrival+c.loanTime)+1; k++ {
		sum += c.extraAttempts.get(k)
	}

	return sum
}

// requestsFrom returns the requests so far in the window that starts in the given slot and in the window before it, without
// those in the first slot of the earlier window.
func (c *counters) requestsFrom(slot int64) float64 {
	sum := 0.0
	for k := slot - slotsPerWindow + 1; k <= c.slot; k++ {
		sum += c.requests.get(k)
	}

	return sum
}

// currentWindow returns the requests and extra attempts that count in the window that starts now.
func (c *counters) currentWindow() (requests, extraAttempts float64) {
	return c.requestsFrom(c.slot) / windowsAveraged, c.reserved + c.pendingArrivals() + c.extraAttempts.get(c.slot)
}

// recentDemand returns the number of extra attempts that this node needed within the last window.
func (c *counters) recentDemand() float64 {
	sum := 0.0
	for k := c.slot - slotsPerWindow; k <= c.slot; k++ {
		sum += c.demand.get(k)
	}

	return sum
}
