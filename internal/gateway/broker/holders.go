package broker

import (
	"math"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/batcher"
	"quincepath.example/quincepath/internal/throttler"
)

// holdersOf returns the holder of the pool, followed by its standby.
func (b *Broker) holdersOf(pool string) []string {
	now := time.Now()
	b.refreshHolders(now)

	b.mu.Lock()
	defer b.mu.Unlock()

	holders, ok := b.holders[pool]
	if !ok {
		holders = b.nodeChooser.ChooseN(pool, holdersPerPool)
		b.holders[pool] = holders
		b.updateTenure(pool, holders, now)
	}

	return holders
}

// refreshHolders assigns the holders of all pools anew if the live nodes or the pools changed, and reports to new holders
// what they need to know.
func (b *Broker) refreshHolders(now time.Time) {
	b.mu.Lock()

	var changed bool
	if now.Sub(b.liveCheckedAt) >= liveCheckInterval {
		b.liveCheckedAt = now
		changed = b.refreshLiveNodes()
	}

	if len(b.holders) == 0 {
		b.assignHolders(now)
	}
	b.mu.Unlock()

	if changed {
		b.announceRunning()
		b.announceLimits()
		b.announceBrittle(now)
	}
}

// assignHolders selects the holder and the standby of each pool. The caller holds b.mu. With hashing alone, one node might
// hold several pools while others hold none, and a holder whose CPU is saturated answers late, so that all nodes decide for
// themselves. A node that holds its even share of the pools is therefore skipped. The next candidate in hash order is the
// standby, which already receives the reports about the pool.
func (b *Broker) assignHolders(now time.Time) {
	pools := slices.Sorted(slices.Values(b.poolNamesLocked()))

	b.ranking.Update(b.liveNodes, pools)

	heldBy := make(map[string]int)
	maxHeld := b.evenShares(len(pools))

	for _, pool := range pools {
		candidates := b.ranking.Best(pool)
		free := slices.IndexFunc(candidates, func(node string) bool { return heldBy[node] < maxHeld(node) })

		if free > 0 {
			holder := candidates[free]
			candidates = slices.Insert(slices.Delete(candidates, free, free+1), 0, holder)
		}

		candidates = candidates[:min(len(candidates), holdersPerPool)]
		if len(candidates) > 0 {
			heldBy[candidates[0]]++
		}

		b.holders[pool] = candidates
		b.updateTenure(pool, candidates, now)
	}
}

// evenShares returns the number of pools that a node may hold of the given number: the same for all nodes, or in proportion to their
// capacity where holders are spread. The caller holds b.mu.
func (b *Broker) evenShares(pools int) func(node string) int {
	even := (pools + len(b.liveNodes) - 1) / max(len(b.liveNodes), 1)
	total := 0.0

	for _, capacity := range b.liveCapacities {
		total += capacity
	}

	if total == 0 {
		return func(string) int { return even }
	}

	return func(node string) int { return int(math.Ceil(float64(pools) * b.options.Capacity(node) / total)) }
}

// updateTenure records since when this node is holder or standby of the pool. The caller holds b.mu.
func (b *Broker) updateTenure(pool string, holders []string, now time.Time) {
	b.tenure(pool).Update(now, b.options.Self, holders, func(node string) bool {
		return slices.Contains(b.liveNodes, node) || slices.Contains(b.leavingNodes, node)
	})
}

// tenure returns the tenure of this node in a pool. The caller holds b.mu.
func (b *Broker) tenure(pool string) *throttler.Tenure {
	t, ok := b.tenures[pool]
	if !ok {
		t = &throttler.Tenure{}
		b.tenures[pool] = t
	}

	return t
}

// isReady reports whether this node has received reports about the pool for long enough to decide for other nodes.
func (b *Broker) isReady(pool string) bool {
	_ = b.holdersOf(pool)

	b.mu.Lock()
	defer b.mu.Unlock()

	return b.tenure(pool).Ready(time.Now())
}

// refreshLiveNodes updates the live nodes and reports whether they changed. The caller holds b.mu.
func (b *Broker) refreshLiveNodes() bool {
	live := b.options.Live()
	if !slices.IsSorted(live) {
		live = slices.Sorted(slices.Values(live))
	}

	b.leavingNodes, b.limitShare = b.options.Leaving(), b.options.LimitShare()

	capacities := b.capacitiesOf(live)
	if b.nodeChooser != nil && slices.Equal(live, b.liveNodes) && slices.Equal(capacities, b.liveCapacities) {
		return false
	}

	b.liveNodes, b.liveCapacities, b.nodeChooser = live, capacities, b.nodeChooser.WithNodes(live)
	clear(b.holders)

	return true
}

// capacitiesOf returns the capacities of nodes, or nil if holders are chosen without regard to them.
func (b *Broker) capacitiesOf(nodes []string) []float64 {
	if !b.options.SpreadHolders {
		return nil
	}

	capacities := make([]float64, len(nodes))
	for i, node := range nodes {
		capacities[i] = b.options.Capacity(node)
	}

	return capacities
}

// reportTo queues a report for the holder and the standby, except for this node and the one at the index that knows already, which may
// be -1. The standby gets it later, unless it is urgent or this node asks the standby now.
func (b *Broker) reportTo(holders []string, r report, knows int, urgent bool) {
	for i, holder := range holders {
		if i == knows || holder == b.options.Self {
			continue
		}

		delay := batcher.FlushInterval
		if i > 0 && !urgent && !b.isAvoided(holders[0]) {
			delay = standbyDelay
		}

		b.outbox.AddWithin(holder, r, delay)
	}
}

// isAvoided reports whether this node asks the standby first, since the holder didn't answer or runs late.
func (b *Broker) isAvoided(holder string) bool {
	now := time.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	return now.Before(b.backoffUntil[holder]) || now.Before(b.lateUntil[holder])
}

// announceRunning reports this node's running requests to the holders of all pools. Otherwise a new holder would consider
// busy upstreams idle.
func (b *Broker) announceRunning() {
	now := time.Now()
	running := make(map[string]runningRequest)

	b.mu.Lock()
	for id, r := range b.running {
		if now.After(r.expiresAt) {
			delete(b.running, id)

			continue
		}

		running[id] = r
	}
	b.mu.Unlock()

	for id, r := range running {
		b.reportToHolders(r.pool, report{Pool: r.pool, ID: id, Begin: &beginReport{Upstream: r.upstream, Work: r.work, Answered: r.answered, Earlier: true}})
	}
}

func (b *Broker) isBackedOff(node string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	until, ok := b.backoffUntil[node]

	return ok && time.Now().Before(until)
}

func (b *Broker) backOff(node, pool string, err error) {
	b.mu.Lock()
	now := time.Now()
	b.holderCounters.Doubted++
	b.backoffUntil[node] = now.Add(b.doubtTime(node))
	b.shortenDoubts(now, b.holders[pool])
	b.mu.Unlock()

	// The standby decides now.
	for _, holder := range b.holdersOf(pool) {
		b.outbox.Hurry(holder)
	}

	b.doubtLogger.Info().Err(err).Str("peer", node).Str("pool", pool).Msg("holder_doubted")
}
