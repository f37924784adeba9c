// Package scaler decides how many upstreams of each kind are ordered for a service in each failure domain.
//
// Plans depend on the configuration, the current pool sizes and the sizes seen before and, if the policy says so, on the
// measured work. Orders are absolute numbers, so that repeating one is harmless.
package scaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// Pool is a service in a failure domain.
type Pool struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
}

// Order asks for a number of upstreams of one kind in a pool.
type Order struct {
	Pool
	Spot bool `json:"spot"`
	// Count is the desired number of upstreams of this kind.
	Count int `json:"count"`
}

// PoolSize holds the current numbers of upstreams in a pool. Regular and Spot don't include draining ones.
type PoolSize struct {
	Regular int `json:"regular"`
	Spot    int `json:"spot"`
	// Draining is the number of draining upstreams of both kinds.
	Draining int `json:"leaving"`
}

// CountUpstreams returns the pool sizes of the services that can be scaled.
func CountUpstreams(services []cataloguer.Service, upstreams *cataloguer.Index[cataloguer.Upstream]) map[Pool]PoolSize {
	isScaled := make(map[string]bool)
	for _, size := range services {
		isScaled[size.Name] = size.Scaling != nil
	}

	sizes := make(map[Pool]PoolSize)

	for u := range upstreams.All() {
		if !isScaled[u.Service] {
			continue
		}

		pool := Pool{Service: u.Service, FailureDomain: u.FailureDomain}
		size := sizes[pool]

		switch {
		case u.Draining:
			size.Draining++
		case u.Spot:
			size.Spot++
		default:
			size.Regular++
		}

		sizes[pool] = size
	}

	return sizes
}

// Policy sets the bounds that a planner keeps.
type Policy struct {
	// MinRegular is the number of regular upstreams to keep in each pool in addition to spot ones.
	MinRegular int
	// MaxFraction is the fraction of a pool's maximum that is ordered at most, from 0 to 1. It never reduces a pool below the
	// number of regular upstreams that it had before they were replaced.
	MaxFraction float64
	// MinFraction is the fraction of a service's maximum over all failure domains that must be running, from 0 to 1. If spot
	// upstreams are reclaimed, regular ones are ordered up to it.
	MinFraction float64
	// ByNeed orders as many upstreams as the measured work needs, within the other bounds.
	ByNeed bool
}

// Planner plans the orders of one holder of the duties. It is not safe for concurrent use.
type Planner struct {
	// policy is the policy of the current plan.
	policy Policy
	// peakRegular is the highest number of regular upstreams in each pool before they were replaced.
	peakRegular map[Pool]int
	// replaced holds the pools whose regular upstreams have been replaced by spot ones.
	replaced map[Pool]bool
	// needs holds what is known about the need of each service that was measured or planned by need.
	needs map[string]*serviceNeed
}

// New returns a Planner that has not seen any pools.
func New() *Planner {
	return &Planner{peakRegular: make(map[Pool]int), replaced: make(map[Pool]bool), needs: make(map[string]*serviceNeed)}
}

// Plan returns the orders that should be in effect, grouped by pool. now is the time of any monotonic clock that is also that
// of Observe.
func (p *Planner) Plan(now time.Duration, policy Policy, services []cataloguer.Service, sizes map[Pool]PoolSize) []Order {
	var orders []Order

	p.policy = policy

	for pool, size := range sizes {
		if !p.replaced[pool] {
			p.peakRegular[pool] = max(p.peakRegular[pool], size.Regular)
		}
	}

	for _, service := range services {
		if service.Scaling.HasSpot() {
			orders = append(orders, p.planService(now, service, sizes)...)
		}
	}

	return orders
}

// poolsByPrice returns the pools of a service that have or had upstreams, the cheapest first.
func (p *Planner) poolsByPrice(service cataloguer.Service) []Pool {
	var pools []Pool

	for pool := range p.peakRegular {
		if pool.Service == service.Name {
			pools = append(pools, pool)
		}
	}

	prices := service.Scaling.DomainPrices
	slices.SortFunc(pools, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(prices[a.FailureDomain], prices[b.FailureDomain]), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})

	return pools
}

