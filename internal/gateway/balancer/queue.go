package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// agingTime is the waiting time that makes up for one rank, so that no class waits forever.
	agingTime = 1500 * time.Millisecond
	// maxQueue bounds the requests that wait for one pool.
	maxQueue = 2000
	// lateAfterFraction is the part of its target that a request can wait and still meet it: the rest is for the
	// engine's backlog, its prompt and the first event. lateRank is what it loses in rank after that.
	lateAfterFraction = 0.55
	lateRankPenalty   = 1.5
	// organisationRankWeight is what each place in the order of organisations counts beside a priority; all places together
	// stay within one, so that no organisation goes before a more urgent class.
	organisationRankWeight = 0.3
	maxOrganisationRank    = 0.9
	// sortInterval is the longest time for which the order of a queue without room is left as it is.
	sortInterval = 20 * time.Millisecond
	// resortInterval is the same while there is room.
	resortInterval = 4 * time.Millisecond
)

// Decision is what became of a request that asked for an upstream.
type Decision int

const (
	// Granted requests have an upstream.
	Granted Decision = iota
	// Queued requests wait for one.
	Queued
	// Refused requests can't get one.
	Refused
)

// Grant is an upstream for a request that had waited.
type Grant struct {
	ID string
	// Owner is whoever asked.
	Owner  string
	Choice Choice
	// Refused says that there is no upstream: the request has no prospect to be served in time.
	Refused bool
}

// queued is a request that waits until a server has room for it.
type queued struct {
	request Request
	owner   string
	since   time.Time
	// until is when it is refused, deadline when its time is over if it gets room before.
	until, deadline time.Time
	// sortRank is the rank as of the last sorting.
	sortRank float64
}

// rank orders the queue: lower goes first. One that will be late in any case goes behind those that won't:
// strictly in turn, all would be late as soon as the queue is as long as their target.
func (q *queued) rank(now time.Time) float64 {
	rank := baseRank(&q.request) - now.Sub(q.since).Seconds()/agingTime.Seconds()
	if q.late(now) {
		rank += lateRankPenalty
	}

	return rank
}

// baseRank is the rank of a request that has not waited.
func baseRank(request *Request) float64 {
	return float64(request.Priority) + min(organisationRankWeight*float64(request.OrganisationRank), maxOrganisationRank)
}

// late says that the request has waited too long to meet its target.
func (q *queued) late(now time.Time) bool {
	return q.request.Target > 0 && now.Sub(q.since) > time.Duration(lateAfterFraction*float64(q.request.Target))
}

// Acquire picks an upstream for the work, or queues it where none has room now. Asked again for a request
// that has an upstream or waits already, it says the same again: its answer may have been lost.
func (p *Pool) Acquire(now time.Time, owner string, request Request) (Choice, Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.expire(now)

	if r, ok := p.requests[request.ID]; ok {
		return Choice{Upstream: r.server.ID, Address: r.server.Address, ExpectedWaitMS: r.expectedMS}, Granted
	}

	if p.queuedIDs[request.ID] != nil {
		return Choice{}, Queued
	}

	if !p.hasEligibleServer(now, &request) || len(p.queue) >= maxQueue {
		return Choice{}, Refused
	}

	if !p.outranked(&request) {
		if choice, ok := p.choose(now, request); ok {
			return choice, Granted
		}
	}

	if wait, ok := p.admit(now, &request); !ok {
		return Choice{ExpectedWaitMS: milliseconds(wait)}, Refused
	}

	q := &queued{request: request, owner: owner, since: now, until: now.Add(patience(&request)), deadline: now.Add(request.TimeLimit)}
	q.sortRank = q.rank(now)
	p.queue = append(p.queue, q)
	p.queuedIDs[request.ID] = q

	return Choice{}, Queued
}

// GrantQueued returns the waiting requests for which there is room now, and those that are refused.
func (p *Pool) GrantQueued(now time.Time) []Grant {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.queue) == 0 {
		return nil
	}

	p.expire(now)

	// Most calls find no room; sorting the queue each time would take up the holder's processor.
	hasRoom := len(p.openServers(now)) > 0
	if !hasRoom && now.Sub(p.sortedAt) < sortInterval {
		return nil
	}

	var grants []Grant

	if now.Sub(p.sortedAt) >= resortInterval {
		p.sort(now)
		grants = p.shed(now)
	}

	// declined are the requests that wait for a better server than those that have room.
	declined := make(map[*queued]bool)

	for len(declined) < maxDeclined {
		q, ok := p.nextMatch(now, declined)
		if !ok {
			return grants
		}

		choice, ok := p.choose(now, q.request)
		if !ok {
			declined[q] = true

			continue
		}

		p.unqueue(q.request.ID)
		grants = append(grants, Grant{ID: q.request.ID, Owner: q.owner, Choice: choice})
	}

	return grants
}

// sort puts the queue in order of rank.
func (p *Pool) sort(now time.Time) {
	p.sortedAt = now

	for _, q := range p.queue {
		q.sortRank = q.rank(now)
	}

	slices.SortStableFunc(p.queue, func(a, b *queued) int { return cmp.Compare(a.sortRank, b.sortRank) })
}

// QueueLength is the number of requests in the queue.
func (p *Pool) QueueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.queue)
}

// unqueue drops a request from the queue; p.mu is held.
func (p *Pool) unqueue(id string) {
	q, ok := p.queuedIDs[id]
	if !ok {
		return
	}

	delete(p.queuedIDs, id)

	i := slices.Index(p.queue, q)
	p.queue = slices.Delete(p.queue, i, i+1)
}
