package broker

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// tell reports to the holders of a pool other than this node.
func (b *Broker) tell(pool string, r report) {
	for _, holder := range b.holdersOf(pool) {
		if holder != b.options.Self {
			b.out.add(holder, r)
		}
	}
}

// RecordFirstEvent implements relayer.Chooser.
func (b *Broker) RecordFirstEvent(id string, load *balancer.Load) {
	b.mu.Lock()
	r, ok := b.running[id]
	r.answered = true

	if ok {
		b.running[id] = r
	}
	b.mu.Unlock()

	if !ok {
		return
	}

	b.pool(r.pool).RecordFirstEvent(time.Now(), id, load)
	b.tell(r.pool, report{Pool: r.pool, ID: id, First: true, Load: load})
}

// RecordGaps implements relayer.Chooser.
func (b *Broker) RecordGaps(id string, pauses balancer.EventGaps) {
	b.mu.Lock()
	defer b.mu.Unlock()

	// It is told with the end, in one message.
	if r, ok := b.running[id]; ok {
		r.pauses = &pauses
		b.running[id] = r
	}
}

// MarkLeaving implements relayer.Chooser.
func (b *Broker) MarkLeaving(id string) {
	b.mu.Lock()
	r, ok := b.running[id]
	b.mu.Unlock()

	if ok {
		b.pool(r.pool).MarkLeaving(r.upstream)
		b.tell(r.pool, report{Pool: r.pool, ID: id, Leaving: r.upstream})
	}
}

// RecordEnd implements relayer.Chooser.
func (b *Broker) RecordEnd(id string, outcome balancer.Outcome) {
	b.mu.Lock()
	r, ok := b.running[id]
	delete(b.running, id)
	b.mu.Unlock()

	if ok {
		b.end(r.pool, id, outcome, r.pauses)
	}
}

// end tells all that know the pool that a request runs or waits no longer, and how its events came if it was a whole stream.
func (b *Broker) end(pool, id string, outcome balancer.Outcome, pauses *balancer.EventGaps) {
	now := time.Now()
	ended := report{Pool: pool, ID: id, End: &outcome, Pauses: pauses}

	b.take(now, b.options.Self, ended)
	b.grant(now, pool)
	b.tell(pool, ended)
}

// HandleChoose answers MethodChoose.
func (b *Broker) HandleChoose(_ context.Context, from string, params json.RawMessage) (any, error) {
	var asked chooseParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}

	return b.answer(from, asked), nil
}

// HandleReport answers MethodReport.
func (b *Broker) HandleReport(_ context.Context, from string, params json.RawMessage) (any, error) {
	var told reportParams
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}

	now := time.Now()
	pools := make(map[string]bool)

	for _, r := range told.Reports {
		b.take(now, from, r)
		pools[r.Pool] = true
	}

	for pool := range pools {
		b.grant(now, pool)
	}

	return struct{}{}, nil
}

func (b *Broker) take(now time.Time, from string, r report) {
	if r.Grant != nil {
		if !b.deliver(*r.Grant) && !r.Grant.Refused {
			b.giveBack(from, r.Pool, r.ID)
		}

		return
	}

	pool := b.pool(r.Pool)

	switch {
	case r.Begin != nil && r.Begin.Answered:
		pool.AddAnswering(now, r.Begin.Upstream, r.Begin.Work)
	case r.Begin != nil:
		pool.AddRunning(now, r.Begin.Upstream, r.Begin.Work)
	}

	if r.First {
		pool.RecordFirstEvent(now, r.ID, r.Load)
	}

	if r.Leaving != "" {
		pool.MarkLeaving(r.Leaving)
	}

	if r.Pauses != nil {
		pool.RecordGaps(r.ID, *r.Pauses)
	}

	if r.End != nil {
		pool.RecordEnd(now, r.ID, *r.End)
	}
}

// grantRegularly gives room to requests for which no other event would.
func (b *Broker) grantRegularly(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			b.grantAll(now)
		}
	}
}

// grantAll looks for room in all pools.
func (b *Broker) grantAll(now time.Time) {
	b.mu.Lock()
	pools := slices.Collect(maps.Keys(b.pools))
	b.mu.Unlock()

	for _, pool := range pools {
		// A node that nobody asks must also notice that it became a holder, and tell new holders what it runs.
		_ = b.holdersOf(pool)
		b.grant(now, pool)
	}
}

// grant tells the owners of requests that waited which upstream they got.
func (b *Broker) grant(now time.Time, pool string) {
	for _, g := range b.pool(pool).GrantQueued(now) {
		if g.Owner == b.options.Self {
			if !b.deliver(g) && !g.Refused {
				b.pool(pool).RecordEnd(now, g.ID, balancer.Abandoned)
			}

			continue
		}

		b.out.add(g.Owner, report{Pool: pool, ID: g.ID, Grant: &g})
	}
}

// deliver hands a grant to the request that waits for it, and reports whether one does.
func (b *Broker) deliver(grant balancer.Grant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	granted, ok := b.waiting[grant.ID]
	if !ok {
		// A request that runs already may be granted a second time after a change of holders.
		_, ok = b.running[grant.ID]

		return ok
	}

	select {
	case granted <- grant:
	default:
	}

	return true
}

// giveBack tells a holder that nobody waits for its grant any more: the request went elsewhere or ended while
// another node held the pool. Its slot would else count as taken until the request's limit.
func (b *Broker) giveBack(holder, pool, id string) {
	outcome := balancer.Abandoned
	b.out.add(holder, report{Pool: pool, ID: id, End: &outcome})
}
