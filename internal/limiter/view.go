package limiter

import "time"

// division describes how a limit is divided among nodes. The base shares of all live
// nodes and the leasable part add up to the limit, and so do the even shares.
type division struct {
	baseFraction float64
	// live is the number of nodes that respond; zero before the first call of SetNodes.
	live int
	// reachableFraction is the fraction of the known nodes that respond, 0 to 1. The
	// others may be alive on the other side of a network partition, so their part is
	// reserved for them.
	reachableFraction float64
}

func newDivision(options Options, live, known int) division {
	return division{
		baseFraction:      options.BaseShare,
		live:              live,
		reachableFraction: min(1, float64(live)/float64(max(known, 1))),
	}
}

// baseShare is what each node may use without a lease. It includes one concurrent
// request if the limit allows that, so that a node's first request needn't wait for a
// lease.
func (d division) baseShare(limits Amounts) Amounts {
	if d.live == 0 {
		return Amounts{}
	}

	share := limits.times(d.baseFraction * d.reachableFraction / float64(d.live)).floorConcurrency()
	if share.Concurrency == 0 && limits.Concurrency*d.reachableFraction >= 2*float64(d.live) {
		share.Concurrency = 1
	}

	return share
}

// leasable is what the owner may lease out.
func (d division) leasable(limits Amounts) Amounts {
	return limits.times(d.reachableFraction).floorConcurrency().minus(d.baseShare(limits).times(float64(d.live))).floorConcurrency()
}

// evenShare is what each node has of rates and tokens while the owner is unresponsive.
func (d division) evenShare(limits Amounts) Amounts {
	return limits.times(d.reachableFraction / float64(max(d.live, 1))).floorConcurrency()
}

// pastDivision is a division that other nodes may still use.
type pastDivision struct {
	division
	replacedAt time.Time
}

// view is the division in force. While leases granted under an earlier division may
// remain, the smallest amount of the current and all earlier divisions applies. A
// node's first division applies at once, so that its first requests aren't refused: the
// base share of a listed node is reserved for it.
type view struct {
	options Options
	current division
	past    []pastDivision
}

func (v *view) set(now time.Time, next division) {
	oldest := now.Add(-v.options.leaseDrainTime())
	kept := v.past[:0]

	for _, f := range v.past {
		if f.replacedAt.After(oldest) {
			kept = append(kept, f)
		}
	}

	if v.current.live > 0 {
		kept = append(kept, pastDivision{v.current, now})
	}

	v.past = kept
	v.current = next
}

func (v *view) baseShare(now time.Time, limits Amounts) Amounts {
	return v.minAmounts(now, limits, division.baseShare)
}

func (v *view) evenShare(now time.Time, limits Amounts) Amounts {
	return v.minAmounts(now, limits, division.evenShare)
}

func (v *view) leasable(now time.Time, limits Amounts) Amounts {
	return v.minAmounts(now, limits, division.leasable)
}

func (v *view) minAmounts(now time.Time, limits Amounts, amount func(division, Amounts) Amounts) Amounts {
	least := amount(v.current, limits)

	for i := range v.past {
		if now.Sub(v.past[i].replacedAt) < v.options.leaseDrainTime() {
			least = least.atMost(amount(v.past[i].division, limits))
		}
	}

	return least
}
