package broker

import (
	"maps"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	// poolRetention is how long a node keeps a pool that it doesn't decide for and that nobody uses. It is much longer than
	// an engine's cache lasts, so a node that has to decide without the holder still knows what it sent.
	poolRetention = time.Minute
	// dropInterval is the time between two looks for such pools.
	dropInterval = 10 * time.Second
)

// startTimes are the start times of a registry's upstreams.
type startTimes struct {
	upstreams cataloguer.Index[cataloguer.Upstream]
}

// StartTime implements throttler.Upstreams.
func (s startTimes) StartTime(id string) (int64, bool) {
	upstream, ok := s.upstreams.Get(id)

	return upstream.Born, ok
}

// Update applies the services and upstreams of a state.
func (b *Broker) Update(state *cataloguer.State) {
	now := time.Now()
	b.limits.Update(now, startTimes{state.Registry.Upstreams}, state.Registry.Limits.List(), state.StoreReturns)

	b.mu.Lock()
	delta := state.Registry.DeltaFrom(&b.registry)
	former := b.registry
	b.registry = state.Registry

	added := b.updateServices(now, state.Configuration.Services)
	b.applyDelta(now, &former, &delta, added)
	b.mu.Unlock()

	b.grantAllPools(now)
}

// updateServices takes the configured services and returns those that are new. The caller holds b.mu.
func (b *Broker) updateServices(now time.Time, services []cataloguer.Service) map[string]bool {
	added := make(map[string]bool)
	configured := make(map[string]bool, len(services))

	for _, service := range services {
		configured[service.Name] = true
		engine := balancer.Engine{}

		if service.Engine != nil {
			engine = balancer.Engine{
				CacheTokens: service.Engine.CacheTokens, EventTokens: service.Engine.EventTokens, ReportsCache: service.Engine.CacheCalls > 0,
			}
		}

		known, ok := b.services[service.Name]
		maxSlots := service.MaxSlots()

		switch {
		case !ok:
			added[service.Name] = true
			b.services[service.Name] = &serviceUpstreams{engine: engine, maxSlots: maxSlots}
		case known.engine != engine || known.maxSlots != maxSlots:
			known.engine, known.maxSlots = engine, maxSlots
			for partition := range known.partitions {
				b.refreshPool(now, service.Name, partition)
			}
		}
	}

	for name, service := range b.services {
		if configured[name] {
			continue
		}

		delete(b.services, name)
		clear(b.holders)

		for partition := range service.partitions {
			delete(b.pools, poolName(name, partition))
		}
	}

	return added
}

// applyDelta applies the difference from the former registry to the current one. Services in added have no upstreams yet.
// The caller holds b.mu.
func (b *Broker) applyDelta(now time.Time, former *cataloguer.Registry, delta *cataloguer.RegistryDelta, added map[string]bool) {
	put := make(map[string][]partitionMember)
	remove := make(map[string][]string)

	for _, id := range delta.Upstreams.Remove {
		if upstream, ok := former.Upstreams.Get(id); ok {
			remove[upstream.Service] = append(remove[upstream.Service], id)
		}
	}

	for _, upstream := range delta.Upstreams.Put {
		if previous, ok := former.Upstreams.Get(upstream.ID); ok && previous.Service != upstream.Service {
			remove[previous.Service] = append(remove[previous.Service], upstream.ID)
		}

		if !added[upstream.Service] {
			put[upstream.Service] = append(put[upstream.Service], newPartitionMember(&upstream))
		}
	}

	if len(added) > 0 {
		for upstream := range b.registry.Upstreams.All() {
			if added[upstream.Service] {
				put[upstream.Service] = append(put[upstream.Service], newPartitionMember(&upstream))
			}
		}
	}

	for name, service := range b.services {
		if added[name] || len(put[name]) > 0 || len(remove[name]) > 0 {
			b.changeService(now, name, service, put[name], remove[name])
		}
	}
}

