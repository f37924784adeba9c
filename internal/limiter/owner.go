package limiter

import (
	"math"
	"slices"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/chooser"
)

// Owner lends out the limits that this node owns. It is safe for concurrent use.
//
// What is lent, plus the base shares of all nodes, never exceeds a limit: a
// smaller lease counts at its old size until the node says that it knows, or the
// old lease ends; a node counts its lease from before its report, the owner from
// its answer, so no clocks are compared. A new owner lends no more than nodes
// say they hold until its predecessor's leases have ended.
type Owner struct {
	options Options
	source  Source
	self    string

	mu      sync.Mutex
	known   int
	view    view
	owners  *chooser.Chooser
	changed time.Time
	leases  map[Key]*leaseSet
}

// NewOwner returns an owner that lends nothing new until its predecessor's leases have ended.
func NewOwner(now time.Time, options Options, source Source, self string) *Owner {
	options = options.withDefaults()

	return &Owner{
		options: options,
		source:  source,
		self:    self,
		view:    view{options: options},
		owners:  chooser.New(nil),
		changed: now,
		leases:  make(map[Key]*leaseSet),
	}
}

// SetNodes tells which nodes answer, this one included, and how many are known
// to exist. Limits that have another owner now are forgotten.
func (o *Owner) SetNodes(now time.Time, live []string, known int) {
	o.mu.Lock()
	defer o.mu.Unlock()

	owners := o.owners.Among(live)

	if owners == o.owners && o.known == known {
		return
	}

	o.owners = owners
	o.known = known
	o.view.set(now, newDivision(o.options, len(live), known))
	o.changed = now

	for key := range o.leases {
		if !o.owns(key) {
			delete(o.leases, key)
		}
	}
}

func (o *Owner) owns(key Key) bool {
	return o.owners.Choose(key.text()) == o.self
}

// Report takes a node's demand and returns its lease. It returns false when this
// node doesn't own the limit in its own view, or knows a later report.
func (o *Owner) Report(now time.Time, node string, demand Demand) (Share, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if !o.owns(demand.Key) {
		return Share{}, false
	}

	s := o.leases[demand.Key]
	if s == nil {
		s = &leaseSet{byNode: make(map[string]*lease), graceEnds: o.changed.Add(o.options.LeaseFor + o.options.Settle)}
		o.leases[demand.Key] = s
	}

	l := s.of(node)
	if !l.update(now, demand) {
		return Share{}, false
	}

	pool := o.view.pool(now, o.source.Limits(demand.Key))
	lent := s.target(now, node, pool).atMost(pool.minus(s.others(now, node)))

	grace := now.Before(s.graceEnds)
	if grace {
		lent = lent.atMost(demand.Held)
	}

	lent = lent.whole().brief()
	l.grant(now, lent, o.options.LeaseFor)

	return Share{Key: demand.Key, Number: demand.Number, Lent: lent, Grace: grace}, true
}

// Sweep forgets limits that nobody holds a lease of. It is to be called every few seconds.
func (o *Owner) Sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()

	for key, s := range o.leases {
		for node, l := range s.byNode {
			if !now.Before(l.expires) && !now.Before(l.formerExpires) {
				delete(s.byNode, node)
			}
		}

		if len(s.byNode) == 0 && !now.Before(s.graceEnds) {
			delete(o.leases, key)
		}
	}
}

// leaseSet holds the leases of one limit.
type leaseSet struct {
	byNode map[string]*lease
	// graceEnds is when the predecessor's leases have ended.
	graceEnds time.Time
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
func (s *leaseSet) others(now time.Time, node string) Amounts {
	var sum Amounts

	for name, l := range s.byNode {
		if name != node {
			sum = sum.plus(l.counted(now))
		}
	}

	return sum
}

// target is the node's max-min fair part of the pool: small wants are met whole,
// the rest is split evenly.
func (s *leaseSet) target(now time.Time, node string, pool Amounts) Amounts {
	var requests, concurrency, tokens []float64

	for name, l := range s.byNode {
		if name != node && !now.Before(l.expires) {
			continue
		}

		requests = append(requests, l.wants.Requests)
		concurrency = append(concurrency, l.wants.Concurrency)
		tokens = append(tokens, l.wants.Tokens)
	}

	own := s.byNode[node].wants

	return own.atMost(Amounts{
		Requests:    fairLevel(requests, pool.Requests),
		Concurrency: math.Ceil(fairLevel(concurrency, pool.Concurrency)),
		Tokens:      fairLevel(tokens, pool.Tokens),
	})
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
func (l *lease) update(now time.Time, demand Demand) bool {
	if demand.Incarnation == l.incarnation && demand.Number <= l.number {
		return false
	}

	held := l.counted(now)
	heldExpires := later(l.expires, l.formerExpires)

	if demand.Incarnation == l.incarnation && l.number > 0 && demand.Received == l.number {
		held = l.current(now)
		heldExpires = l.expires
	}

	l.former, l.formerExpires = held, heldExpires
	l.incarnation = demand.Incarnation
	l.number = demand.Number
	l.wants = demand.Wants
	l.inFlight = demand.InFlight

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

// counted is the most that the node may hold or have running.
func (l *lease) counted(now time.Time) Amounts {
	held := l.current(now)

	if now.Before(l.expires) {
		held.Concurrency = max(held.Concurrency, float64(l.inFlight))
	}

	if now.Before(l.formerExpires) {
		held = held.atLeast(l.former)
	}

	return held
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
