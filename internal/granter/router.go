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
	// holderCheckInterval is the time after which a queued slot request checks whether the pool has another holder.
	holderCheckInterval = time.Second
	// noHolderRetryAfter is the Retry-After of a request that no holder answered within the class's MaxWait.
	noHolderRetryAfter = 2 * time.Second
)

// Router implements dispatcher.SlotGranter for the requests of this node. It requests slots
// from the holder of the pool, and from the fallback while the holder doesn't answer.
// It is safe for concurrent use.
type Router struct {
	ctx               context.Context
	settings          Snapshotter
	members           Members
	caller            Caller
	fallback          dispatcher.SlotGranter
	holder            *Holder
	options           Options
	placement         *placement
	batcher           *batcher
	lastRequestNumber atomic.Uint64
	counters          routerCounters

	mu sync.Mutex
	// pending holds the slot requests without a decision, by slot request id.
	pending map[string]*pendingRequest
	// attempts holds the running attempts, by grant id.
	attempts map[string]*attempt
	// recentPeaks holds the recent peak of lower-tier attempts of this node, by pool.
	recentPeaks map[string]*recentPeak
	// syncedHolders holds the holder, by pool, that knows all grants that this node has of
	// the pool, as far as this node can tell. A pool has none before the first answer, or
	// after the node ran an attempt without a grant of the holder.
	syncedHolders map[string]string
	// unresponsive contains the nodes that failed to answer and haven't answered since.
	unresponsive map[string]bool
}

// NewRouter returns the router of a node whose own pools are run by holder.
// Fallback grants slots while no holder answers. The router's goroutines end with ctx.
func NewRouter(ctx context.Context, holder *Holder, fallback dispatcher.SlotGranter, settings Snapshotter, members Members, caller Caller, options Options) *Router {
	r := &Router{
		ctx:           ctx,
		settings:      settings,
		members:       members,
		caller:        caller,
		fallback:      fallback,
		holder:        holder,
		options:       options.withDefaults(),
		placement:     newPlacement(settings),
		pending:       make(map[string]*pendingRequest),
		attempts:      make(map[string]*attempt),
		recentPeaks:   make(map[string]*recentPeak),
		syncedHolders: make(map[string]string),
		unresponsive:  make(map[string]bool),
	}

	r.batcher = newBatcher(r)
	holder.router = r

	return r
}

// Acquire implements dispatcher.SlotGranter.
func (r *Router) Acquire(ctx context.Context, ask dispatcher.SlotRequest) (dispatcher.Slot, error) {
	service, ok := r.settings.Snapshot().Services[ask.Service]
	if !ok {
		return dispatcher.Slot{}, classifier.New(classifier.UnknownService, "service %q left the settings tree", ask.Service)
	}

	p := r.register(ask, service)

	for {
		resendAfter := r.resendInterval(p)
		p.lastSentAt = time.Now()

		p.holderAnswered = r.sendToHolder(ctx, p)
		if !p.holderAnswered && ask.Spare {
			r.abandon(p)

			return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "no holder of pool %q answered", p.pool).After(noHolderRetryAfter)
		}

		if !p.holderAnswered {
			slot, ok, err := r.acquireFallback(ctx, p, ask)
			if ok || err != nil {
				return slot, err
			}

			resendAfter = r.options.HolderTimeout
		}

		d, err := r.awaitDecision(ctx, p, resendAfter)
		if err != nil {
			return dispatcher.Slot{}, err
		}

		switch d.State {
		case stateGranted:
			return r.slotOf(p, d)
		case stateRefused:
			return dispatcher.Slot{}, classifier.New(d.Code, "the holder of pool %q refused the request", p.pool).After(d.RetryAfter)
		}
	}
}

// sendToHolder sends the slot request to the current holder and reports whether it
// answered. It returns true as well if ctx ended first.
func (r *Router) sendToHolder(ctx context.Context, p *pendingRequest) bool {
	holder := r.holderOf(p.pool)
	if holder == "" {
		return false
	}

	if previous := r.setHolder(p, holder); previous != "" && previous != holder {
		r.batcher.cancel(previous, slotCancel{Pool: p.pool, ID: p.request.ID})
	}

	request := p.request
	request.Queued = time.Since(p.startedAt)
	request.Waited = time.Since(p.arrivedAt)
	request.CompareSoon = !r.isSynced(p.pool, holder)

	answer, err := r.batcher.request(ctx, holder, request, p.class.Tier == topTier)
	if err != nil && ctx.Err() == nil {
		r.markUnresponsive(holder, err)

		return false
	}

	if err == nil {
		r.markSynced(p.pool, holder)
		r.handleDecision(holder, answer)
	}

	return true
}

