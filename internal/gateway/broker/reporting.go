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

// First implements relayer.Chooser.
func (b *Broker) First(id string, load *balancer.Load) {
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

	b.pool(r.pool).First(time.Now(), id, load)
	b.tell(r.pool, report{Pool: r.pool, ID: id, First: true, Load: load})
}

// End implements relayer.Chooser.
func (b *Broker) End(id string, outcome balancer.Outcome) {
	b.mu.Lock()
	r, ok := b.running[id]
	delete(b.running, id)
	b.mu.Unlock()

	if ok {
		b.end(r.pool, id, outcome)
	}
}

// end tells all that know the pool that a request runs or waits no longer.
func (b *Broker) end(pool, id string, outcome balancer.Outcome) {
	now := time.Now()
	b.pool(pool).End(now, id, outcome)
	b.grant(now, pool)
	b.tell(pool, report{Pool: pool, ID: id, End: &outcome})
}

// HandleChoose answers MethodChoose.
func (b *Broker) HandleChoose(_ context.Context, from string, params json.RawMessage) (any, error) {
	var asked chooseParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}

	choice, decision := b.pool(asked.Pool).Ask(time.Now(), from, asked.Work)

	return chooseAnswer{Choice: choice, Decision: decision}, nil
}

// HandleReport answers MethodReport.
func (b *Broker) HandleReport(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var told reportParams
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}

	now := time.Now()
	pools := make(map[string]bool)

	for _, r := range told.Reports {
		b.take(now, r)
		pools[r.Pool] = true
	}

	for pool := range pools {
		b.grant(now, pool)
	}

	return struct{}{}, nil
}

func (b *Broker) take(now time.Time, r report) {
	if r.Grant != nil {
		b.deliver(*r.Grant)

		return
	}

	pool := b.pool(r.Pool)

	if r.Begin != nil {
		pool.Begin(now, r.Begin.Upstream, r.Begin.Work)
	}

	if r.First || r.Begin != nil && r.Begin.Answered {
		pool.First(now, r.ID, r.Load)
	}

	if r.End != nil {
		pool.End(now, r.ID, *r.End)
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
		b.grant(now, pool)
	}
}

// grant tells the owners of requests that waited which upstream they got.
func (b *Broker) grant(now time.Time, pool string) {
	for _, g := range b.pool(pool).Next(now) {
		if g.Owner == b.options.Self {
			b.deliver(g)

			continue
		}

		b.out.add(g.Owner, report{Pool: pool, ID: g.ID, Grant: &g})
	}
}

// deliver hands a grant to the request that waits for it. One that gave up has told so itself.
func (b *Broker) deliver(grant balancer.Grant) {
	b.mu.Lock()
	granted, ok := b.waiting[grant.ID]
	b.mu.Unlock()

	if !ok {
		return
	}

	select {
	case granted <- grant:
	default:
	}
}
