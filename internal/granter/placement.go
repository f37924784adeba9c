package granter

import (
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/scheduler"
)

// poolCount is the number of pools that the servers of a service are split into.
func poolCount(service configurer.Service) int {
	return max(1, (len(service.Upstreams)+scheduler.MaxServers-1)/scheduler.MaxServers)
}

// poolOf names the pool that an ask goes to. With several pools the ask's id spreads the load.
func poolOf(service configurer.Service, askID string) (name string, part int) {
	if count := poolCount(service); count > 1 {
		part = int(xxhash.Sum64String(askID) % uint64(count))
	}

	return poolName(service.Name, part), part
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
	mu    sync.Mutex
	nodes []string
	table *rendezvous.Rendezvous
}

// holder returns the node that holds the pool, or "" without nodes.
func (p *placement) holder(nodes []string, pool string) string {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.table == nil || !slices.Equal(nodes, p.nodes) {
		p.nodes = slices.Clone(nodes)
		p.table = rendezvous.New(p.nodes, xxhash.Sum64String)
	}

	return p.table.Lookup(pool)
}
