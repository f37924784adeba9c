package broker

import (
	"slices"
	"time"
)

// holdersOf returns the nodes that know the pool, the one that decides first.
func (b *Broker) holdersOf(pool string) []string {
	now := time.Now()

	b.mu.Lock()

	var changed bool
	if now.Sub(b.placedAt) >= placeInterval {
		b.placedAt = now
		changed = b.place()
	}

	if len(b.holders) == 0 {
		b.assign(now)
	}

	chosen, ok := b.holders[pool]
	if !ok {
		chosen = b.nodes.ChooseN(pool, holders)
		b.holders[pool] = chosen
		b.noteKnown(pool, chosen, now)
	}
	b.mu.Unlock()

	if changed {
		b.introduce()
	}

	return chosen
}

// assign chooses the holders of all pools; b.mu is held. By hashing alone one node may hold several while others hold
// none, and a holder at its processor's limit answers late: all nodes would then decide for themselves. So a
// node that holds its even part is passed over. Its successor in the order is the standby, which knows the pool.
func (b *Broker) assign(now time.Time) {
	var pools []string

	for service, l := range b.layouts {
		for part := range max(len(l.weights), 1) {
			pools = append(pools, poolName(service, part))
		}
	}

	slices.Sort(pools)

	held := make(map[string]int)
	most := (len(pools) + len(b.live) - 1) / max(len(b.live), 1)

	for _, pool := range pools {
		order := b.nodes.ChooseN(pool, holderCandidates)
		free := slices.IndexFunc(order, func(node string) bool { return held[node] < most })

		if free > 0 {
			chosen := order[free]
			order = slices.Insert(slices.Delete(order, free, free+1), 0, chosen)
		}

		order = order[:min(len(order), holders)]
		if len(order) > 0 {
			held[order[0]]++
		}

		b.holders[pool] = order
		b.noteKnown(pool, order, now)
	}
}

// noteKnown notes since when this node is told of the pool; b.mu is held.
func (b *Broker) noteKnown(pool string, chosen []string, now time.Time) {
	if !slices.Contains(chosen, b.options.Self) {
		delete(b.knownSince, pool)

		return
	}

	if _, known := b.knownSince[pool]; !known {
		b.knownSince[pool] = now
	}
}

// isReady says whether this node's view of the pool is old enough to decide by.
func (b *Broker) isReady(pool string) bool {
	_ = b.holdersOf(pool)

	b.mu.Lock()
	defer b.mu.Unlock()

	since, known := b.knownSince[pool]

	return known && time.Since(since) >= warmUp
}

// place looks at the live nodes and reports whether they changed; b.mu is held.
func (b *Broker) place() bool {
	live := b.options.Live()
	slices.Sort(live)

	if b.nodes != nil && slices.Equal(live, b.live) {
		return false
	}

	b.live, b.nodes = live, b.nodes.WithNodes(live)
	clear(b.holders)

	return true
}

// introduce tells the holders of all pools what this node has running. A holder that took over
// would else take busy upstreams for idle ones.
func (b *Broker) introduce() {
	now := time.Now()
	own := make(map[string]running)

	b.mu.Lock()
	for id, r := range b.running {
		if now.After(r.until) {
			delete(b.running, id)

			continue
		}

		own[id] = r
	}
	b.mu.Unlock()

	for id, r := range own {
		b.tell(r.pool, report{Pool: r.pool, ID: id, Begin: &begin{Upstream: r.upstream, Work: r.work, Answered: r.answered}})
	}
}

func (b *Broker) isDoubted(node string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	until, ok := b.doubted[node]

	return ok && time.Now().Before(until)
}

func (b *Broker) doubt(node, pool string, err error) {
	b.mu.Lock()
	b.doubted[node] = time.Now().Add(doubtTime)
	b.mu.Unlock()

	b.options.Logger.Info().Err(err).Str("peer", node).Str("pool", pool).Msg("holder_doubted")
}
