package broker

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// Choose implements relayer.Chooser. It waits while the request is queued.
func (b *Broker) Choose(ctx context.Context, service string, work balancer.Request) (balancer.Choice, bool) {
	pool := b.poolOf(service, &work)

	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(work.TimeLimit)*waitPart))
	defer cancel()

	// A grant may come before the answer that says that the request waits.
	granted := make(chan balancer.Grant, 1)
	b.await(work.ID, granted)
	defer b.unwait(work.ID)

	deadline := time.Now().Add(work.TimeLimit)

	for {
		asked := b.holdersOf(pool)
		work.TimeLimit = time.Until(deadline)

		choice, decision, by := b.askAny(ctx, asked, pool, work)

		switch decision {
		case balancer.Granted:
			b.begun(pool, work, choice, asked, by)

			return choice, true
		case balancer.Refused:
			return choice, false
		case balancer.Queued:
		}

		grant, ok := b.waitFor(ctx, granted)
		if ok && grant.Refused {
			return choice, false
		}

		if ok {
			b.begun(pool, work, grant.Choice, asked, by)

			return grant.Choice, true
		}

		if ctx.Err() != nil {
			b.end(pool, work.ID, balancer.Abandoned, nil)

			return choice, false
		}
	}
}

// waitFor waits for a grant, but not longer than until the holder is to be asked again: it may be gone, or its grant lost.
func (b *Broker) waitFor(ctx context.Context, granted <-chan balancer.Grant) (balancer.Grant, bool) {
	timer := time.NewTimer(askAgain)
	defer timer.Stop()

	select {
	case grant := <-granted:
		return grant, true
	case <-timer.C:
	case <-ctx.Done():
	}

	return balancer.Grant{}, false
}

func (b *Broker) await(id string, granted chan balancer.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.waiting[id] = granted
}

func (b *Broker) unwait(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	delete(b.waiting, id)
}

// askAny asks the holders in their order, then this node's own pool. It returns the place of the
// holder that answered, -1 for the own pool.
func (b *Broker) askAny(ctx context.Context, asked []string, pool string, work balancer.Request) (balancer.Choice, balancer.Decision, int) {
	// unready is the place of the first holder that has too little of a view to decide before others.
	unready := -1

	for i, holder := range asked {
		if holder != b.options.Self && b.isDoubted(holder) {
			continue
		}

		answer, err := b.ask(ctx, holder, chooseParams{Pool: pool, Work: work})

		switch {
		case err == nil && !answer.Unready:
			return answer.Choice, answer.Decision, i
		case err == nil && unready < 0:
			unready = i
		case err == nil:
		case ctx.Err() != nil:
			return b.askSelf(pool, work)
		default:
			b.doubt(holder, pool, err)
		}
	}

	if unready >= 0 {
		answer, err := b.ask(ctx, asked[unready], chooseParams{Pool: pool, Work: work, Forced: true})
		if err == nil {
			return answer.Choice, answer.Decision, unready
		}
	}

	return b.askSelf(pool, work)
}

// askSelf lets this node's own view decide.
func (b *Broker) askSelf(pool string, work balancer.Request) (balancer.Choice, balancer.Decision, int) {
	choice, decision := b.pool(pool).Acquire(time.Now(), b.options.Self, work)

	return choice, decision, -1
}

// ask lets one holder choose.
func (b *Broker) ask(ctx context.Context, holder string, params chooseParams) (chooseAnswer, error) {
	if holder == b.options.Self {
		return b.answer(holder, params), nil
	}

	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	var answer chooseAnswer
	err := b.options.Peers.Call(ctx, holder, MethodChoose, params, &answer)

	return answer, err
}

// answer decides for the node that asks, unless this node's view is too young.
func (b *Broker) answer(from string, params chooseParams) chooseAnswer {
	if !params.Forced && !b.isReady(params.Pool) {
		return chooseAnswer{Unready: true}
	}

	choice, decision := b.pool(params.Pool).Acquire(time.Now(), from, params.Work)

	return chooseAnswer{Choice: choice, Decision: decision}
}

// begun notes a choice and tells the holders that did not make it.
func (b *Broker) begun(pool string, work balancer.Request, choice balancer.Choice, asked []string, by int) {
	b.mu.Lock()
	b.running[work.ID] = running{pool: pool, upstream: choice.Upstream, work: work, until: time.Now().Add(work.TimeLimit)}
	b.mu.Unlock()

	if by < 0 || asked[by] != b.options.Self {
		b.pool(pool).AddRunning(time.Now(), choice.Upstream, work)
	}

	for i, holder := range asked {
		if i != by && holder != b.options.Self {
			b.out.add(holder, report{Pool: pool, ID: work.ID, Begin: &begin{Upstream: choice.Upstream, Work: work}})
		}
	}
}
