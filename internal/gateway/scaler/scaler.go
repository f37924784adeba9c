// Package scaler decides how many upstreams of each kind are ordered for a service in each failure domain.
//
// Plans depend only on the configuration, the current pool sizes and the sizes seen before. Orders are absolute numbers, so
// that repeating one is harmless.
package scaler

import (
	"cmp"
	"math"
	"slices"

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
}

// Planner plans the orders of one holder of the duties. It is not safe for concurrent use.
type Planner struct {
	// policy is the policy of the current plan.
	policy Policy
	// peakRegular is the highest number of regular upstreams in each pool before they were replaced.
	peakRegular map[Pool]int
	// replaced holds the pools whose regular upstreams have been replaced by spot ones.
	replaced map[Pool]bool
}

// New returns a Planner that has not seen any pools.
func New() *Planner {
	return &Planner{peakRegular: make(map[Pool]int), replaced: make(map[Pool]bool)}
}

// Plan returns the orders that should be in effect, grouped by pool.
func (p *Planner) Plan(policy Policy, services []cataloguer.Service, sizes map[Pool]PoolSize) []Order {
	var orders []Order

	p.policy = policy

	for pool, size := range sizes {
		if !p.replaced[pool] {
			p.peakRegular[pool] = max(p.peakRegular[pool], size.Regular)
		}
	}

	for _, service := range services {
		if service.Scaling != nil && service.Scaling.SpotPrice != nil {
			orders = append(orders, p.planService(service, sizes)...)
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

func (p *Planner) planService(service cataloguer.Service, sizes map[Pool]PoolSize) []Order {
	var orders []Order

	scaling := *service.Scaling
	pools := p.poolsByPrice(service)
	missing := p.missingRegular(pools, scaling, sizes)

	for _, pool := range pools {
		size := sizes[pool]

		// During the replacement, each running spot upstream replaces one regular upstream.
		regular := max(p.clampedMinRegular(scaling), p.peakRegular[pool]-size.Spot)

		if p.checkReplaced(pool, scaling, size) {
			extra := min(missing, max(scaling.Maximum-p.clampedMinRegular(scaling)-size.Spot, 0))
			missing -= extra
			regular = p.clampedMinRegular(scaling) + extra
		}

		if p.replaced[pool] || regular < p.peakRegular[pool] {
			orders = append(orders, Order{Pool: pool, Count: regular})
		}

		maxOrdered := max(int(math.Ceil(p.policy.MaxFraction*float64(scaling.Maximum))), p.peakRegular[pool])
		free := scaling.Maximum - max(regular, size.Regular)
		orders = append(orders, Order{Pool: pool, Spot: true, Count: max(min(free, maxOrdered-p.clampedMinRegular(scaling)), 0)})
	}

	return orders
}

// minRegular returns the number of regular upstreams that a pool always keeps.
func (p *Planner) clampedMinRegular(scaling cataloguer.Scaling) int {
	return max(min(p.policy.MinRegular, scaling.Maximum), scaling.Minimum)
}

// checkReplaced reports whether spot upstreams have replaced a pool's regular ones, and records it if so.
func (p *Planner) checkReplaced(pool Pool, scaling cataloguer.Scaling, size PoolSize) bool {
	p.replaced[pool] = p.replaced[pool] || size.Spot >= p.peakRegular[pool]-p.clampedMinRegular(scaling)

	return p.replaced[pool]
}

// missingRegular returns how many regular upstreams are needed beyond those that pools always keep, so that the minimum
// fraction is running.
func (p *Planner) missingRegular(pools []Pool, scaling cataloguer.Scaling, sizes map[Pool]PoolSize) int {
	running := 0

	for _, pool := range pools {
		if !p.replaced[pool] {
			// The pool still keeps its regular upstreams.
			return 0
		}

		running += p.clampedMinRegular(scaling) + sizes[pool].Spot
	}

	return max(int(math.Ceil(p.policy.MinFraction*float64(scaling.Maximum*len(pools))))-running, 0)
}
