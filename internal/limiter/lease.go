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
	// graceEndsAt is when all leases of the previous owner have certainly expired.
	graceEndsAt time.Time
	// reported holds the nodes that have reported at reportedEpoch. completeEpoch is
	// the last epoch at which all known nodes had reported, so that the owner knows of
	// every lease.
	reported      map[string]bool
	reportedEpoch uint64
	completeEpoch uint64
	// maybeUnmet is set if some node may want more than it has; nextRequestAt is when
	// to request reports for it.
	maybeUnmet    bool
	nextRequestAt time.Time
}

func newLeaseSet(graceEndsAt time.Time) *leaseSet {
	return &leaseSet{byNode: make(map[string]*lease), graceEndsAt: graceEndsAt}
}

// recordReport records that a node has reported everything that it holds to this owner.
func (s *leaseSet) recordReport(node string, epoch uint64, live []string, known int) {
	if s.completeEpoch == epoch {
		return
	}

	if s.reportedEpoch != epoch {
		s.reportedEpoch = epoch
		s.reported = make(map[string]bool)
	}

	s.reported[node] = true

	if len(live) == known && len(s.notReported(epoch, live)) == 0 {
		s.completeEpoch = epoch
		s.reported = nil
		s.graceEndsAt = time.Time{}
		s.nextRequestAt = time.Time{}
	}
}

func (s *leaseSet) notReported(epoch uint64, live []string) []string {
	return slices.DeleteFunc(slices.Clone(live), func(node string) bool { return s.reportedEpoch == epoch && s.reported[node] })
}

// hasUnmetDemand reports whether some node has less than it wants.
func (s *leaseSet) hasUnmetDemand(now time.Time, even Amounts) bool {
	for _, l := range s.byNode {
		if now.Before(l.expires) && l.wanted.minus(l.leased).isSignificant(even) {
			return true
		}
	}

	return false
}

// nodesToAdjust returns the nodes that hold less than their fair share while some of
// the limit is free, and as many nodes that hold more than theirs as are needed to make
// up the rest.
func (s *leaseSet) nodesToAdjust(now time.Time, levels, free, even Amounts) []string {
	var (
		nodes        []string
		totalDeficit Amounts
	)

	surpluses := make(map[string]Amounts)

	for node, l := range s.byNode {
		if !now.Before(l.expires) {
			continue
		}

		fairShare := l.wanted.atMost(levels)
		deficit := fairShare.minus(l.leased)
		totalDeficit = totalDeficit.plus(deficit)

		if deficit.atMost(free).isSignificant(even) {
			nodes = append(nodes, node)
		}

		if surplus := l.leased.minus(fairShare); surplus.isSignificant(even) {
			surpluses[node] = surplus
		}
	}

	totalDeficit = totalDeficit.minus(free)

	for _, node := range slices.Sorted(maps.Keys(surpluses)) {
		if surpluses[node].atMost(totalDeficit) != (Amounts{}) {
			nodes = append(nodes, node)
			totalDeficit = totalDeficit.minus(surpluses[node])
		}
	}

	return nodes
}

func (s *leaseSet) leaseFor(node string) *lease {
	l := s.byNode[node]
	if l == nil {
		l = &lease{}
		s.byNode[node] = l
	}

	return l
}

// reservedByOthers returns what all nodes except one may hold.
func (s *leaseSet) reservedByOthers(now time.Time, node string, options Options) Amounts {
	var sum Amounts

	for name, l := range s.byNode {
		if name != node {
			sum = sum.plus(l.reserved(now, options))
		}
	}

	return sum
}

// fairLevels returns the max-min fair shares of the leasable amounts: small demands are
// met in full, and the rest is split evenly.
func (s *leaseSet) fairLevels(now time.Time, leasable Amounts) Amounts {
	var requests, concurrency, tokens []float64

	for _, l := range s.byNode {
		if now.Before(l.expires) {
			requests = append(requests, l.wanted.Requests)
			concurrency = append(concurrency, l.wanted.Concurrency)
			tokens = append(tokens, l.wanted.Tokens)
		}
	}

	return Amounts{
		Requests:    fairLevel(requests, leasable.Requests),
		Concurrency: math.Ceil(fairLevel(concurrency, leasable.Concurrency)),
		Tokens:      fairLevel(tokens, leasable.Tokens),
	}
}

