package broker

import (
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
	if choice.Brittle != nil && b.options.Now()-choice.AskedAt > choiceLifetime {
		b.countBrittle(func(c *BrittleCounters) { c.Expired++ })

		return false
	}

	limit, known := b.limits.Get(choice.Upstream)
	if !known || !limit.Active() {
		return true
	}

	if choice.Limit == nil || !choice.Limit.Active() {
		// The node that made the choice doesn't know of the limit. It is told with the next request.
		b.limits.CountDeclined()
		b.limits.MarkNews(time.Now(), choice.Upstream)

		if pool, ok := b.poolOf(choice.Upstream); ok {
			b.applyLimit(time.Now(), pool, choice.Upstream)
		}

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
	owned := make(map[string]bool)
	for _, upstream := range b.limits.Upstreams() {
		owned[upstream] = b.owns(upstream)
	}

	return b.limits.Unstored(time.Now(), func(upstream string) bool { return owned[upstream] })
}

// owns reports whether this node holds the pool of an upstream.
func (b *Broker) owns(upstream string) bool {
	pool, listed := b.poolOf(upstream)
	if !listed {
		// An upstream that is not listed is in no pool.
		return b.ownsUnlisted(upstream)
	}

	holders := b.holdersOf(pool)

	return len(holders) > 0 && holders[0] == b.options.Self
}

func (b *Broker) ownsUnlisted(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.nodeChooser != nil && slices.Equal(b.nodeChooser.ChooseN(upstream, 1), []string{b.options.Self})
}

// mergeLimit takes a rate limit that another node knows.
func (b *Broker) mergeLimit(now time.Time, pool string, limit throttler.Limit) {
	b.limits.Merge(limit)
	b.applyLimit(now, pool, limit.Upstream)
}

// applyLimit sets the limit that this node knows of an upstream in the pool, also if it was already known: another goroutine
// may have learned it and not told the pool yet, which would choose the upstream again for each choice that is declined.
func (b *Broker) applyLimit(now time.Time, pool, upstream string) {
	if limit, ok := b.limits.Get(upstream); ok {
		b.pool(pool).SetLimit(now, limit)
	}
}

// applyLimits sets the limits of a pool's upstreams, which may have come from another pool or from the store.
func (b *Broker) applyLimits(now time.Time, pool *balancer.Pool, upstreams []balancer.Upstream) {
	for _, upstream := range upstreams {
		if limit, ok := b.limits.Get(upstream.ID); ok {
			pool.SetLimit(now, limit)
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
	for _, limit := range b.limits.Heard() {
		if pool, ok := b.poolOf(limit.Upstream); ok {
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
