package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// agingTime is the waiting time that offsets one rank, so that no class waits forever.
	agingTime = 1500 * time.Millisecond
	// maxQueue limits the number of requests in the queue of a pool.
	maxQueue = 2000
	// lateAfterFraction is the fraction of its target that a request can wait and still meet it: the rest is for
	// the engine's backlog, the prompt and the first event. After that, lateRankPenalty is added to its rank.
	lateAfterFraction = 0.55
	lateRankPenalty   = 1.5
	// organisationRankWeight is the weight of an organisation's rank relative to the priority. The sum is capped at
	// maxOrganisationRank, below 1, so that no organisation goes before a more urgent class.
	organisationRankWeight = 0.3
	maxOrganisationRank    = 0.9
	// resumedWait is how long a request that goes on with a stream counts as having waited, as its caller has.
	resumedWait = 600 * time.Millisecond
	// resumedTargetFraction is the part of its time limit within which such a request should go on.
	resumedTargetFraction = 0.5
	// sortInterval is the longest time between sorts of the queue while no server has room.
	sortInterval = 20 * time.Millisecond
	// resortInterval is the minimum time between sorts while a server has room.
	resortInterval = 4 * time.Millisecond
)

// Decision is the result of Acquire.
type Decision int

const (
	// Granted means that the request has an upstream.
	Granted Decision = iota
	// Queued means that the request waits for an upstream.
	Queued
	// Refused means that the request gets no upstream.
	Refused
)

// Grant assigns an upstream to a queued request, or refuses it.
type Grant struct {
	ID string
	// Owner is the node that asked.
	Owner  string
	Choice Choice
	// Refused is set if the request can't be served in time; Choice then has no upstream.
	Refused bool
}

// queued is a request that waits until a server has room for it.
type queued struct {
	request  Request
	owner    string
	queuedAt time.Time
	// refuseAt is when the request is refused if it is still queued. deadline is when its time limit ends.
	refuseAt, deadline time.Time
	// sortRank is the rank at the time of the last sort.
	sortRank float64

	// The fields below are set if Options.WorkAdmission is set. work is the request's work, and tier and share are what its
	// organisation gets. latestStart is when it must get a server to meet its target, isLate whether that time had passed at
	// the last sort. level is how far it is ahead of its organisation's share.
	work        float64
	tier        *tier
	share       *share
	latestStart time.Time
	// orderAt orders requests of the same rank: latestStart plus a delay by the request's work.
	orderAt time.Time
	isLate  bool
	level   int
	// isLarge is set if the request has much more work than the mean, isFavoured if such requests are owed room.
	isLarge, isFavoured bool
}

// rank orders the queue, lowest first. A request that will miss its target in any case goes behind those that
// won't: in strict order of arrival, all would be late as soon as the queue is as long as their target.
func (q *queued) rank(now time.Time) float64 {
	rank := baseRank(&q.request) - now.Sub(q.queuedAt).Seconds()/agingTime.Seconds()
	if q.late(now) {
		rank += lateRankPenalty
	}

	return rank
}

// baseRank returns the rank of a request that has not waited in the queue.
func baseRank(request *Request) float64 {
	rank := float64(request.Priority) + min(organisationRankWeight*float64(request.OrganisationRank), maxOrganisationRank)
	if request.Resumed {
		rank -= resumedWait.Seconds() / agingTime.Seconds()
	}

	return rank
}

// late reports whether the request has waited too long to meet its target.
func (q *queued) late(now time.Time) bool {
	if q.share != nil {
		return now.After(q.latestStart)
	}

	return q.request.Target > 0 && now.Sub(q.queuedAt) > time.Duration(lateAfterFraction*float64(q.request.Target))
}

