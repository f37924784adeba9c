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

// poolCount returns the number of pools that the servers of a service are split into.
func poolCount(service configurer.Service) int {
	return max(1, (len(service.Upstreams)+scheduler.MaxServers-1)/scheduler.MaxServers)
}

// choosePart chooses the pool of a service for a slot request. Holders contains the
// holder of each pool, and number is uniformly distributed over slot requests.
//
// A node that holds pools of the service prefers its own, so that the request of a
// caller that was steered to this node stays here. Callers are steered evenly to
// holders, not to pools: with three pools, two of them held by one node, the third
// would get half of all slot requests. So a node sends to its own pools only their
// share of the service, relative to the share of callers that one holder gets. The
// rest goes to the holders that get fewer callers than the share of their pools, in
// proportion to the deficit. Then all pools get the same load. Nodes without pools
// spread by the number alone, which is even too, and so do all nodes while no live
// node is known.
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

	underloaded := make([]string, 0, count)

	for _, holder := range slices.Sorted(maps.Keys(parts)) {
		for range len(parts)*len(parts[holder]) - count {
			underloaded = append(underloaded, holder)
		}
	}

	others := parts[underloaded[number%uint64(len(underloaded))]]

	return others[number/uint64(len(underloaded))%uint64(len(others))]
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
// are distributed round robin in name order, so that all nodes agree.
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

// candidateHolders is the number of nodes that hashing chooses for a pool. With 370 nodes
// and 220 pools, 2 candidates leave 22 nodes with two pools, 4 leave 7 and 8 leave one.
const candidateHolders = 8

// placement determines the holder of each pool: of the candidates that rendezvous
// hashing chooses for the pool, the one that holds the fewest of the pools placed before.
//
// A single candidate would give some nodes four pools and half of the nodes none.
// Callers that are steered to the holders then overload these nodes, or go to other
// nodes, whose slot requests need a message. The cost is that a node that joins or
// leaves moves more pools than its own: a pool that gets another holder may change
// the choice for pools placed after it. A bound on the pools per node moves equally
// few, but moves half of all pools at once whenever the number of nodes changes the
// bound. It is safe for concurrent use.
type placement struct {
	settings Snapshotter

	mu sync.Mutex
	// nodeChooser is nil before the first lookup.
	nodeChooser *chooser.Chooser
	// revision is the revision of the settings from which pools was computed.
	revision int64
	// pools contains all pools of the settings, in the order of placement.
	pools []string
	// holders caches the holder of each pool, by pool.
	holders map[string]string
}

func newPlacement(settings Snapshotter) *placement {
	return &placement{settings: settings}
}

// holder returns the node that holds the pool, or "" if there are no nodes.
func (p *placement) holder(nodes []string, pool string) string {
	snapshot := p.settings.Snapshot()

	p.mu.Lock()
	defer p.mu.Unlock()

	nodeChooser, pools := p.nodeChooser.WithNodes(nodes), p.pools
	if p.nodeChooser == nil || snapshot.Revision != p.revision {
		pools = poolNames(snapshot)
	}

	p.revision = snapshot.Revision

	if nodeChooser != p.nodeChooser || !slices.Equal(pools, p.pools) {
		p.nodeChooser, p.pools = nodeChooser, pools
		p.holders = placePools(nodeChooser, pools)
	}

	holder, ok := p.holders[pool]
	if !ok {
		// The service is not in this node's settings, for example because it has just been created.
		holder = p.nodeChooser.Choose(pool)
		p.holders[pool] = holder
	}

	return holder
}

func placePools(nodeChooser *chooser.Chooser, pools []string) map[string]string {
	holders, held := make(map[string]string, len(pools)), make(map[string]int)

	for _, pool := range pools {
		holder := nodeChooser.Choose(pool)

		for i := 1; i < candidateHolders; i++ {
			if other := nodeChooser.Choose(pool + "/" + strconv.Itoa(i)); held[other] < held[holder] {
				holder = other
			}
		}

		holders[pool] = holder
		held[holder]++
	}

	return holders
}

// poolNames returns the pools of all services in name order.
func poolNames(snapshot configurer.Snapshot) []string {
	var pools []string

	for _, name := range slices.Sorted(maps.Keys(snapshot.Services)) {
		for part := range poolCount(snapshot.Services[name]) {
			pools = append(pools, poolName(name, part))
		}
	}

	return pools
}