// spareFraction is the fraction of the unclaimed amount that is leased on top of
// demand. The rest is kept for nodes that come to want more, which would otherwise have
// to wait until others return some.
const spareFraction = 0.9

// shareOf returns what a node may have: its fair share and, as long as all demand is
// met, an even share of the unclaimed amount. The latter lets demand vary from second
// to second without a report.
func (s *leaseSet) shareOf(now time.Time, own *lease, leasable Amounts, live int) Amounts {
	if own.wanted == (Amounts{}) {
		return Amounts{}
	}

	levels := s.fairLevels(now, leasable)
	spare := leasable

	for _, l := range s.byNode {
		if now.Before(l.expires) {
			spare = spare.minus(l.wanted.atMost(levels))
		}
	}

	return own.wanted.atMost(levels).plus(spare.times(spareFraction / float64(max(live, 1))).floorConcurrency())
}

// fairLevel returns the largest share that any node may get such that all shares fit in
// the available amount.
func fairLevel(wanted []float64, available float64) float64 {
	slices.Sort(wanted)

	for i, amount := range wanted {
		level := available / float64(len(wanted)-i)
		if amount >= level {
			return level
		}

		available -= amount
	}

	return math.Inf(1)
}

// lease is what one node holds of one limit.
type lease struct {
	incarnation uint64
	sequence    uint64
	wanted      Amounts
	// inFlight is the number of requests that run on the node beyond its base share. It
	// counts as leased while the lease lasts.
	inFlight int
	leased   Amounts
	expires  time.Time
	// previous is the largest earlier lease that the node may still rely on, since it
	// hasn't acknowledged a later one.
	previous        Amounts
	previousExpires time.Time
}

// update applies a demand. It returns false if a later one is already known.
func (l *lease) update(now time.Time, demand Demand, options Options) bool {
	if demand.Incarnation == l.incarnation && demand.Sequence <= l.sequence {
		return false
	}

	held := l.reserved(now, options)
	heldExpires := later(l.expires, l.previousExpires)

	if demand.Incarnation == l.incarnation && l.sequence > 0 && demand.Acknowledged == l.sequence {
		held = l.current(now)
		heldExpires = l.expires
	}

	// Another owner may have leased it. That lease expires before one that begins now.
	if demand.Held.minus(held) != (Amounts{}) {
		held = held.atLeast(demand.Held)
		heldExpires = now.Add(options.LeaseDuration)
	}

	l.previous, l.previousExpires = held, heldExpires
	l.incarnation = demand.Incarnation
	l.sequence = demand.Sequence
	l.wanted = demand.Wanted
	l.inFlight = demand.InFlight
	// Report grants a new lease right away; until then, the demand must count with
	// those of the other nodes.
	l.expires = later(l.expires, now.Add(options.ReportPeriod))

	return true
}

func (l *lease) grant(now time.Time, leased Amounts, duration time.Duration) {
	l.leased = leased
	l.expires = now.Add(duration)
}

// current returns the last lease, or zero if it has expired.
func (l *lease) current(now time.Time) Amounts {
	if !now.Before(l.expires) {
		return Amounts{}
	}

	return l.leased
}

// reserved returns the most that the node may hold or have running. What it may have
// running lasts MaxRunAfterLease longer than what it may hold.
func (l *lease) reserved(now time.Time, options Options) Amounts {
	held := l.current(now)

	if now.Before(l.previousExpires) {
		held = held.atLeast(l.previous)
	}

	if now.Before(l.expires.Add(options.MaxRunAfterLease)) {
		held.Concurrency = max(held.Concurrency, l.leased.Concurrency, float64(l.inFlight))
	}

	if now.Before(l.previousExpires.Add(options.MaxRunAfterLease)) {
		held.Concurrency = max(held.Concurrency, l.previous.Concurrency)
	}

	return held
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
