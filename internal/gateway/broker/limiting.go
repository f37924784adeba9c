package broker

import (
	"maps"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/throttler"
)

// RecordRateLimit implements relayer.Chooser.
func (b *Broker) RecordRateLimit(id string, rate float64, named bool) (throttler.Limit, bool) {
	b.mu.Lock()
	r, ok := b.running[id]
	b.mu.Unlock()

	if !ok {
		return throttler.Limit{}, false
	}

	now := time.Now()

	limit, changed := b.limits.Observe(now, r.upstream, rate, named, r.limitVersion)
	if changed {
		b.pool(r.pool).SetLimit(now, limit)
		b.reportToHolders(r.pool, report{Pool: r.pool, ID: id, Limit: &limit})
	}

	return limit, changed
}

// MayUse implements relayer.Chooser.
func (b *Broker) MayUse(choice balancer.Choice) bool {
	limit, known := b.limits.Get(choice.Upstream)
	if !known || !limit.Active() {
		return true
	}

	if choice.Limit == nil || !choice.Limit.Active() {
		// The node that made the choice doesn't know of the limit. It is told with the next request.
		b.limits.CountDeclined()
		b.limits.MarkNews(time.Now(), choice.Upstream)

		return false
	}

	if b.options.Now()-choice.AskedAt > choiceLifetime {
		b.limits.CountExpired()

		return false
	}

	return true
}

// LimitCounters counts the rate limits since the start of the node.
func (b *Broker) LimitCounters() throttler.Counters {
	return b.limits.Counters()
}

// UnstoredLimits returns the rate limits that this node has to write to the platform's store, and the upstreams whose
// limits it has to remove there. The node that holds the upstream's pool writes them, so that each is written once.
func (b *Broker) UnstoredLimits() (put []throttler.Limit, remove []string) {
	if b.limits.IsEmpty() {
		return nil, nil
	}

	owned := b.ownedUpstreams()

	return b.limits.Unstored(time.Now(), func(upstream string) bool {
		if isOwned, listed := owned[upstream]; listed {
			return isOwned
		}

		// An upstream that is not listed is in no pool.
		return b.ownsUnlisted(upstream)
	})
}

// ownedUpstreams maps the listed upstreams to whether this node holds their pools.
func (b *Broker) ownedUpstreams() map[string]bool {
	owned := make(map[string]bool)

	for name, pool := range b.poolsByName() {
		holders := b.holdersOf(name)

		for _, id := range pool.UpstreamIDs() {
			owned[id] = len(holders) > 0 && holders[0] == b.options.Self
		}
	}

	return owned
}

// poolsByName returns a copy of the table of pools.
func (b *Broker) poolsByName() map[string]*balancer.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return maps.Clone(b.pools)
}

func (b *Broker) ownsUnlisted(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.nodeChooser != nil && slices.Equal(b.nodeChooser.ChooseN(upstream, 1), []string{b.options.Self})
}

// mergeLimit takes a rate limit that another node knows.
func (b *Broker) mergeLimit(now time.Time, pool string, limit throttler.Limit) {
	if b.limits.Merge(limit) {
		b.pool(pool).SetLimit(now, limit)
	}
}

// applyLimits sets the limits of a pool's upstreams, which may have come from another pool or from the store.
func (b *Broker) applyLimits(now time.Time, pool string, upstreams []balancer.Upstream) {
	for _, upstream := range upstreams {
		if limit, ok := b.limits.Get(upstream.ID); ok {
			b.pool(pool).SetLimit(now, limit)
		}
	}
}

// newLimits returns the limits of a pool's upstreams that its holder may not know yet.
func (b *Broker) newLimits(pool string) []throttler.Limit {
	news := b.limits.News(time.Now())
	if len(news) == 0 {
		return nil
	}

	ids := b.pool(pool).UpstreamIDs()

	return slices.DeleteFunc(news, func(l throttler.Limit) bool { return !slices.Contains(ids, l.Upstream) })
}

// announceLimits reports the rate limits that this node heard from upstreams to the holders of their pools, which may be
// new.
func (b *Broker) announceLimits() {
	heard := b.limits.Heard()
	if len(heard) == 0 {
		return
	}

	poolOf := make(map[string]string)

	for name, pool := range b.poolsByName() {
		for _, id := range pool.UpstreamIDs() {
			poolOf[id] = name
		}
	}

	for _, limit := range heard {
		if pool, ok := poolOf[limit.Upstream]; ok {
			b.reportToHolders(pool, report{Pool: pool, Limit: &limit})
		}
	}
}

// poolForChoice returns a pool that applies the part of the rate limits which this node may use now.
func (b *Broker) poolForChoice(now time.Time, name string) *balancer.Pool {
	pool := b.pool(name)
	share, cost := b.limitTerms(now, name)
	pool.SetLimitTerms(now, share, cost)

	return pool
}

// limitTerms returns which part of the rate limits of a pool's upstreams this node may use, and what a request costs in
// tokens. All nodes report the requests that they send to both the holder and the standby.
func (b *Broker) limitTerms(now time.Time, pool string) (share, cost float64) {
	_ = b.holdersOf(pool)

	b.mu.Lock()
	defer b.mu.Unlock()

	return b.tenure(pool).Terms(now, b.limitShare)
}
