// Package scaler decides how many upstreams of each kind are ordered for a service in each failure domain.
//
// It is plain code over what is configured and what stands. Orders are absolute numbers, so that repeating one does no harm.
package scaler

import (
	"cmp"
	"maps"
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

// Standing are the upstreams of a pool that serve and don't leave.
type Standing struct {
	Regular int `json:"regular"`
	Spot    int `json:"spot"`
	// Leaving counts those that serve and leave, of both kinds.
	Leaving int `json:"leaving"`
}

// Count returns what stands of the services that can be scaled.
func Count(services []cataloguer.Service, upstreams []cataloguer.Upstream) map[Pool]Standing {
	scaled := make(map[string]bool)
	for _, s := range services {
		scaled[s.Name] = s.Scaling != nil
	}

	standing := make(map[Pool]Standing)

	for _, u := range upstreams {
		if !scaled[u.Service] {
			continue
		}

		pool := Pool{Service: u.Service, FailureDomain: u.FailureDomain}
		s := standing[pool]

		switch {
		case u.Draining:
			s.Leaving++
		case u.Spot:
			s.Spot++
		default:
			s.Regular++
		}

		standing[pool] = s
	}

	return standing
}

// Planner plans the orders of one holder of the duty. It is not safe for concurrent use.
type Planner struct {
	// base is the number of regular upstreams to keep in a pool beside spot ones.
	base int
	// regular is the greatest number of regular upstreams that stood in each pool.
	regular map[Pool]int
	// moved are the pools whose regular upstreams have been replaced by spot ones.
	moved map[Pool]bool
}

// New returns a planner that keeps so many regular upstreams in each pool.
func New(base int) *Planner {
	return &Planner{base: base, regular: make(map[Pool]int), moved: make(map[Pool]bool)}
}

// Plan returns the orders that should hold now, in the order of their pools.
func (p *Planner) Plan(services []cataloguer.Service, standing map[Pool]Standing) []Order {
	var orders []Order

	for pool, s := range standing {
		p.regular[pool] = max(p.regular[pool], s.Regular)
	}

	// Also a pool that has lost all its upstreams is planned for.
	pools := slices.SortedFunc(maps.Keys(p.regular), func(a, b Pool) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})

	for _, pool := range pools {
		i := slices.IndexFunc(services, func(s cataloguer.Service) bool { return s.Name == pool.Service })
		if i < 0 || services[i].Scaling == nil || services[i].Scaling.SpotPrice == nil {
			continue
		}

		orders = append(orders, p.plan(pool, *services[i].Scaling, standing[pool])...)
	}

	return orders
}

// plan replaces regular upstreams by spot ones: new ones come first, and regular ones go when as many stand in their place
// as the limits allow.
func (p *Planner) plan(pool Pool, limits cataloguer.Scaling, standing Standing) []Order {
	regular := p.regular[pool]
	base := max(min(p.base, regular, limits.Maximum), limits.Minimum)

	if !p.moved[pool] && standing.Spot < min(limits.Maximum-regular, regular-base) {
		return []Order{{Pool: pool, Spot: true, Count: max(limits.Maximum-regular, 0)}}
	}

	p.moved[pool] = true
	spot := Order{Pool: pool, Spot: true, Count: limits.Maximum - max(base, min(standing.Regular, limits.Maximum))}

	return []Order{{Pool: pool, Count: base}, spot}
}
