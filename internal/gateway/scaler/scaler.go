// Package scaler decides how many upstreams of each kind are ordered for a service in each failure domain.
//
// It is plain code over what is configured and what stands. Orders are absolute numbers, so that repeating one does no harm.
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
	// Count is the number of upstreams of this kind that are to stand.
	Count int `json:"count"`
}

// PoolSize are the upstreams of a pool that serve and don't leave.
type PoolSize struct {
	Regular int `json:"regular"`
	Spot    int `json:"spot"`
	// Draining counts those that serve and leave, of both kinds.
	Draining int `json:"leaving"`
}

// CountUpstreams returns what stands of the services that can be scaled.
func CountUpstreams(services []cataloguer.Service, upstreams []cataloguer.Upstream) map[Pool]PoolSize {
	scaled := make(map[string]bool)
	for _, s := range services {
		scaled[s.Name] = s.Scaling != nil
	}

	standing := make(map[Pool]PoolSize)

	for _, u := range upstreams {
		if !scaled[u.Service] {
			continue
		}

		pool := Pool{Service: u.Service, FailureDomain: u.FailureDomain}
		s := standing[pool]

		switch {
		case u.Draining:
			s.Draining++
		case u.Spot:
			s.Spot++
		default:
			s.Regular++
		}

		standing[pool] = s
	}

	return standing
}

// Policy says what a planner keeps.
type Policy struct {
	// MinRegular is the number of regular upstreams to keep in each pool beside spot ones.
	MinRegular int
	// MaxFraction is the part of a pool's maximum that is ordered, 0 to 1, but not less than the regular upstreams that stood there.
	MaxFraction float64
	// MinFraction is the part of a service's maximum over all failure domains that is to stand, 0 to 1. Where spot upstreams
	// are taken away, regular ones are ordered up to it.
	MinFraction float64
}

// Planner plans the orders of one holder of the duty. It is not safe for concurrent use.
type Planner struct {
	// policy is that of the present plan.
	policy Policy
	// regular is the greatest number of regular upstreams that stood in each pool before they were replaced.
	regular map[Pool]int
	// moved are the pools whose regular upstreams have been replaced by spot ones.
	moved map[Pool]bool
}

// New returns a planner that has seen nothing.
func New() *Planner {
	return &Planner{regular: make(map[Pool]int), moved: make(map[Pool]bool)}
}

// Plan returns the orders that should hold now, in the order of their pools.
func (p *Planner) Plan(policy Policy, services []cataloguer.Service, standing map[Pool]PoolSize) []Order {
	var orders []Order

	p.policy = policy

	for pool, s := range standing {
		if !p.moved[pool] {
			p.regular[pool] = max(p.regular[pool], s.Regular)
		}
	}

	for _, service := range services {
		if service.Scaling != nil && service.Scaling.SpotPrice != nil {
			orders = append(orders, p.planService(service, standing)...)
		}
	}

	return orders
}

// poolsOf returns the pools of a service where upstreams stand or stood, the cheapest first.
func (p *Planner) poolsOf(service cataloguer.Service) []Pool {
	var pools []Pool

	for pool := range p.regular {
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

func (p *Planner) planService(service cataloguer.Service, standing map[Pool]PoolSize) []Order {
	var orders []Order

	limits := *service.Scaling
	pools := p.poolsOf(service)
	missing := p.missing(pools, limits, standing)

	for _, pool := range pools {
		s := standing[pool]

		// While the pool is replaced, a regular upstream goes for each spot one that stands.
		regular := max(p.base(limits), p.regular[pool]-s.Spot)

		if p.hasMoved(pool, limits, s) {
			extra := min(missing, max(limits.Maximum-p.base(limits)-s.Spot, 0))
			missing -= extra
			regular = p.base(limits) + extra
		}

		if p.moved[pool] || regular < p.regular[pool] {
			orders = append(orders, Order{Pool: pool, Count: regular})
		}

		most := max(int(math.Ceil(p.policy.MaxFraction*float64(limits.Maximum))), p.regular[pool])
		room := limits.Maximum - max(regular, s.Regular)
		orders = append(orders, Order{Pool: pool, Spot: true, Count: max(min(room, most-p.base(limits)), 0)})
	}

	return orders
}

// base is the number of regular upstreams that a pool keeps in any case.
func (p *Planner) base(limits cataloguer.Scaling) int {
	return max(min(p.policy.MinRegular, limits.Maximum), limits.Minimum)
}

// hasMoved says whether spot upstreams stand in the place of a pool's regular ones.
func (p *Planner) hasMoved(pool Pool, limits cataloguer.Scaling, s PoolSize) bool {
	p.moved[pool] = p.moved[pool] || s.Spot >= p.regular[pool]-p.base(limits)

	return p.moved[pool]
}

// missing is how many regular upstreams beyond the base ones are needed so that enough stand.
func (p *Planner) missing(pools []Pool, limits cataloguer.Scaling, standing map[Pool]PoolSize) int {
	stands := 0

	for _, pool := range pools {
		if !p.moved[pool] {
			// Its regular upstreams stay for now.
			return 0
		}

		stands += p.base(limits) + standing[pool].Spot
	}

	return max(int(math.Ceil(p.policy.MinFraction*float64(limits.Maximum*len(pools))))-stands, 0)
}
