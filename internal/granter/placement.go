package granter

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/scheduler"
)

// poolCount is the number of pools that the servers of a service are split into.
func poolCount(service configurer.Service) int {
	return max(1, (len(service.Upstreams)+scheduler.MaxServers-1)/scheduler.MaxServers)
}

// choosePart picks the pool of a service that an ask goes to; holders names the
// holder of each pool, and number is evenly spread over asks.
//
// A node that holds pools of the service takes its own first, so that an ask of
// a caller that was steered here stays here. Callers are steered evenly between
// holders, and not between pools: of three pools, two held by one node, the
// third would get half of all asks. So a node takes for its own pools only their
// share of the service, as a part of what one holder of several is sent; the
// rest goes to the holders that are sent less than their pools' share, by how
// much less. Then all pools get the same. Other nodes spread by the number
// alone, which is even too, and so do all while no live node is known.
func choosePart(holders []string, self string, number uint64) int {
	count := len(holders)
	parts := partsByHolder(holders)
	draw, number := int(number%uint64(count)), number/uint64(count)

	own := parts[self]
	if len(own) == 0 || slices.Contains(holders, "") {
		return draw
	}

	if draw < len(parts)*len(own) {
		return own[number%uint64(len(own))]
	}

	lacking := make([]string, 0, count)

	for _, holder := range slices.Sorted(maps.Keys(parts)) {
		for range len(parts)*len(parts[holder]) - count {
			lacking = append(lacking, holder)
		}
	}

	others := parts[lacking[number%uint64(len(lacking))]]

	return others[number/uint64(len(lacking))%uint64(len(others))]
}

func partsByHolder(holders []string) map[string][]int {
	parts := make(map[string][]int)

	for part, holder := range holders {
		parts[holder] = append(parts[holder], part)
	}

	return parts
}

func poolName(service string, part int) string {
	if part == 0 {
		return service
	}

	return fmt.Sprintf("%s#%d", service, part)
}

// partOf returns the service with the servers of one of its pools only. Servers
// are dealt out in name order, so that all nodes agree.
func partOf(service configurer.Service, part int) configurer.Service {
	count := poolCount(service)
	if count == 1 {
		return service
	}

	names := make([]string, 0, len(service.Upstreams))
	for name := range service.Upstreams {
		names = append(names, name)
	}

	slices.Sort(names)

	upstreams := make(map[string]configurer.Upstream)

	for i, name := range names {
		if i%count == part {
			upstreams[name] = service.Upstreams[name]
		}
	}

	service.Upstreams = upstreams

	return service
}

// placement finds the holder of a pool by rendezvous hashing. It is safe for concurrent use.
type placement struct {
	mu sync.Mutex
	// nodes is nil before the first look-up.
	nodes *chooser.Chooser
	// found keeps the holders that were looked up among nodes, by pool.
	found map[string]string
}

// holder returns the node that holds the pool, or "" without nodes.
func (p *placement) holder(nodes []string, pool string) string {
	p.mu.Lock()
	defer p.mu.Unlock()

	if among := p.nodes.Among(nodes); among != p.nodes {
		p.nodes = among
		p.found = make(map[string]string)
	}

	holder, ok := p.found[pool]
	if !ok {
		holder = p.nodes.Choose(pool)
		p.found[pool] = holder
	}

	return holder
}
