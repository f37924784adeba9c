package scaler

import (
	"math"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	// burstUtilisation is the utilisation up to which upstreams answer in time during a burst. Above it, prompts wait for
	// others and delay streams on the same engine.
	burstUtilisation = 0.6
	// reclaimUtilisation is the utilisation that a burst may cause while the spot upstreams of one failure domain are gone.
	reclaimUtilisation = 0.7
	// reduceDelay is how long a pool must have needed less before it is reduced.
	reduceDelay = 10 * time.Second
	// reduceInterval is the time between two reductions of a pool, reducePart the part of its maximum by which it is
	// reduced, at least one upstream. Each one that drains takes cached prompt parts with it.
	reduceInterval = 3 * time.Second
	reducePart     = 0.05
	// bootSlack is how much longer than the boot time ordered upstreams may take before they count as unavailable.
	bootSlack = 2 * time.Second
	// unknownDelay is how long the upstreams that are there are kept, at the start of a deployment, until the demand is known.
	// After that as many as possible are ordered.
	unknownDelay = 10 * time.Second
	// shortFraction is the fraction of its ordered spot upstreams below which a failure domain counts as reclaimed.
	shortFraction = 0.8
)

// need is what one service needs over all failure domains, in upstreams.
type need struct {
	// total is the number that must run, surviving the number of them that must remain without the spot upstreams of any one
	// failure domain.
	total, surviving int
}

// needOf returns what the load needs. It is unbounded while callers get less than they need, as the measured work is only
// what was served.
func needOf(l *load, bootTime time.Duration) need {
	if l.pressing {
		return need{total: math.MaxInt32, surviving: math.MaxInt32}
	}

	burst := l.burst(bootTime)

	return need{total: int(math.Ceil(burst / burstUtilisation)), surviving: int(math.Ceil(burst / reclaimUtilisation))}
}

// domain is what can be ordered in one failure domain.
type domain struct {
	// price is the price of an upstream.
	price float64
	// fixed is the number of regular upstreams, which aren't reclaimed. limit is the largest number of spot ones.
	fixed, limit int
}

// distribute returns the cheapest numbers of spot upstreams that meet a need, in the order of the domains, which are sorted
// by price. If none do, all are at their limits.
//
// The largest number in one failure domain is what a reclaim takes away, so for each such number as many others are needed.
// Even numbers are often cheaper than many in the cheapest domain: with two of three domains, each must have the whole need.
func distribute(domains []domain, n need) []int {
	fixed, sum, largest := 0, 0, 0
	for _, d := range domains {
		fixed += d.fixed
		sum += d.limit
		largest = max(largest, d.limit)
	}

	total, surviving := max(n.total-fixed, 0), max(n.surviving-fixed, 0)
	best, bestCost := fill(domains, largest, sum), math.Inf(1)

	for most := range largest + 1 {
		wanted := max(total, surviving+most)
		counts := fill(domains, most, wanted)
		cost, filled := 0.0, 0

		for i, d := range domains {
			cost += d.price * float64(counts[i])
			filled += counts[i]
		}

		if filled >= wanted && cost < bestCost {
			best, bestCost = counts, cost
		}
	}

	return best
}

// fill distributes up to wanted spot upstreams, the cheapest first, with at most most of them in one failure domain.
func fill(domains []domain, most, wanted int) []int {
	counts := make([]int, len(domains))

	for i, d := range domains {
		counts[i] = min(d.limit, most, wanted)
		wanted -= counts[i]
	}

	return counts
}

// target is the number of upstreams, regular and spot, that a pool shall have.
type target struct {
	Count int `json:"count"`

	// raisedAt is when the number last rose, reducedAt when it last fell, and lowSince since when less is needed; negative
	// if it isn't.
	raisedAt, reducedAt, lowSince time.Duration
	// restored is set until the first plan after the target was restored.
	restored bool
}

// follow moves the number towards a needed one: up at once, down slowly.
func (t *target) follow(now time.Duration, needed, maximum int) {
	switch {
	case needed > t.Count:
		t.Count, t.raisedAt, t.lowSince = needed, now, -1
	case needed == t.Count:
		t.lowSince = -1
	case t.lowSince < 0:
		t.lowSince = now
	case now-t.lowSince >= reduceDelay && now-t.reducedAt >= reduceInterval:
		step := max(int(reducePart*float64(maximum)), 1)
		t.Count, t.reducedAt = max(t.Count-step, needed), now
	}
}

