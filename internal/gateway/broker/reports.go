package broker

import (
	"context"
	"encoding/json"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// reportToHolders queues a report for the holder and the standby of a pool, except for this node.
func (b *Broker) reportToHolders(pool string, r report) {
	b.reportTo(b.holdersOf(pool), r, -1, r.isUrgent())
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
	b.reportToHolders(r.pool, report{Pool: r.pool, ID: id, First: true, Load: load})
}

// RecordLoad implements relayer.Chooser.
func (b *Broker) RecordLoad(id string, load balancer.Load) {
	if !b.options.Scheduling.ServerPace {
		return
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	// The load is sent in the same message as the end, which follows at once.
	if r, ok := b.running[id]; ok {
		r.load = &load
		b.running[id] = r
	}
}

// RecordGaps implements relayer.Chooser.
func (b *Broker) RecordGaps(id string, pauses balancer.EventGaps) {
	b.mu.Lock()
	defer b.mu.Unlock()

	// The pauses are sent in the same message as the end.
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
		b.reportToHolders(r.pool, report{Pool: r.pool, ID: id, Leaving: r.upstream})
	}
}

// MarkResting implements relayer.Chooser.
func (b *Broker) MarkResting(id string, rest time.Duration) {
	b.mu.Lock()
	r, ok := b.running[id]
	b.mu.Unlock()

	if ok {
		b.pool(r.pool).MarkResting(r.upstream, time.Now().Add(rest))
		b.reportToHolders(r.pool, report{Pool: r.pool, ID: id, Resting: r.upstream, RestMS: float64(rest) / float64(time.Millisecond)})
	}
}

// RecordEnd implements relayer.Chooser.
func (b *Broker) RecordEnd(id string, outcome balancer.Outcome) {
	b.mu.Lock()
	r, ok := b.running[id]
	delete(b.running, id)
	b.mu.Unlock()

	if ok {
		b.finish(report{Pool: r.pool, ID: id, End: &outcome, Pauses: r.pauses, Load: r.load})
	}
}

// abandon reports that a request is no longer queued, or that its upstream isn't used.
func (b *Broker) abandon(pool, id string) {
	outcome := balancer.Abandoned
	b.finish(report{Pool: pool, ID: id, End: &outcome})
}

// finish reports to the holder and the standby that a request is no longer running or queued.
func (b *Broker) finish(ended report) {
	now := time.Now()

	b.applyReport(now, b.options.Self, ended)
	b.grantQueued(now, ended.Pool)
	b.reportToHolders(ended.Pool, ended)
}

// HandleChoose handles MethodChoose.
func (b *Broker) HandleChoose(_ context.Context, from string, params json.RawMessage) (any, error) {
	request, err := decodeChoose(params)
	if err != nil {
		return nil, err
	}

	return b.decide(from, request), nil
}

// HandleReport handles MethodReport.
func (b *Broker) HandleReport(_ context.Context, from string, params json.RawMessage) (any, error) {
	batch, err := decodeReports(params)
	if err != nil {
		return nil, err
	}

	now := time.Now()
	pools := make(map[string]bool)

	for _, r := range batch.Reports {
		b.applyReport(now, from, r)
		pools[r.Pool] = true
	}

	for pool := range pools {
		b.grantQueued(now, pool)
	}

	return struct{}{}, nil
}

func (b *Broker) applyReport(now time.Time, from string, r report) {
	if r.Grant != nil {
		if !b.deliverGrant(*r.Grant) && !r.Grant.Refused {
			b.returnGrant(from, r.Pool, r.ID)
		}

		return
	}

	pool := b.pool(r.Pool)

	if r.Begin != nil {
		r.Begin.Work.Node = from
	}

	switch {
	case r.Begin != nil && r.Begin.Answered:
		pool.AddAnswering(now, r.Begin.Upstream, r.Begin.Work)
	case r.Begin != nil && r.Begin.Earlier:
		pool.AddEarlier(now, r.Begin.Upstream, r.Begin.Work)
	case r.Begin != nil:
		pool.AddRunning(now, r.Begin.Upstream, r.Begin.Work)
	}

	if r.First {
		pool.RecordFirstEvent(now, r.ID, r.Load)
	}

	if r.Load != nil && !r.First {
		pool.RecordLoad(now, r.ID, *r.Load)
	}

	if r.Leaving != "" {
		pool.MarkLeaving(r.Leaving)
	}

	if r.Resting != "" {
		pool.MarkResting(r.Resting, now.Add(time.Duration(r.RestMS*float64(time.Millisecond))))
	}

	if r.Limit != nil {
		b.mergeLimit(now, r.Pool, *r.Limit)
	}

	if r.Brittle != nil {
		_ = pool.SetBrittle(now, *r.Brittle)
	}

	if r.Pauses != nil {
		pool.RecordGaps(r.ID, *r.Pauses)
	}

	if r.End != nil {
		if ejection, ok := pool.RecordEnd(now, r.ID, *r.End); ok {
			b.logEjection(from, r, ejection)
		}
	}
}

// logEjection logs that the holder of a pool ejects an upstream because of a node's report.
func (b *Broker) logEjection(from string, r report, ejection balancer.Ejection) {
	if holders := b.holdersOf(r.Pool); len(holders) == 0 || holders[0] != b.options.Self {
		return
	}

	b.ejectionLogger.Info().Str("upstream", ejection.Upstream).Str("pool", r.Pool).Stringer("outcome", *r.End).
		Str("reporter", from).Bool("for_all", ejection.ForAll).Dur("ejected_ms", ejection.Duration).Msg("upstream_ejected")
}

// grantPeriodically grants queued requests that no other event would grant, until ctx ends.
func (b *Broker) grantPeriodically(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			b.recordTick(time.Now())
			b.grantAllPools(now)
		}
	}
}

// grantAllPools grants queued requests of all pools.
func (b *Broker) grantAllPools(now time.Time) {
	// A node must notice that it became a holder, and report its requests to new holders, even if nobody asks it.
	b.refreshHolders(now)
	b.dropUnusedPools(now)

	for name, pool := range b.usedPools() {
		if pool.QueueLength() > 0 {
			b.grantQueued(now, name)
		}
	}
}

// grantQueued sends grants to the nodes whose queued requests got an upstream or were refused.
func (b *Broker) grantQueued(now time.Time, pool string) {
	for _, g := range b.poolForChoice(now, pool).GrantQueued(now) {
		b.refusals.record(pool, g.Refused)

		if g.Owner == b.options.Self {
			if !b.deliverGrant(g) && !g.Refused {
				b.pool(pool).RecordEnd(now, g.ID, balancer.Abandoned)
			}

			continue
		}

		b.outbox.Add(g.Owner, report{Pool: pool, ID: g.ID, Grant: &g})
	}
}

// deliverGrant passes a grant to the request that waits for it. It returns false if the request is neither waiting nor running.
func (b *Broker) deliverGrant(grant balancer.Grant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	grants, ok := b.grantChannels[grant.ID]
	if !ok {
		// After a change of holders, a request that is already running may be granted a second time.
		_, ok = b.running[grant.ID]

		return ok
	}

	select {
	case grants <- grant:
	default:
	}

	return true
}

// returnGrant tells a holder that no request waits for its grant any more: the request was sent elsewhere or ended while
// another node held the pool. Otherwise the slot would count as taken until the time limit of the request.
func (b *Broker) returnGrant(holder, pool, id string) {
	outcome := balancer.Abandoned
	b.outbox.Add(holder, report{Pool: pool, ID: id, End: &outcome})
}
