package budgeter

import (
	"math"
	"time"
)

const (
	// slots is the number of parts into which a window is cut.
	slots = 100
	// spans is the number of windows whose requests count for one: itself and the one before it. Their mean counts.
	spans = 2
	// ring is the number of slots that are kept: two windows back, and as far ahead as an attempt may arrive.
	ring = 256
	// lateArrival is how long an attempt that got no answer may still be on its way, in a window of ten seconds or more;
	// in a shorter one it is half of it.
	lateArrival = 5 * time.Second
	// loanTime is how long a borrowed attempt may be used, in a window of ten seconds or more; in a shorter one it is a tenth of it.
	loanTime = time.Second
	// stallTime is the pause after which the process counts as having been stalled.
	stallTime = time.Second
	// stallGrace is how long it then takes to read what arrived meanwhile.
	stallGrace = 250 * time.Millisecond
	// rounding is what the sum of two bounds may lack of a whole attempt: 0.2 requests of five add up to less than one.
	rounding = 1e-9
)

// Retention is how long after it was taken for the last time a node's part of the extra attempts counts in a window.
func Retention(window time.Duration) time.Duration {
	t := durationsOf(window)

	return window + t.late + t.loan + 2*t.slot
}

// durations are the times of a budget, by its window.
type durations struct {
	slot, late, loan time.Duration
}

func durationsOf(window time.Duration) durations {
	return durations{
		slot: max(window/slots, time.Nanosecond),
		late: min(lateArrival, window/2),
		loan: min(loanTime, window/10),
	}
}

// at returns the number of the slot that holds a moment.
func (t durations) at(moment time.Duration) int64 {
	return int64(moment / t.slot)
}

// series counts by slot. Those that were moved past by a whole ring are forgotten.
type series [ring]float64

func (s *series) add(slot int64, amount float64) {
	s[slot%ring] += amount
}

func (s *series) of(slot int64) float64 {
	if slot < 0 {
		return 0
	}

	return s[slot%ring]
}

// ledger is what was counted for one service.
type ledger struct {
	durations

	// slot is the present one, and now the moment to which the counts were moved on.
	slot int64
	now  time.Duration
	// firsts are requests by the slot in which they arrived, wanted the extra attempts that this node needed.
	firsts, wanted series
	// extras are attempts by the last slot in which they may have arrived; it may lie ahead.
	extras series
	// inFlight are those that were paid for and are not over. They count in each window.
	inFlight float64
	totals   totals
}

// advance moves the counts on to a moment.
func (l *ledger) advance(now time.Duration) {
	l.now = max(l.now, now)
	next := l.at(l.now)

	// Slots ahead are empty but for extras, which reach as far as an attempt may arrive.
	ahead := l.at(l.late+l.loan) + 2

	for k := max(l.slot+1, next-ring+1); k <= next; k++ {
		l.firsts[k%ring], l.wanted[k%ring], l.extras[(k+ahead)%ring] = 0, 0, 0
	}

	l.slot = next
}

// available is how many extra attempts may still be paid for now: the least that any window allows that has not ended yet.
func (l *ledger) available(ratio, share float64) float64 {
	extras := l.inFlight + l.pending()
	firsts := l.firstsFrom(l.slot)
	least := math.Inf(1)

	for k := l.slot; k >= l.slot-slots; k-- {
		extras += l.extras.of(k)
		least = min(least, ratio*firsts/spans+share-extras)
		firsts += l.firsts.of(k - slots)
	}

	return least
}

// pending is the extras that may still arrive although they got no answer.
func (l *ledger) pending() float64 {
	sum := 0.0
	for k := l.slot + 1; k <= l.slot+l.at(l.late+l.loan)+1; k++ {
		sum += l.extras.of(k)
	}

	return sum
}

// firstsFrom is the requests until now of a window that begins in the given slot and of the one before it, without those of
// the slot in which that one begins.
func (l *ledger) firstsFrom(slot int64) float64 {
	sum := 0.0
	for k := slot - slots + 1; k <= l.slot; k++ {
		sum += l.firsts.of(k)
	}

	return sum
}

// present returns the firsts and extras of the window that begins now.
func (l *ledger) present() (firsts, extras float64) {
	return l.firstsFrom(l.slot) / spans, l.inFlight + l.pending() + l.extras.of(l.slot)
}

// demand is the extra attempts that this node needed within the last window.
func (l *ledger) demand() float64 {
	sum := 0.0
	for k := l.slot - slots; k <= l.slot; k++ {
		sum += l.wanted.of(k)
	}

	return sum
}
