package granter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
)

// pendingRequest is a slot request without a decision.
type pendingRequest struct {
	// requestID is the id of the caller's request, for log lines; request.ID is that of the slot request.
	requestID string

	request slotRequest
	pool    string
	class   configurer.Class
	// startedAt is when the slot request started, arrivedAt when the caller's request arrived at this node.
	startedAt, arrivedAt time.Time
	// holder is the node to which the slot request was sent last. Router.mu guards it, and
	// only the goroutine of Acquire writes it.
	holder string
	// lastSentAt is when the slot request was last sent, holderAnswered whether the holder
	// answered it, and nextLogAfter the wait at which the next log line is due. Only the
	// goroutine of Acquire uses them.
	lastSentAt     time.Time
	holderAnswered bool
	nextLogAfter   time.Duration
	// result receives the decision that ends the slot request. Only the goroutine that
	// removes the request from Router.pending sends it, so there is at most one.
	result chan decision
}

func (r *Router) register(ask dispatcher.SlotRequest, service configurer.Service) *pendingRequest {
	id := slotRequestID(r.options.Node, r.options.Incarnation, r.lastRequestNumber.Add(1))
	part := r.partFor(&ask, service, id)
	now := time.Now()

	p := &pendingRequest{
		requestID: ask.RequestID,
		request: slotRequest{
			ID:           id,
			Service:      ask.Service,
			Part:         part,
			Class:        ask.Class,
			Organisation: ask.Organisation,
			Exclude:      ask.Exclude,
			Progress:     ask.Progress,
			Prefixes:     ask.Prefixes,
			Spare:        ask.Spare,

			NotRepeatable: !ask.Repeatable,
		},
		pool:         poolName(service.Name, part),
		class:        service.Classes[ask.Class],
		startedAt:    now,
		arrivedAt:    now.Add(-ask.Waited),
		nextLogAfter: firstWaitLogAfter,
		result:       make(chan decision, 1),
	}

	r.mu.Lock()
	r.pending[id] = p
	r.mu.Unlock()

	return p
}

// partFor chooses the pool of a service for a slot request.
//
// A pool of this node is preferred, unless it is full or its servers may be those
// that failed an earlier attempt. Otherwise, a caller that sends everything to this
// node would wait while other pools are idle, and a retry would get the same servers again.
func (r *Router) partFor(ask *dispatcher.SlotRequest, service configurer.Service, askID string) int {
	count := poolCount(service)
	if count == 1 {
		return 0
	}

	number := xxhash.Sum64String(askID)
	spread := int(number % uint64(count))

	if len(ask.Exclude) > 0 {
		return spread
	}

	holders := make([]string, count)
	for part := range holders {
		holders[part] = r.holderOf(poolName(service.Name, part))
	}

	part := choosePart(holders, r.options.Node, number)
	if holders[part] == r.options.Node && r.holder.hasWaiting(poolName(service.Name, part)) {
		return spread
	}

	return part
}

// setHolder sets the holder to which the slot request is sent next and returns the previous one.
func (r *Router) setHolder(p *pendingRequest, holder string) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	previous := p.holder
	p.holder = holder

	return previous
}

// handleDecision handles a holder's decision, whether it came as an answer or later.
//
// A grant for a slot request that has ended is cancelled at once, because it would
// keep its slot in use until the next comparisons. A duplicate of a grant in use
// changes nothing. A preemption of an attempt that has ended is answered by a
// release: the holder adopted the attempt and wasn't told of its end. Without the
// release it would treat the slot as about to become free and preempt no other attempt.
func (r *Router) handleDecision(holder string, d decision) {
	r.mu.Lock()

	p := r.pending[d.ID]
	a := r.attempts[d.GrantID]
	cancelTarget := holder

	switch {
	case d.State == statePreempt && a != nil:
		if len(a.preemptors) == 0 {
			close(a.preempted)
		}

		a.preemptors = append(a.preemptors, holder)
	case p != nil && (d.State == stateGranted || d.State == stateRefused):
		cancelTarget = p.holder
		delete(r.pending, d.ID)

		if d.State == stateGranted {
			r.recordAttempt(newAttempt(p, d.GrantID, d.Upstream, holder))

			if r.syncedHolders[p.pool] != holder {
				delete(r.syncedHolders, p.pool)
			}
		}

		p.result <- d
	}

	r.mu.Unlock()

	unknown := p == nil && a == nil
	if (unknown && d.State == stateGranted) || cancelTarget != holder {
		r.batcher.cancel(cancelTarget, slotCancel{Pool: d.Pool, ID: d.ID})
	}

	if unknown && d.State == statePreempt {
		r.batcher.release(holder, slotRelease{Pool: d.Pool, GrantID: d.GrantID, Result: dispatcher.ResultPreempted})
	}
}

// startFallback ends a slot request whose holder doesn't answer and adds its attempt.
// It returns nil if a decision is already available in p.result, or if a lower
// tier already runs as many attempts as this node's recent peak.
func (r *Router) startFallback(p *pendingRequest) *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()

	if _, open := r.pending[p.request.ID]; !open {
		return nil
	}

	// The next holder that answers doesn't know this attempt.
	delete(r.syncedHolders, p.pool)

	a := newAttempt(p, p.request.ID+"/fallback", "", "")
	if a.lowerTier && !r.belowRecentPeak(p.pool) {
		return nil
	}

	delete(r.pending, p.request.ID)
	r.attempts[a.state.GrantID] = a
	r.counters.fallbackAttempts++

	return a
}

// isSynced reports whether the holder knows all grants that this node has of the
// pool. A holder that doesn't know those of another holder counts their slots as
// free until a comparison.
func (r *Router) isSynced(pool, holder string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.syncedHolders[pool] == holder
}

// markSynced records that a holder answered for the pool. The previous holder is
// notified: it may still serve nodes that see other live nodes, and would count the
// slots that the new one grants as free until its next comparison with this node.
func (r *Router) markSynced(pool, holder string) {
	r.mu.Lock()
	previous := r.syncedHolders[pool]
	r.syncedHolders[pool] = holder
	r.mu.Unlock()

	if previous != "" && previous != holder && slices.Contains(r.members.Live(), previous) {
		r.batcher.notify(previous, entryParams{MovedPools: []string{pool}})
	}
}

// withdraw ends a slot request and notifies its holder. It returns false if a
// decision is already available in p.result.
func (r *Router) withdraw(p *pendingRequest) bool {
	r.mu.Lock()
	_, open := r.pending[p.request.ID]
	delete(r.pending, p.request.ID)
	holder := p.holder
	r.mu.Unlock()

	if open {
		r.cancelAt(holder, p)
	}

	return open
}

// abandon ends a slot request, whether or not it has a decision.
func (r *Router) abandon(p *pendingRequest) {
	if r.withdraw(p) {
		return
	}

	d := <-p.result
	if d.State != stateGranted {
		return
	}

	r.returnGrant(p, d.GrantID)
}

// returnGrant returns a grant that was not used to its holder.
func (r *Router) returnGrant(p *pendingRequest, grantID string) {
	r.mu.Lock()
	a := r.attempts[grantID]
	delete(r.attempts, grantID)
	r.mu.Unlock()

	if a != nil {
		r.cancelAt(a.holder, p)
	}
}

func (r *Router) cancelAt(holder string, p *pendingRequest) {
	if holder != "" {
		r.batcher.cancel(holder, slotCancel{Pool: p.pool, ID: p.request.ID})
	}
}