func (p *Planner) planService(now time.Duration, service cataloguer.Service, sizes map[Pool]PoolSize) []Order {
	var orders []Order

	scaling := *service.Scaling
	pools := p.poolsByPrice(service)
	s := p.needForPlan(now, service.Name, pools, &scaling, sizes)
	missing := p.missingRegular(now, pools, &scaling, sizes, s)

	for _, pool := range pools {
		size := sizes[pool]
		// wanted is the number of upstreams to reach, kept the number that remain while regular ones are replaced.
		wanted, kept := p.maxOrdered(pool, &scaling), p.peakRegular[pool]

		if s != nil {
			wanted = min(s.targets[pool].Count, wanted)
			kept = min(wanted, kept)
		}

		// During the replacement, each running spot upstream replaces one regular upstream.
		regular := max(p.clampedMinRegular(scaling), kept-size.Spot)
		if s != nil {
			// A new holder of the duties may find the replacement half done.
			regular = max(p.clampedMinRegular(scaling), min(p.peakRegular[pool], wanted-size.Spot))
		}

		if p.checkReplaced(pool, scaling, size, kept) {
			extra := min(missing, max(scaling.Maximum-p.clampedMinRegular(scaling)-size.Spot, 0))
			missing -= extra
			regular = p.clampedMinRegular(scaling) + extra
		}

		if p.replaced[pool] || regular < p.peakRegular[pool] {
			orders = append(orders, Order{Pool: pool, Count: regular})
		}

		free := scaling.Maximum - max(regular, size.Regular)
		orders = append(orders, Order{Pool: pool, Spot: true, Count: max(min(free, wanted-p.clampedMinRegular(scaling)), 0)})
	}

	return orders
}

// maxOrdered returns the largest number of upstreams that is ordered in a pool.
func (p *Planner) maxOrdered(pool Pool, scaling *cataloguer.Scaling) int {
	return max(int(math.Ceil(p.policy.MaxFraction*float64(scaling.Maximum))), p.peakRegular[pool])
}

// minRegular returns the number of regular upstreams that a pool always keeps.
func (p *Planner) clampedMinRegular(scaling cataloguer.Scaling) int {
	return max(min(p.policy.MinRegular, scaling.Maximum), scaling.Minimum)
}

// checkReplaced reports whether spot upstreams have replaced a pool's regular ones, and records it if so.
// kept is the number of upstreams that remain during the replacement.
func (p *Planner) checkReplaced(pool Pool, scaling cataloguer.Scaling, size PoolSize, kept int) bool {
	p.replaced[pool] = p.replaced[pool] || size.Spot >= kept-p.clampedMinRegular(scaling)

	return p.replaced[pool]
}

// missingRegular returns how many regular upstreams are needed beyond those that pools always keep, so that the minimum
// fraction is running, or what is needed if that is less. s is nil if that isn't known.
func (p *Planner) missingRegular(
	now time.Duration, pools []Pool, scaling *cataloguer.Scaling, sizes map[Pool]PoolSize, s *serviceNeed,
) int {
	running := 0

	for _, pool := range pools {
		spot := sizes[pool].Spot

		switch {
		case !p.replaced[pool] && s == nil:
			// The pool still keeps its regular upstreams.
			return 0
		case !p.replaced[pool]:
			running += max(sizes[pool].Regular+spot, min(s.targets[pool].Count, p.maxOrdered(pool, scaling)))

			continue
		case s != nil && !p.isShort(now, s.targets[pool], pool, scaling, sizes[pool]):
			// Spot upstreams that boot run as soon as regular ones that would be ordered now.
			spot = max(spot, min(s.targets[pool].Count, p.maxOrdered(pool, scaling))-p.clampedMinRegular(*scaling))
		}

		running += p.clampedMinRegular(*scaling) + spot
	}

	least := int(math.Ceil(p.policy.MinFraction * float64(scaling.Maximum*len(pools))))
	if s != nil {
		least = min(least, s.need.surviving)
	}

	return max(least-running, 0)
}
