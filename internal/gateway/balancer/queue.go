package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// agingTime is the waiting time that makes up for one rank, so that no class waits forever.
	agingTime = 1500 * time.Millisecond
	// maxQueue bounds the requests that wait for one pool.
	maxQueue = 2000
	// lateWait is the part of its target that a request can wait and still meet it: the rest is for the
	// engine's backlog, its prompt and the first event. lateRank is what it loses in rank after that.
	lateWait = 0.55
	lateRank = 1.5
	// orderRank is what each place in the order of organisations counts beside a priority; all places together
	// stay within one, so that no organisation goes before a more urgent class.
	orderRank     = 0.3
	mostOrderRank = 0.9
	// lateQueue is the number of late requests that may go on waiting, in seconds of what the pool grants.
	// They are worth serving once the burst is over; more of them would only wait for their refusal.
	lateQueue = 0.7
	// patiencePart is the part of its time that a request which can't meet its target may wait.
	patiencePart = 0.15
	// sortInterval is the longest time for which the order of a queue without room is left as it is.
	sortInterval = 20 * time.Millisecond
	// grantTime is the time constant of the measured grants.
	grantTime = 2 * time.Second
	// mostDeclined bounds the work of one look for room: a choice looks at all servers.
	mostDeclined = 8
	// overduePart is the part of its patience after which a request doesn't wait for the right server any more.
	overduePart = 0.5
	// matchWindow is the number of waiting requests among which room is given, and matchRank how much further
	// back in rank than the first of them one may be: two thirds of agingTime.
	matchWindow = 64
	matchRank   = 0.67
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
	work  Work
	owner string
	since time.Time
	// until is when it is refused, deadline when its time is over if it gets room before.
	until, deadline time.Time
	// place is the rank as of the last sorting.
	place float64
}

// rank orders the queue: lower goes first. One that will be late in any case goes behind those that won't:
// strictly in turn, all would be late as soon as the queue is as long as their target.
func (q *queued) rank(now time.Time) float64 {
	rank := baseRank(&q.work) - now.Sub(q.since).Seconds()/agingTime.Seconds()
	if q.late(now) {
		rank += lateRank
	}

	return rank
}

// baseRank is the rank of a request that has not waited.
func baseRank(work *Work) float64 {
	return float64(work.Priority) + min(orderRank*float64(work.Order), mostOrderRank)
}

// late says that the request has waited too long to meet its target.
func (q *queued) late(now time.Time) bool {
	return q.work.Target > 0 && now.Sub(q.since) > time.Duration(lateWait*float64(q.work.Target))
}

// Ask picks an upstream for the work, or queues it where none has room now. Asked again for a request
// that has an upstream or waits already, it says the same again: its answer may have been lost.
func (p *Pool) Ask(now time.Time, owner string, work Work) (Choice, Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.expire(now)
	p.divide(now)

	if r, ok := p.requests[work.ID]; ok {
		return Choice{Upstream: r.server.ID, Address: r.server.Address, Waiting: r.expected}, Granted
	}

	if p.queuedIDs[work.ID] {
		return Choice{}, Queued
	}

	if !p.mayEver(now, &work) || len(p.queue) >= maxQueue {
		return Choice{}, Refused
	}

	if !p.outranked(&work) {
		if choice, ok := p.choose(now, work); ok {
			return choice, Granted
		}
	}

	if wait, ok := p.prospect(now, &work); !ok {
		p.demands[p.groupOf(&work)].refuse(now)

		return Choice{Waiting: milliseconds(wait)}, Refused
	}

	q := &queued{work: work, owner: owner, since: now, until: now.Add(patience(&work)), deadline: now.Add(work.Limit)}
	q.place = q.rank(now)
	p.queue = append(p.queue, q)
	p.queuedIDs[work.ID] = true

	return Choice{}, Queued
}

// prospect says whether a request that has to wait may join the queue, and else how long the queue takes to drain. It
// may while it can get room early enough for its target, or while few of those that can't are waiting.
//
// Under overload it would else wait until it is late, only to be refused for the room that there isn't. Refused at
// once, its caller can go elsewhere or come back when the queue is shorter.
func (p *Pool) prospect(now time.Time, work *Work) (time.Duration, bool) {
	if work.Target == 0 {
		return 0, true
	}

	rank, own := baseRank(work), p.groupOf(work)
	ahead, waiting := 0, 0

	for _, q := range p.queue {
		if p.divided && p.groupOf(&q.work) != own {
			continue
		}

		waiting++

		if q.place <= rank && !q.late(now) {
			ahead++
		}
	}

	rate, known := p.serviceRate(now, own)
	if !known {
		return 0, true
	}

	inTime := lateWait * work.Target.Seconds() * rate
	if float64(ahead) <= inTime || float64(waiting) <= patience(work).Seconds()*rate {
		return 0, true
	}

	return time.Duration(float64(waiting) / max(rate, 1) * float64(time.Second)), false
}

// patience is how long the request may wait: as long as it can meet its target, or else for a small part of its time. One
// that waits for longer is hardly ever served and learns late that it won't be; refused early, its caller may come
// back in time.
func patience(work *Work) time.Duration {
	if work.Target == 0 {
		return work.Limit
	}

	return time.Duration(max(lateWait*float64(work.Target), patiencePart*float64(work.Limit)))
}

// serviceRate is the number of requests that can get room in a second: what the pool grants, or what its running requests
// amount to if that is more, since little is granted while little is asked for. It isn't known before any has ended.
func (p *Pool) serviceRate(now time.Time, own group) (float64, bool) {
	rate, known := 0.0, false

	for g := range groupCount {
		if p.divided && g != own {
			continue
		}

		d := &p.demands[g]
		known = known || d.residence > 0
		rate += max(p.groupRate(now, g), float64(d.running)/max(d.residence, leastResidence))
	}

	return rate, known
}