// Acquire chooses an upstream for the request, or queues the request if no server has room. It is idempotent: for a request
// that has an upstream or is queued it returns the same decision again, as the first reply may have been lost.
func (p *Pool) Acquire(now time.Time, owner string, request Request) (Choice, Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()

	request.Node = owner

	// The target is that of the first event, which the caller has.
	if request.Resumed && request.Target > 0 {
		request.Target = max(request.Target, time.Duration(resumedTargetFraction*float64(request.TimeLimit)))
	}

	p.expire(now)

	if r, ok := p.requests[request.ID]; ok {
		return Choice{
			Upstream: r.server.ID, Address: r.server.Address, Born: r.server.Born, SoftwareVersion: r.server.SoftwareVersion,
			ExpectedWaitMS: r.expectedMS, Limit: r.server.namedLimit(), Brittle: r.server.namedBrittleness(now),
		}, Granted
	}

	if p.queuedIDs[request.ID] != nil {
		return Choice{}, Queued
	}

	if p.options.WorkAdmission {
		p.beginAdmission(now, &request)
	}

	// A node that reaches the servers isn't refused because others don't.
	request.ownFailuresOnly = !p.hasEligibleServer(now, &request)

	if request.ownFailuresOnly && !p.hasEligibleServer(now, &request) || p.isQueueFull(&request) {
		return Choice{ExpectedWaitMS: milliseconds(p.restWait(now, &request)), Degraded: p.isDegraded(now, owner)}, Refused
	}

	q := &queued{request: request, owner: owner, queuedAt: now, refuseAt: now.Add(patience(&request)), deadline: now.Add(request.TimeLimit)}

	if !p.outranked(now, q) {
		if choice, ok := p.choose(now, request); ok {
			return choice, Granted
		}
	}

	delay, ok := p.admit(now, q)
	if !ok {
		delay.Degraded = p.isDegraded(now, owner)

		return delay, Refused
	}

	p.enqueue(now, q)

	return delay, Queued
}

// enqueue adds a request to the queue.
func (p *Pool) enqueue(now time.Time, q *queued) {
	p.queuedIDs[q.request.ID] = q

	if p.options.WorkAdmission {
		p.insertByWork(q)

		return
	}

	q.sortRank = q.rank(now)
	p.queue = append(p.queue, q)
}

// isQueueFull reports whether the queue has no place for the request.
func (p *Pool) isQueueFull(request *Request) bool {
	if len(p.queue) < maxQueue {
		return false
	}

	// The less urgent requests that fill the queue are the last to get servers.
	return !p.options.WorkAdmission || len(p.queue) >= 2*maxQueue || p.queue[len(p.queue)-1].request.Priority <= request.Priority
}

// GrantQueued returns the queued requests that get a server now, and those that are refused.
func (p *Pool) GrantQueued(now time.Time) []Grant {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.queue) == 0 {
		return nil
	}

	p.expire(now)

	// Most calls find no server with room; sorting the queue each time would use too much of the holder's CPU.
	hasRoom := p.findOpen(now)
	if !hasRoom && now.Sub(p.sortedAt) < sortInterval {
		return nil
	}

	var grants []Grant

	if now.Sub(p.sortedAt) >= resortInterval {
		p.sort(now)
		grants = p.shed(now)
	}

	// declined holds the requests that wait for a better server than those with room.
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

// sort sorts the queue by rank.
func (p *Pool) sort(now time.Time) {
	p.sortedAt = now

	if p.options.WorkAdmission {
		p.sortByWork(now)

		return
	}

	for _, q := range p.queue {
		q.sortRank = q.rank(now)
	}

	slices.SortStableFunc(p.queue, func(a, b *queued) int { return cmp.Compare(a.sortRank, b.sortRank) })
}

// QueueLength returns the number of requests in the queue.
func (p *Pool) QueueLength() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.queue)
}

// IsIdle reports whether no request runs or waits.
func (p *Pool) IsIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.expire(now)

	return len(p.queue) == 0 && len(p.requests) == 0
}

// unqueue removes a request from the queue. The caller holds p.mu.
func (p *Pool) unqueue(id string) {
	q, ok := p.queuedIDs[id]
	if !ok {
		return
	}

	delete(p.queuedIDs, id)

	if q.share != nil {
		q.share.dequeue(q.work)
	}

	i := slices.Index(p.queue, q)
	p.queue = slices.Delete(p.queue, i, i+1)
}
