package broker

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// Choose implements relayer.Chooser. It waits while the request is queued.
func (b *Broker) Choose(ctx context.Context, service string, work balancer.Request) (balancer.Choice, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(work.TimeLimit)*queueTimeFraction))
	defer cancel()

	// The grant may arrive before the answer that says that the request is queued.
	grants := make(chan balancer.Grant, 1)
	b.addGrantChannel(work.ID, grants)
	defer b.removeGrantChannel(work.ID)

	deadline := time.Now().Add(work.TimeLimit)

	if !b.options.Scheduling.WorkAdmission {
		// No holder uses them, so they needn't be sent.
		work.LengthHint, work.Organisation, work.Content = 0, "", 0
	}

	var refusal balancer.Choice

	for i, pool := range b.poolNamesFor(service, &work) {
		choice, ok, waited := b.chooseFrom(ctx, pool, work, deadline, grants)
		if ok {
			return choice, true
		}

		if i == 0 {
			refusal = choice
		}

		// A request that has waited would wait as long again. Pools with all their upstreams have as much room as others.
		if waited || !choice.Degraded && work.SoftwareVersion == "" || ctx.Err() != nil {
			break
		}
	}

	return refusal, false
}

// chooseFrom requests an upstream of one pool. If there is none, it also returns whether the request was queued there.
func (b *Broker) chooseFrom(
	ctx context.Context, pool string, work balancer.Request, deadline time.Time, grants <-chan balancer.Grant,
) (choice balancer.Choice, ok, waited bool) {
	for {
		holders := b.holdersOf(pool)
		work.TimeLimit = time.Until(deadline)
		askedAt := b.options.Now()

		choice, decision, answeredBy := b.askHolders(ctx, holders, pool, work)

		switch decision {
		case balancer.Granted:
			b.recordStart(pool, work, choice, holders, answeredBy)
			choice.AskedAt = askedAt

			return choice, true, waited
		case balancer.Refused:
			if answeredBy != 0 {
				// The holder that did not answer may have granted the request.
				b.abandon(pool, work.ID)
			}

			return choice, false, waited
		case balancer.Queued:
		}

		waited = true

		grant, ok := b.waitForGrant(ctx, grants)
		if ok && grant.Refused {
			return grant.Choice, false, waited
		}

		if ok {
			b.recordStart(pool, work, grant.Choice, holders, answeredBy)
			grant.Choice.AskedAt = askedAt

			return grant.Choice, true, waited
		}

		if ctx.Err() != nil {
			b.abandon(pool, work.ID)

			return choice, false, waited
		}
	}
}

// waitForGrant waits for a grant, but no longer than queuedRetryInterval: the holder may be gone, or its grant may be lost.
func (b *Broker) waitForGrant(ctx context.Context, grants <-chan balancer.Grant) (balancer.Grant, bool) {
	timer := time.NewTimer(queuedRetryInterval)
	defer timer.Stop()

	select {
	case grant := <-grants:
		return grant, true
	case <-timer.C:
	case <-ctx.Done():
	}

	return balancer.Grant{}, false
}

func (b *Broker) addGrantChannel(id string, grants chan balancer.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.grantChannels[id] = grants
}

func (b *Broker) removeGrantChannel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	delete(b.grantChannels, id)
}

// askHolders asks the holders in order, and decides locally if none of them answers. It returns the index of the holder that
// answered, -1 for a local decision.
func (b *Broker) askHolders(ctx context.Context, holders []string, pool string, work balancer.Request) (balancer.Choice, balancer.Decision, int) {
	// firstUnready is the index of the first holder that is still warming up. It decides only if no other holder does.
	firstUnready := -1

	for _, i := range b.askOrder(time.Now(), holders) {
		holder := holders[i]
		if holder != b.options.Self && b.isBackedOff(holder) {
			continue
		}

		result, err := b.askHolder(ctx, holder, chooseParams{Pool: pool, Work: work, Limits: b.newLimits(pool)})

		switch {
		case err == nil && !result.Unready:
			b.recordAnswer(time.Now(), holder, result.Late)

			return result.Choice, result.Decision, i
		case err == nil && firstUnready < 0:
			firstUnready = i
		case err == nil:
		case ctx.Err() != nil:
			return b.decideLocally(pool, work)
		default:
			b.backOff(holder, pool, err)
		}
	}

	if firstUnready >= 0 {
		result, err := b.askHolder(ctx, holders[firstUnready], chooseParams{Pool: pool, Work: work, Forced: true, Limits: b.newLimits(pool)})
		if err == nil {
			return result.Choice, result.Decision, firstUnready
		}
	}

	return b.decideLocally(pool, work)
}

// decideLocally chooses an upstream from this node's own view of the pool.
func (b *Broker) decideLocally(pool string, work balancer.Request) (balancer.Choice, balancer.Decision, int) {
	b.mu.Lock()
	b.holderCounters.Alone++
	b.mu.Unlock()

	choice, decision := b.poolForChoice(time.Now(), pool).Acquire(time.Now(), b.options.Self, work)

	return choice, decision, -1
}

// askHolder asks one holder to choose an upstream.
func (b *Broker) askHolder(ctx context.Context, holder string, params chooseParams) (chooseResult, error) {
	if holder == b.options.Self {
		return b.decide(holder, params), nil
	}

	ctx, cancel := context.WithTimeout(ctx, chooseTimeout)
	defer cancel()

	var result chooseResult
	err := b.options.Peers.Call(ctx, holder, MethodChoose, params, &result)

	return result, err
}

// decide chooses an upstream for the node that asks, unless this node is still warming up for the pool.
func (b *Broker) decide(from string, params chooseParams) chooseResult {
	if !params.Forced && !b.isReady(params.Pool) {
		return chooseResult{Unready: true}
	}

	for _, limit := range params.Limits {
		b.mergeLimit(time.Now(), params.Pool, limit)
	}

	choice, decision := b.poolForChoice(time.Now(), params.Pool).Acquire(time.Now(), from, params.Work)
	b.refusals.record(params.Pool, decision == balancer.Refused)

	result := chooseResult{Choice: choice, Decision: decision}
	result.Late = b.saysLate(time.Now(), &result)

	return result
}

// recordStart records a choice and reports it to the holders that did not make it.
func (b *Broker) recordStart(pool string, work balancer.Request, choice balancer.Choice, holders []string, answeredBy int) {
	if choice.Limit != nil {
		b.mergeLimit(time.Now(), pool, *choice.Limit)
	}

	if choice.Brittle != nil {
		_ = b.pool(pool).SetBrittle(time.Now(), *choice.Brittle)
	}

	work.Node = b.options.Self

	r := runningRequest{
		pool:         pool,
		upstream:     choice.Upstream,
		work:         work,
		expiresAt:    time.Now().Add(work.TimeLimit),
		limitVersion: b.limits.Version(choice.Upstream),
	}

	b.mu.Lock()
	b.running[work.ID] = r
	b.mu.Unlock()

	if answeredBy < 0 || holders[answeredBy] != b.options.Self {
		b.pool(pool).AddRunning(time.Now(), choice.Upstream, work)
	}

	begin := report{Pool: pool, ID: work.ID, Begin: &beginReport{Upstream: choice.Upstream, Work: work}}
	b.reportTo(holders, begin, answeredBy, choice.Limit != nil || choice.Brittle != nil)
}