// awaitDecision waits for the decision, or until the slot request must be sent again; then the state is stateQueued.
func (r *Router) awaitDecision(ctx context.Context, p *pendingRequest, resendAfter time.Duration) (decision, error) {
	timer := time.NewTimer(resendAfter)
	defer timer.Stop()

	holderCheck := time.NewTicker(holderCheckInterval)
	defer holderCheck.Stop()

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
		case <-holderCheck.C:
			r.logWait(p)

			if r.holderOf(p.pool) != p.holder {
				return decision{State: stateQueued}, nil
			}
		}
	}
}

// resendInterval is short for tier 1, so that a queued request notices within
// HolderTimeout that its holder has failed.
func (r *Router) resendInterval(p *pendingRequest) time.Duration {
	if p.class.Tier == topTier {
		return r.options.HolderTimeout
	}

	return r.options.ResendInterval
}

// acquireFallback acquires a slot from the fallback for a slot request whose holder
// doesn't answer: for tier 1 at once, for lower tiers while this node runs fewer
// attempts on the pool than its recent peak. Otherwise ok is false and the request
// stays pending.
func (r *Router) acquireFallback(ctx context.Context, p *pendingRequest, ask dispatcher.SlotRequest) (slot dispatcher.Slot, ok bool, err error) {
	if p.class.Tier != topTier && p.class.MaxWait > 0 && time.Since(p.startedAt) >= p.class.MaxWait {
		if !r.withdraw(p) {
			return dispatcher.Slot{}, false, nil
		}

		return dispatcher.Slot{}, false, classifier.New(classifier.TargetUnreachable, "no holder of pool %q answered", p.pool).After(noHolderRetryAfter)
	}

	a := r.startFallback(p)
	if a == nil {
		return dispatcher.Slot{}, false, nil
	}

	r.cancelAt(p.holder, p)

	fallbackSlot, err := r.fallback.Acquire(ctx, ask)

	r.mu.Lock()
	defer r.mu.Unlock()

	if err != nil {
		delete(r.attempts, a.state.GrantID)

		return dispatcher.Slot{}, false, err
	}

	a.fallbackSlot = &fallbackSlot
	a.state.Upstream = fallbackSlot.Upstream.Name

	return dispatcher.Slot{ID: a.state.GrantID, Upstream: fallbackSlot.Upstream, Priority: fallbackSlot.Priority, Preempted: a.preempted}, true, nil
}

// slotOf converts a grant to a slot for the dispatcher.
func (r *Router) slotOf(p *pendingRequest, d decision) (dispatcher.Slot, error) {
	upstream, known := r.settings.Snapshot().Services[p.request.Service].Upstreams[d.Upstream]

	r.mu.Lock()
	a := r.attempts[d.GrantID]
	r.mu.Unlock()

	if !known {
		r.returnGrant(p, d.GrantID)

		return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "upstream %q is not in this node's settings yet", d.Upstream).After(noHolderRetryAfter)
	}

	return dispatcher.Slot{ID: d.GrantID, Upstream: upstream, Priority: d.Priority, Preempted: a.preempted}, nil
}

// Release implements dispatcher.SlotGranter.
func (r *Router) Release(slot dispatcher.Slot, ask dispatcher.SlotRequest, outcome dispatcher.Outcome) {
	r.mu.Lock()
	a := r.attempts[slot.ID]
	delete(r.attempts, slot.ID)
	r.mu.Unlock()

	if a == nil {
		return
	}

	if a.fallbackSlot != nil {
		r.fallback.Release(*a.fallbackSlot, ask, outcome)
	}

	release := slotRelease{
		Pool:       a.pool,
		GrantID:    slot.ID,
		Result:     outcome.Result,
		FirstToken: outcome.FirstToken,
		TokenGap:   outcome.TokenGap(),
		Tokens:     outcome.Tokens,
		Duration:   outcome.Duration,
	}

	for _, holder := range a.holdersToNotify(r.holderOf(a.pool)) {
		r.batcher.release(holder, release)
	}
}
