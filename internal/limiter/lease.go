package limiter

import (
	"maps"
	"math"
	"slices"
	"time"
)

// leaseSet holds the leases of one limit.
type leaseSet struct {
	byNode map[string]*lease
	// graceEnds is when the predecessor's leases have surely ended.
	graceEnds time.Time
	// heard are the nodes that reported at an epoch, and complete is the last epoch
	// at which all known nodes did: nothing is lent then that the owner doesn't know.
	heard    map[string]bool
	epoch    uint64
	complete uint64
	// unsettled says that some node may want more than it has; nextAsk is when to ask for it.
	unsettled bool
	nextAsk   time.Time
}

func newLeaseSet(graceEnds time.Time) *leaseSet {
	return &leaseSet{byNode: make(map[string]*lease), graceEnds: graceEnds}
}

// hear takes note that a node has reported all it holds to this owner.
func (s *leaseSet) hear(node string, epoch uint64, live []string, known int) {
	if s.complete == epoch {
		return
	}

	if s.epoch != epoch {
		s.epoch = epoch
		s.heard = make(map[string]bool)
	}

	s.heard[node] = true

	if len(live) == known && len(s.unheard(epoch, live)) == 0 {
		s.complete = epoch
		s.heard = nil
		s.graceEnds = time.Time{}
		s.nextAsk = time.Time{}
	}
}

func (s *leaseSet) unheard(epoch uint64, live []string) []string {
	return slices.DeleteFunc(slices.Clone(live), func(node string) bool { return s.epoch == epoch && s.heard[node] })
}

// short says whether some node has less than it wants.
func (s *leaseSet) short(now time.Time, even Amounts) bool {
	for _, l := range s.byNode {
		if now.Before(l.expires) && l.wants.minus(l.lent).matters(even) {
			return true
		}
	}

	return false
}

// misfits are the nodes that hold less than their part while something is free, and
// as many of those that hold more than theirs as have what is missing besides.
func (s *leaseSet) misfits(now time.Time, levels, free, even Amounts) []string {
	var (
		nodes   []string
		missing Amounts
	)

	excess := make(map[string]Amounts)

	for node, l := range s.byNode {
		if !now.Before(l.expires) {
			continue
		}

		part := l.wants.atMost(levels)
		lacks := part.minus(l.lent)
		missing = missing.plus(lacks)

		if lacks.atMost(free).matters(even) {
			nodes = append(nodes, node)
		}

		if over := l.lent.minus(part); over.matters(even) {
			excess[node] = over
		}
	}

	missing = missing.minus(free)

	for _, node := range slices.Sorted(maps.Keys(excess)) {
		if excess[node].atMost(missing) != (Amounts{}) {
			nodes = append(nodes, node)
			missing = missing.minus(excess[node])
		}
	}

	return nodes
}

func (s *leaseSet) of(node string) *lease {
	l := s.byNode[node]
	if l == nil {
		l = &lease{}
		s.byNode[node] = l
	}

	return l
}

// others is what all nodes but one may hold.
func (s *leaseSet) others(now time.Time, node string, options Options) Amounts {
	var sum Amounts

	for name, l := range s.byNode {
		if name != node {
			sum = sum.plus(l.counted(now, options))
		}
	}

	return sum
}

// levels are the max-min fair parts of the pool: small wants are met whole, the
// rest is split evenly.
func (s *leaseSet) levels(now time.Time, pool Amounts) Amounts {
	var requests, concurrency, tokens []float64

	for _, l := range s.byNode {
		if now.Before(l.expires) {
			requests = append(requests, l.wants.Requests)
			concurrency = append(concurrency, l.wants.Concurrency)
			tokens = append(tokens, l.wants.Tokens)
		}
	}

	return Amounts{
		Requests:    fairLevel(requests, pool.Requests),
		Concurrency: math.Ceil(fairLevel(concurrency, pool.Concurrency)),
		Tokens:      fairLevel(tokens, pool.Tokens),
	}
}

// spareShare is the part of what nobody wants that is lent besides. The rest is
// there for nodes that want more: without it others would have to give some back first.
const spareShare = 0.9

// part is what a node may have: its fair part and, as long as all wants are met, an
// even part of what nobody wants. By the latter demand may vary from second to
// second without a report.
func (s *leaseSet) part(now time.Time, own *lease, pool Amounts, live int) Amounts {
	if own.wants == (Amounts{}) {
		return Amounts{}
	}

	levels := s.levels(now, pool)
	spare := pool

	for _, l := range s.byNode {
		if now.Before(l.expires) {
			spare = spare.minus(l.wants.atMost(levels))
		}
	}

	return own.wants.atMost(levels).plus(spare.times(spareShare / float64(max(live, 1))).whole())
}

// fairLevel is the largest part that anyone may get so that all parts fit the pool.
func fairLevel(wants []float64, pool float64) float64 {
	slices.Sort(wants)

	for i, want := range wants {
		level := pool / float64(len(wants)-i)
		if want >= level {
			return level
		}

		pool -= want
	}

	return math.Inf(1)
}

// lease is what one node holds of one limit.
type lease struct {
	incarnation uint64
	number      uint64
	wants       Amounts
	// inFlight is what runs on the node beyond its base share; it counts as lent while the lease lasts.
	inFlight int
	lent     Amounts
	expires  time.Time
	// former is the largest lease that the node may still go by, since it hasn't named a later one.
	former        Amounts
	formerExpires time.Time
}

// update takes a demand in and returns false when a later one is known.
func (l *lease) update(now time.Time, demand Demand, options Options) bool {
	if demand.Incarnation == l.incarnation && demand.Sequence <= l.number {
		return false
	}

	held := l.counted(now, options)
	heldExpires := later(l.expires, l.formerExpires)

	if demand.Incarnation == l.incarnation && l.number > 0 && demand.Acknowledged == l.number {
		held = l.current(now)
		heldExpires = l.expires
	}

	// Another owner may have lent it; it ends before one that begins now.
	if demand.Held.minus(held) != (Amounts{}) {
		held = held.atLeast(demand.Held)
		heldExpires = now.Add(options.LeaseDuration)
	}

	l.former, l.formerExpires = held, heldExpires
	l.incarnation = demand.Incarnation
	l.number = demand.Sequence
	l.wants = demand.Wanted
	l.inFlight = demand.InFlight
	// Report grants anew at once; until then the demand counts among the others.
	l.expires = later(l.expires, now.Add(options.ReportPeriod))

	return true
}

func (l *lease) grant(now time.Time, lent Amounts, length time.Duration) {
	l.lent = lent
	l.expires = now.Add(length)
}

// current is the last lease if it hasn't ended.
func (l *lease) current(now time.Time) Amounts {
	if !now.Before(l.expires) {
		return Amounts{}
	}

	return l.lent
}

// counted is the most that the node may hold or have running. What it may have
// running lasts MaxRunAfterLease longer than what it may hold.
func (l *lease) counted(now time.Time, options Options) Amounts {
	held := l.current(now)

	if now.Before(l.formerExpires) {
		held = held.atLeast(l.former)
	}

	if now.Before(l.expires.Add(options.MaxRunAfterLease)) {
		held.Concurrency = max(held.Concurrency, l.lent.Concurrency, float64(l.inFlight))
	}

	if now.Before(l.formerExpires.Add(options.MaxRunAfterLease)) {
		held.Concurrency = max(held.Concurrency, l.former.Concurrency)
	}

	return held
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