// serviceNeed is what a planner knows about the need of one service.
type serviceNeed struct {
	load load
	// targets holds the targets of the service's pools. It is empty until the first plan by need.
	targets map[Pool]*target
	need    need
	// plannedAt is when the first plan was made; negative before that.
	plannedAt time.Duration
	// raised and reduced count the changes of targets.
	raised, reduced int64
}

// needForPlan returns the need of a service with a target for each of its pools, or nil if the plan doesn't follow it: if the
// policy says so, or if the demand has not become known within unknownDelay.
func (p *Planner) needForPlan(now time.Duration, service string, pools []Pool, scaling *cataloguer.Scaling, sizes map[Pool]PoolSize) *serviceNeed {
	if !p.policy.ByNeed {
		delete(p.needs, service)

		return nil
	}

	s := p.needOfService(service)
	if s.plannedAt < 0 {
		s.plannedAt = now
	}

	if !s.load.isKnown() && now-s.plannedAt > unknownDelay {
		clear(s.targets)

		return nil
	}

	for _, pool := range pools {
		size := sizes[pool]
		standing := size.Regular + size.Spot
		t := s.targets[pool]

		if t != nil && t.restored && size.Regular > p.clampedMinRegular(*scaling) && size.Spot+size.Draining == 0 {
			// The upstreams may have been started anew since the target was written down.
			p.replaced[pool] = false
			p.peakRegular[pool] = size.Regular
		}

		switch {
		case t == nil:
			// What is there remains until something else is known to be needed.
			s.targets[pool] = &target{Count: standing, raisedAt: now, lowSince: -1}
		case t.restored && size.Regular <= p.clampedMinRegular(*scaling):
			// The former holder may have raised the number after it last wrote it down.
			t.Count, t.restored = max(t.Count, standing), false
		default:
			t.restored = false
		}
	}

	p.updateTargets(now, s, pools, scaling, sizes)

	return s
}

func (p *Planner) needOfService(service string) *serviceNeed {
	s, ok := p.needs[service]
	if !ok {
		s = &serviceNeed{targets: make(map[Pool]*target), plannedAt: -1}
		p.needs[service] = s
	}

	return s
}

// Observe takes the measured demand of a service.
func (p *Planner) Observe(now time.Duration, service string, demand Demand) {
	p.needOfService(service).load.observe(now, demand)
}

// updateTargets moves the targets of a service's pools, which are sorted by price. While the demand is unknown, they stay.
func (p *Planner) updateTargets(now time.Duration, s *serviceNeed, pools []Pool, scaling *cataloguer.Scaling, sizes map[Pool]PoolSize) {
	if !s.load.isFresh(now) || !s.load.isKnown() {
		for _, pool := range pools {
			s.targets[pool].lowSince = -1
		}

		return
	}

	s.need = needOf(&s.load, scaling.BootTime)
	fixed := p.clampedMinRegular(*scaling)
	domains := make([]domain, len(pools))

	for i, pool := range pools {
		domains[i] = domain{price: scaling.DomainPrices[pool.FailureDomain], fixed: fixed, limit: max(p.maxOrdered(pool, scaling)-fixed, 0)}
	}

	// What isn't available in one failure domain is made up for by the others.
	available := slices.Clone(domains)

	for i, pool := range pools {
		if p.isShort(now, s.targets[pool], pool, scaling, sizes[pool]) {
			available[i].limit = min(sizes[pool].Spot, domains[i].limit)
		}
	}

	counts, countsInFull := distribute(available, s.need), distribute(domains, s.need)

	for i, pool := range pools {
		t := s.targets[pool]
		needed, before := fixed+counts[i], t.Count

		if available[i] != domains[i] {
			// The order stands until upstreams are available again.
			needed = max(fixed+countsInFull[i], t.Count)
		}

		t.follow(now, needed, scaling.Maximum)

		switch {
		case t.Count > before:
			s.raised++
		case t.Count < before:
			s.reduced++
		}
	}
}

// isShort reports whether a pool has far fewer spot upstreams than were ordered long enough ago to run.
func (p *Planner) isShort(now time.Duration, t *target, pool Pool, scaling *cataloguer.Scaling, size PoolSize) bool {
	ordered := t.Count - max(p.clampedMinRegular(*scaling), size.Regular)

	return p.replaced[pool] && float64(size.Spot) < shortFraction*float64(ordered) && now-t.raisedAt > scaling.BootTime+bootSlack
}