// mostLate is the number of late requests that may wait while so many requests get room in a second.
func (p *Pool) mostLate(rate float64) int {
	return int(lateQueue*rate) + len(p.servers)
}

// mayEver says whether any server may get the request once it has room.
func (p *Pool) mayEver(now time.Time, work *Work) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.usable(now) && !slices.Contains(work.Excluded, s.ID)
	})
}

// outranked says whether a request that waits goes before the work.
func (p *Pool) outranked(work *Work) bool {
	own := p.groupOf(work)

	return slices.ContainsFunc(p.queue, func(q *queued) bool {
		return q.place <= baseRank(work) && (!p.divided || p.groupOf(&q.work) == own)
	})
}

// Next returns the waiting requests for which there is room now, and those that are refused.
func (p *Pool) Next(now time.Time) []Grant {
	p.mu.Lock()
	defer p.mu.Unlock()

	if len(p.queue) == 0 {
		return nil
	}

	p.expire(now)
	p.divide(now)

	// Most calls find no room; sorting the queue each time would take up the holder's processor.
	if len(p.open(now)) == 0 && now.Sub(p.sortedAt) < sortInterval {
		return nil
	}

	p.sort(now)
	grants := p.shed(now)

	// declined are the requests that wait for a better server than those that have room.
	declined := make(map[*queued]bool)

	for len(declined) < mostDeclined {
		q, ok := p.nextMatch(now, declined)
		if !ok {
			return grants
		}

		choice, ok := p.choose(now, q.work)
		if !ok {
			declined[q] = true

			continue
		}

		p.unqueue(q.work.ID)
		grants = append(grants, Grant{ID: q.work.ID, Owner: q.owner, Choice: choice})
	}

	return grants
}

// sort puts the queue in order of rank.
func (p *Pool) sort(now time.Time) {
	p.sortedAt = now

	for _, q := range p.queue {
		q.place = q.rank(now)
	}

	slices.SortStableFunc(p.queue, func(a, b *queued) int { return cmp.Compare(a.place, b.place) })
}

// open returns the servers that could take one more small request.
func (p *Pool) open(now time.Time) []*server {
	var open []*server

	for _, s := range p.servers {
		if p.takes(now, s, &Work{}) {
			open = append(open, s)
		}
	}

	return open
}

// shed drops the requests that have no prospect: those whose time is over, and the oldest of those that are
// late, as far as they are more than will be served soon. They learn it at once, so that they can come back.
func (p *Pool) shed(now time.Time) []Grant {
	late := 0

	for _, q := range p.queue {
		if q.late(now) {
			late++
		}
	}

	excess := late - p.mostLate(p.grantRate(now))

	var refused []Grant

	// The queue is in order of rank: of those that are late the oldest come first.
	p.queue = slices.DeleteFunc(p.queue, func(q *queued) bool {
		hopeless := now.After(q.until)

		if !hopeless && excess > 0 && q.late(now) {
			excess--

			hopeless = true
		}

		if hopeless {
			delete(p.queuedIDs, q.work.ID)
			refused = append(refused, Grant{ID: q.work.ID, Owner: q.owner, Refused: true})
		}

		return hopeless
	})

	return refused
}

// grantRate is the number of requests that got an upstream in a second, as of late.
func (p *Pool) grantRate(now time.Time) float64 {
	return p.groupRate(now, interactive) + p.groupRate(now, batch)
}

// groupRate is the same for the requests of one group.
func (p *Pool) groupRate(now time.Time, g group) float64 {
	d := &p.demands[g]

	return decayed(d.granted, now.Sub(d.grantedAt), grantTime) * math.Ln2 / grantTime.Seconds()
}

// nextMatch returns the request that is to get the room that there is: of those with the priority of the
// first one that fits and about its waiting time, the one of whose prompt the servers with room need to read least.
//
// Under overload the room is always at one server only. Taken strictly in turn, a request would hardly
// ever meet the server that has read its session before.
func (p *Pool) nextMatch(now time.Time, declined map[*queued]bool) (*queued, bool) {
	var (
		head, best *queued
		// least is what the best request's prompt takes, seen the number of requests that had room.
		least = math.Inf(1)
		seen  = 0
	)

	open := p.open(now)
	if len(open) == 0 {
		return nil, false
	}

	for _, q := range p.queue {
		if declined[q] {
			continue
		}

		// Only requests of the first one's priority compete with it.
		if head != nil && q.work.Priority != head.work.Priority {
			continue
		}

		if seen == matchWindow || head != nil && q.place > head.place+matchRank {
			break
		}

		q.work.Limit = q.deadline.Sub(now)
		q.work.Overdue = now.Sub(q.since) > time.Duration(float64(q.until.Sub(q.since))*overduePart)

		reading, ok := p.leastReading(now, open, &q.work)
		if !ok {
			continue
		}

		if head == nil {
			head = q
		}

		seen++

		if reading < least {
			best, least = q, reading
		}
	}

	return best, best != nil
}

// leastReading is the shortest prompt work of the request at any of the servers that take it.
func (p *Pool) leastReading(now time.Time, open []*server, work *Work) (float64, bool) {
	least, found := math.Inf(1), false

	for _, s := range open {
		if p.admits(s, work) && p.takes(now, s, work) {
			least, found = min(least, s.reading(work)), true
		}
	}

	return least, found
}

// Waiting is the number of requests in the queue.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.queue)
}

// unqueue drops a request from the queue; p.mu is held.
func (p *Pool) unqueue(id string) {
	if !p.queuedIDs[id] {
		return
	}

	delete(p.queuedIDs, id)
	p.queue = slices.DeleteFunc(p.queue, func(q *queued) bool { return q.work.ID == id })
}
