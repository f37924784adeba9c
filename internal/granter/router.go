package granter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	topTier = 1
	// lookAgainAfter is the time after which a queued ask looks whether its holder still is one.
	lookAgainAfter = time.Second
	// noHolderWait is what a caller is told when no holder answered within the class's MaxWait.
	noHolderWait = 2 * time.Second
)

// Router implements dispatcher.SlotGranter for the requests of this node: it asks
// the holder of the pool and, while that is silent, goes without. It is safe for concurrent use.
type Router struct {
	ctx       context.Context
	settings  Snapshotter
	members   Members
	caller    Caller
	fallback  dispatcher.SlotGranter
	holder    *Holder
	options   Options
	placement *placement
	batcher   *batcher
	number    atomic.Uint64
	counters  routerCounters

	mu sync.Mutex
	// pending holds asks that are not decided, by ask id.
	pending map[string]*pending
	// flights holds what runs, by grant id.
	flights map[string]*flight
	// shares holds what lower tiers of this node lately had of each pool, by pool.
	shares map[string]*share
	// known holds the holder, by pool, that knows all grants which this node has of
	// the pool as far as this node can tell: none before its first answer, or once
	// the node ran something without it.
	known map[string]string
	// silent holds nodes that didn't answer and have not answered since.
	silent map[string]bool
}

// NewRouter returns the router of a node whose own pools are run by holder.
// Fallback grants slots while no holder answers. Its work ends with ctx.
func NewRouter(ctx context.Context, holder *Holder, fallback dispatcher.SlotGranter, settings Snapshotter, members Members, caller Caller, options Options) *Router {
	r := &Router{
		ctx:       ctx,
		settings:  settings,
		members:   members,
		caller:    caller,
		fallback:  fallback,
		holder:    holder,
		options:   options.withDefaults(),
		placement: newPlacement(settings),
		pending:   make(map[string]*pending),
		flights:   make(map[string]*flight),
		shares:    make(map[string]*share),
		known:     make(map[string]string),
		silent:    make(map[string]bool),
	}

	r.batcher = newBatcher(r)
	holder.entry = r

	return r
}

// Acquire implements dispatcher.SlotGranter.
func (r *Router) Acquire(ctx context.Context, ask dispatcher.SlotRequest) (dispatcher.Slot, error) {
	service, ok := r.settings.Snapshot().Services[ask.Service]
	if !ok {
		return dispatcher.Slot{}, classifier.New(classifier.UnknownService, "service %q left the settings tree", ask.Service)
	}

	p := r.begin(ask, service)

	for {
		again := r.askAgain(p)
		p.asked = time.Now()

		p.answered = r.askHolder(ctx, p)
		if !p.answered && ask.Spare {
			r.abandon(p)

			return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "no holder of pool %q answered", p.pool).After(noHolderWait)
		}

		if !p.answered {
			slot, ok, err := r.goWithout(ctx, p, ask)
			if ok || err != nil {
				return slot, err
			}

			again = r.options.HolderTimeout
		}

		d, err := r.await(ctx, p, again)
		if err != nil {
			return dispatcher.Slot{}, err
		}

		switch d.State {
		case stateGranted:
			return r.slot(p, d)
		case stateRefused:
			return dispatcher.Slot{}, classifier.New(d.Code, "the holder of pool %q refused the request", p.pool).After(d.RetryAfter)
		}
	}
}

// askHolder sends the ask to the present holder and says whether it answered.
func (r *Router) askHolder(ctx context.Context, p *pending) bool {
	peer := r.holderOf(p.pool)
	if peer == "" {
		return false
	}

	if last := r.moveTo(p, peer); last != "" && last != peer {
		r.batcher.cancel(last, cancelItem{Pool: p.pool, ID: p.item.ID})
	}

	item := p.item
	item.Queued = time.Since(p.began)
	item.Waited = time.Since(p.arrived)
	item.Compare = !r.knownAt(p.pool, peer)

	answer, err := r.batcher.ask(ctx, peer, item, p.class.Tier == topTier)
	if err != nil && ctx.Err() == nil {
		r.suspect(peer, err)

		return false
	}

	if err == nil {
		r.learnKnown(p.pool, peer)
		r.decided(peer, answer)
	}

	return true
}

