package granter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
)

// pending is one ask on its way to a decision.
type pending struct {
	// requestID is the id that the request's log lines carry; item.ID is that of the ask.
	requestID string

	item  askItem
	pool  string
	class configurer.Class
	// began is when the ask began, arrived when its request arrived at this node.
	began, arrived time.Time
	// peer is the holder asked last; Router.mu guards it, and only the asking goroutine writes it.
	peer string
	// asked is when the holder was last asked, answered whether it did, and logDue the wait
	// at which the next line is due; only the asking goroutine uses them.
	asked    time.Time
	answered bool
	logDue   time.Duration
	// result takes the decision that ends the ask. Only the one who removes the
	// ask from Router.pending sends, so that there is one at most.
	result chan decision
}

func (r *Router) begin(ask dispatcher.SlotRequest, service configurer.Service) *pending {
	id := askID(r.options.Node, r.options.Incarnation, r.number.Add(1))
	part := r.partFor(&ask, service, id)
	now := time.Now()

	p := &pending{
		requestID: ask.RequestID,
		item: askItem{
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
		pool:    poolName(service.Name, part),
		class:   service.Classes[ask.Class],
		began:   now,
		arrived: now.Add(-ask.Waited),
		logDue:  waitLogAfter,
		result:  make(chan decision, 1),
	}

	r.mu.Lock()
	r.pending[id] = p
	r.mu.Unlock()

	return p
}

// partFor picks the pool of a service that an ask goes to.
//
// A pool of this node that is full, or whose servers may be those that failed an
// earlier attempt, is not preferred: one caller that sends all to this node
// would wait here while other pools are idle, and an attempt after a failure
// would meet the same servers again.
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
	if holders[part] == r.options.Node && r.holder.queues(poolName(service.Name, part)) {
		return spread
	}

	return part
}

// moveTo notes the holder that is asked next and returns the one asked before.
func (r *Router) moveTo(p *pending, peer string) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	last := p.peer
	p.peer = peer

	return last
}

// decided takes a holder's decision, whether as an answer or later.
//
// A grant for an ask that is over would hold its slot until the next comparisons;
// so it is cancelled at once. One that was taken already came twice and changes
// nothing. An attempt that is preempted after its end is released: its holder,
// which adopted it and was not told, takes the slot for one that is about to become
// free and preempts no other for it.
func (r *Router) decided(peer string, d decision) {
	r.mu.Lock()

	p := r.pending[d.ID]
	f := r.flights[d.GrantID]
	asked := peer

	switch {
	case d.State == statePreempt && f != nil:
		if len(f.preemptors) == 0 {
			close(f.preempted)
		}

		f.preemptors = append(f.preemptors, peer)
	case p != nil && (d.State == stateGranted || d.State == stateRefused):
		asked = p.peer
		delete(r.pending, d.ID)

		if d.State == stateGranted {
			r.launch(newFlight(p, d.GrantID, d.Upstream, peer))

			if r.known[p.pool] != peer {
				delete(r.known, p.pool)
			}
		}

		p.result <- d
	}

	r.mu.Unlock()

	over := p == nil && f == nil
	if (over && d.State == stateGranted) || asked != peer {
		r.batcher.cancel(asked, cancelItem{Pool: d.Pool, ID: d.ID})
	}

	if over && d.State == statePreempt {
		r.batcher.release(peer, releaseItem{Pool: d.Pool, GrantID: d.GrantID, Result: dispatcher.ResultPreempted})
	}
}

// leave ends an ask that goes without its holder and reserves its flight.
// It returns nil when a decision is already there to be read, or when a lower
// tier already runs as many attempts as this node lately had.
func (r *Router) leave(p *pending) *flight {
	r.mu.Lock()
	defer r.mu.Unlock()

	if _, open := r.pending[p.item.ID]; !open {
		return nil
	}

	// The next holder that answers hasn't granted this one.
	delete(r.known, p.pool)

	f := newFlight(p, p.item.ID+"/fallback", "", "")
	if f.lower && !r.withinShare(p.pool) {
		return nil
	}

	delete(r.pending, p.item.ID)
	r.flights[f.item.GrantID] = f
	r.counters.WithoutHolder++

	return f
}

// knownAt says whether the holder knows all that this node has of the pool.
// Asked by another holder's entry, it would count that capacity as free until a comparison.
func (r *Router) knownAt(pool, holder string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.known[pool] == holder
}

// learnKnown notes that a holder answered for the pool. The one before may still
// serve other nodes, which see other nodes alive: it is told, or it would count
// what the new one grants as free until its next comparison with this node.
func (r *Router) learnKnown(pool, holder string) {
	r.mu.Lock()
	last := r.known[pool]
	r.known[pool] = holder
	r.mu.Unlock()

	if last != "" && last != holder && slices.Contains(r.members.Live(), last) {
		r.batcher.tell(last, askParams{Elsewhere: []string{pool}})
	}
}

// withdraw ends an ask from this side and tells its holder. It returns false
// when a decision is already there to be read.
func (r *Router) withdraw(p *pending) bool {
	r.mu.Lock()
	_, open := r.pending[p.item.ID]
	delete(r.pending, p.item.ID)
	peer := p.peer
	r.mu.Unlock()

	if open {
		r.cancelAt(peer, p)
	}

	return open
}

// abandon ends an ask whether it is decided or not.
func (r *Router) abandon(p *pending) {
	if r.withdraw(p) {
		return
	}

	d := <-p.result
	if d.State != stateGranted {
		return
	}

	r.giveBack(p, d.GrantID)
}

// giveBack returns a grant that was not used.
func (r *Router) giveBack(p *pending, grantID string) {
	r.mu.Lock()
	f := r.flights[grantID]
	delete(r.flights, grantID)
	r.mu.Unlock()

	if f != nil {
		r.cancelAt(f.peer, p)
	}
}

func (r *Router) cancelAt(peer string, p *pending) {
	if peer != "" {
		r.batcher.cancel(peer, cancelItem{Pool: p.pool, ID: p.item.ID})
	}
}
