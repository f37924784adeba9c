package granter

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
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

// choices is the number of nodes that hashing chooses for a pool. At 370 nodes and
// 220 pools 2 leave 22 nodes with two pools, 4 leave 7 and 8 leave one.
const choices = 8

// placement finds the holder of a pool: of some nodes that rendezvous hashing
// chooses for it, the one that holds the fewest pools placed before.
//
// One choice gives some nodes four pools and half of the nodes none. Callers
// that are steered to the holders then fill these nodes, or are sent elsewhere
// and their asks travel. The price is that a node that comes or goes moves more
// pools than its own: a pool that gets another holder may turn the choice for
// one that is placed after it. A bound on the pools of a node moves as few, but
// half of all pools at once where it steps with the number of nodes. It is safe
// for concurrent use.
type placement struct {
	settings Snapshotter

	mu sync.Mutex
	// nodes is nil before the first look-up.
	nodes *chooser.Chooser
	// revision is that of the settings that pools are from.
	revision int64
	// pools are all pools of the settings, in the order in which they are placed.
	pools []string
	// found keeps the holders among nodes, by pool.
	found map[string]string
}

func newPlacement(settings Snapshotter) *placement {
	return &placement{settings: settings}
}

// holder returns the node that holds the pool, or "" without nodes.
func (p *placement) holder(nodes []string, pool string) string {
	snapshot := p.settings.Snapshot()

	p.mu.Lock()
	defer p.mu.Unlock()

	among, pools := p.nodes.WithNodes(nodes), p.pools
	if p.nodes == nil || snapshot.Revision != p.revision {
		pools = poolsOf(snapshot)
	}

	p.revision = snapshot.Revision

	if among != p.nodes || !slices.Equal(pools, p.pools) {
		p.nodes, p.pools = among, pools
		p.found = place(among, pools)
	}

	holder, ok := p.found[pool]
	if !ok {
		// The service is not in this node's settings, as when it has just been made.
		holder = p.nodes.Choose(pool)
		p.found[pool] = holder
	}

	return holder
}

func place(among *chooser.Chooser, pools []string) map[string]string {
	found, held := make(map[string]string, len(pools)), make(map[string]int)

	for _, pool := range pools {
		holder := among.Choose(pool)

		for i := 1; i < choices; i++ {
			if other := among.Choose(pool + "/" + strconv.Itoa(i)); held[other] < held[holder] {
				holder = other
			}
		}

		found[pool] = holder
		held[holder]++
	}

	return found
}

// poolsOf lists the pools of all services in name order.
func poolsOf(snapshot configurer.Snapshot) []string {
	var pools []string

	for _, name := range slices.Sorted(maps.Keys(snapshot.Services)) {
		for part := range poolCount(snapshot.Services[name]) {
			pools = append(pools, poolName(name, part))
		}
	}

	return pools
}