// await waits until the ask is decided, or until it is time to ask again; then the state is stateQueued.
func (r *Router) await(ctx context.Context, p *pending, again time.Duration) (decision, error) {
	timer := time.NewTimer(again)
	defer timer.Stop()

	look := time.NewTicker(lookAgainAfter)
	defer look.Stop()

	for {
		select {
		case d := <-p.result:
			return d, nil
		case <-ctx.Done():
			r.abandon(p)

			return decision{}, errors.Wrap(ctx.Err(), "wait for a slot")
		case <-timer.C:
			r.logWait(p)

			return decision{State: stateQueued}, nil
		case <-look.C:
			r.logWait(p)

			if r.holderOf(p.pool) != p.peer {
				return decision{State: stateQueued}, nil
			}
		}
	}
}

// askAgain is short for tier 1, so that it notices within HolderTimeout when a
// holder dies that had it queued.
func (r *Router) askAgain(p *pending) time.Duration {
	if p.class.Tier == topTier {
		return r.options.HolderTimeout
	}

	return r.options.ResendInterval
}

// goWithout is for an ask whose holder is silent. Tier 1 goes at once to the
// best upstream that the fallback knows; lower tiers go within the share that
// this node lately had of the pool. Otherwise ok is false and the ask stays.
func (r *Router) goWithout(ctx context.Context, p *pending, ask dispatcher.SlotRequest) (slot dispatcher.Slot, ok bool, err error) {
	if p.class.Tier != topTier && p.class.MaxWait > 0 && time.Since(p.began) >= p.class.MaxWait {
		if !r.withdraw(p) {
			return dispatcher.Slot{}, false, nil
		}

		return dispatcher.Slot{}, false, classifier.New(classifier.TargetUnreachable, "no holder of pool %q answered", p.pool).After(noHolderWait)
	}

	f := r.leave(p)
	if f == nil {
		return dispatcher.Slot{}, false, nil
	}

	r.cancelAt(p.peer, p)

	inner, err := r.fallback.Acquire(ctx, ask)

	r.mu.Lock()
	defer r.mu.Unlock()

	if err != nil {
		delete(r.flights, f.item.GrantID)

		return dispatcher.Slot{}, false, err
	}

	f.inner = &inner
	f.item.Upstream = inner.Upstream.Name

	return dispatcher.Slot{ID: f.item.GrantID, Upstream: inner.Upstream, Priority: inner.Priority, Preempted: f.preempted}, true, nil
}

// slot turns a grant into what the dispatcher needs.
func (r *Router) slot(p *pending, d decision) (dispatcher.Slot, error) {
	upstream, known := r.settings.Snapshot().Services[p.item.Service].Upstreams[d.Upstream]

	r.mu.Lock()
	f := r.flights[d.GrantID]
	r.mu.Unlock()

	if !known {
		r.giveBack(p, d.GrantID)

		return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "upstream %q is not in this node's settings yet", d.Upstream).After(noHolderWait)
	}

	return dispatcher.Slot{ID: d.GrantID, Upstream: upstream, Priority: d.Priority, Preempted: f.preempted}, nil
}

// Release implements dispatcher.SlotGranter.
func (r *Router) Release(slot dispatcher.Slot, ask dispatcher.SlotRequest, outcome dispatcher.Outcome) {
	r.mu.Lock()
	f := r.flights[slot.ID]
	delete(r.flights, slot.ID)
	r.mu.Unlock()

	if f == nil {
		return
	}

	if f.inner != nil {
		r.fallback.Release(*f.inner, ask, outcome)
	}

	item := releaseItem{
		Pool:       f.pool,
		GrantID:    slot.ID,
		Result:     outcome.Result,
		FirstToken: outcome.FirstToken,
		TokenGap:   outcome.TokenGap(),
		Tokens:     outcome.Tokens,
		Duration:   outcome.Duration,
	}

	for _, peer := range f.holders(r.holderOf(f.pool)) {
		r.batcher.release(peer, item)
	}
}
