package limiter

import "time"

// division says how a limit is divided among nodes. The base shares of all live
// nodes and the pool make up the limit; the even shares do as well.
type division struct {
	baseShare float64
	// live is the number of nodes that answer; zero before the first view.
	live int
	// reach is the part of the known nodes that answer, 0 to 1. The others may be
	// alive on the other side of a cut, so their part is left to them.
	reach float64
}

func newDivision(options Options, live, known int) division {
	return division{
		baseShare: options.BaseShare,
		live:      live,
		reach:     min(1, float64(live)/float64(max(known, 1))),
	}
}

// base is what each node has without asking. One request at once is in it where
// the limit allows, so that a node's first request needn't wait for a lease.
func (d division) base(limits Amounts) Amounts {
	if d.live == 0 {
		return Amounts{}
	}

	share := limits.times(d.baseShare * d.reach / float64(d.live)).whole()
	if share.Concurrency == 0 && limits.Concurrency*d.reach >= 2*float64(d.live) {
		share.Concurrency = 1
	}

	return share
}

// pool is what the owner may lend.
func (d division) pool(limits Amounts) Amounts {
	return limits.times(d.reach).whole().minus(d.base(limits).times(float64(d.live))).whole()
}

// even is what each node has of rates and tokens while the owner is silent.
func (d division) even(limits Amounts) Amounts {
	return limits.times(d.reach / float64(max(d.live, 1))).whole()
}

// replaced is a division that other nodes may still go by.
type replaced struct {
	division
	at time.Time
}

// view is the division in force. Of an old and a new one the smaller amount
// counts until nothing is left that was lent by the old one. A node's first
// division counts at once, so that its first callers aren't refused: the base
// share of a listed node is kept free for it.
type view struct {
	options Options
	current division
	former  []replaced
}

func (v *view) set(now time.Time, next division) {
	oldest := now.Add(-v.options.lapse())
	kept := v.former[:0]

	for _, f := range v.former {
		if f.at.After(oldest) {
			kept = append(kept, f)
		}
	}

	if v.current.live > 0 {
		kept = append(kept, replaced{v.current, now})
	}

	v.former = kept
	v.current = next
}

func (v *view) base(now time.Time, limits Amounts) Amounts {
	return v.least(now, limits, division.base)
}

func (v *view) even(now time.Time, limits Amounts) Amounts {
	return v.least(now, limits, division.even)
}

func (v *view) pool(now time.Time, limits Amounts) Amounts {
	return v.least(now, limits, division.pool)
}

func (v *view) least(now time.Time, limits Amounts, amount func(division, Amounts) Amounts) Amounts {
	least := amount(v.current, limits)

	for i := range v.former {
		if now.Sub(v.former[i].at) < v.options.lapse() {
			least = least.atMost(amount(v.former[i].division, limits))
		}
	}

	return least
}