// changeService changes the upstreams of a service. The caller holds b.mu.
func (b *Broker) changeService(now time.Time, name string, service *serviceUpstreams, put []partitionMember, remove []string) {
	before := len(service.partitions)

	for partition := range service.apply(put, remove) {
		if partition < len(service.partitions) {
			b.refreshPool(now, name, partition)
		} else {
			delete(b.pools, poolName(name, partition))
		}
	}

	if len(service.partitions) != before {
		clear(b.holders)
	}
}

// refreshPool updates the upstreams of a pool if this node uses it. The caller holds b.mu.
func (b *Broker) refreshPool(now time.Time, service string, partition int) {
	if pool, ok := b.pools[poolName(service, partition)]; ok {
		b.fillPool(now, pool.Pool, service, partition)
	}
}

// fillPool sets the upstreams of a pool and their rate limits. The caller holds b.mu.
func (b *Broker) fillPool(now time.Time, pool *balancer.Pool, service string, partition int) {
	members := b.services[service].partitions[partition]
	upstreams := make([]balancer.Upstream, 0, len(members))

	for _, member := range members {
		upstream, _ := b.registry.Upstreams.Get(member.id)
		upstreams = append(upstreams, balancer.Upstream{
			ID:              upstream.ID,
			Address:         upstream.Address,
			Born:            upstream.Born,
			Slots:           min(upstream.Slots, b.services[service].maxSlots),
			Draining:        upstream.Draining,
			SoftwareVersion: upstream.SoftwareVersion,
		})
	}

	pool.SetUpstreams(now, upstreams, b.services[service].engine)
	b.applyLimits(now, pool, upstreams)
}

// pool returns a pool and records that it is used. It returns an empty one if the name is not that of a pool, as a peer may
// know of other upstreams.
func (b *Broker) pool(name string) *balancer.Pool {
	now := time.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	if pool, ok := b.pools[name]; ok {
		pool.usedAt = now

		return pool.Pool
	}

	pool := balancer.NewPool(b.options.Scheduling)

	service, partition, ok := splitPoolName(name)
	if !ok || b.services[service] == nil || partition >= len(b.services[service].partitions) {
		return pool
	}

	b.fillPool(now, pool, service, partition)
	b.pools[name] = &usedPool{Pool: pool, usedAt: now}

	return pool
}

// poolNames returns the names of all pools.
func (b *Broker) poolNames() []string {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.poolNamesLocked()
}

func (b *Broker) poolNamesLocked() []string {
	var names []string

	for name, service := range b.services {
		for partition := range service.partitions {
			names = append(names, poolName(name, partition))
		}
	}

	return names
}

// usedPools returns the pools that this node used lately, by name.
func (b *Broker) usedPools() map[string]*balancer.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()

	pools := make(map[string]*balancer.Pool, len(b.pools))
	for name, pool := range b.pools {
		pools[name] = pool.Pool
	}

	return pools
}

// dropUnusedPools drops the pools that this node neither decides for nor used within poolRetention.
func (b *Broker) dropUnusedPools(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if now.Sub(b.droppedAt) < dropInterval {
		return
	}

	b.droppedAt = now

	maps.DeleteFunc(b.pools, func(name string, pool *usedPool) bool {
		return now.Sub(pool.usedAt) > poolRetention && !slices.Contains(b.holders[name], b.options.Self) && pool.IsIdle(now)
	})
}

// poolNamesFor returns the names of the pools to ask for a request, best first. Requests of one session use the same pools.
func (b *Broker) poolNamesFor(service string, work *balancer.Request) []string {
	b.mu.Lock()

	var weights []float64
	if known, ok := b.services[service]; ok {
		weights = known.weightsFor(work)
	}
	b.mu.Unlock()

	var names []string
	for _, partition := range partitionsOf(work, weights) {
		names = append(names, poolName(service, partition))
	}

	return names
}

// poolOf returns the name of the pool of a listed upstream.
func (b *Broker) poolOf(id string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	upstream, ok := b.registry.Upstreams.Get(id)
	if !ok || b.services[upstream.Service] == nil {
		return "", false
	}

	return poolName(upstream.Service, partitionIndex(id, len(b.services[upstream.Service].partitions))), true
}
