package broker

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cachetracker"
)

// cacheCheckInterval is the time between two looks at the pools that this node holds. A new holder asks its engines within it.
const cacheCheckInterval = 100 * time.Millisecond

// CacheTracker asks engines which prompt parts they have cached.
type CacheTracker interface {
	Update(ctx context.Context, targets []cachetracker.Target)
}

// TrackCaches has the engines of the pools that this node holds asked for their caches until ctx ends. Only the holder of a
// pool asks. A node that no longer holds a pool stops at once, and what it heard expires.
func (b *Broker) TrackCaches(ctx context.Context, tracker CacheTracker) {
	ticker := time.NewTicker(cacheCheckInterval)
	defer ticker.Stop()

	for {
		tracker.Update(ctx, b.cacheTargets())

		now := time.Now()
		for _, pool := range b.usedPools() {
			pool.ExpireCaches(now)
		}

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// cacheTargets returns the engines of the pools that this node holds and whose engines report their caches.
func (b *Broker) cacheTargets() []cachetracker.Target {
	var targets []cachetracker.Target

	for _, name := range b.heldCachePools() {
		pool := b.pool(name)

		for _, upstream := range pool.CachingUpstreams() {
			targets = append(targets, cachetracker.Target{
				Engine:   cachetracker.Engine{ID: upstream.ID, Address: upstream.Address, Born: upstream.Born},
				PoolName: name, Pool: pool, Load: upstream.Running,
			})
		}
	}

	return targets
}

// heldCachePools returns the names of the pools that this node holds and whose engines report their caches.
func (b *Broker) heldCachePools() []string {
	b.refreshHolders(time.Now())

	b.mu.Lock()
	defer b.mu.Unlock()

	var names []string

	for name, service := range b.services {
		if !service.engine.ReportsCache {
			continue
		}

		for partition := range service.partitions {
			pool := poolName(name, partition)
			if holders := b.holders[pool]; len(holders) > 0 && holders[0] == b.options.Self {
				names = append(names, pool)
			}
		}
	}

	return names
}

// CacheCounters returns the sums of the counters of all pools that this node used lately.
func (b *Broker) CacheCounters() balancer.CacheCounters {
	var all []balancer.CacheCounters
	for _, pool := range b.usedPools() {
		all = append(all, pool.CacheCounters())
	}

	return balancer.SumCacheCounters(all)
}
