package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxWaitFraction and minWaitFraction limit the time that a request may wait for a server, as fractions of its target.
	// The most leaves room for variation of the server's time, the least lets a prompt wait whose own time takes all of its
	// target.
	maxWaitFraction = 0.75
	minWaitFraction = 0.1
	// typicalBacklogFraction is the part of the backlog limit that a request finds at the server that it gets.
	typicalBacklogFraction = 0.5
	// plainRounds is the number of calls at a plain server that a call waits for, its own included.
	plainRounds = 2.0
	// largeWorkRatio is the ratio to the mean work from which a request's work makes its admission harder, minLargeFraction the
	// least part of its allowed wait up to which a request is admitted. Under an overload of 2 the largest tenth of the
	// prompts is then served three quarters as often as all.
	largeWorkRatio   = 2.0
	minLargeFraction = 0.3
	// workDelayFraction is the part of its target by which a request with the work of workDelayTokens goes later.
	workDelayFraction = 0.1
	workDelayTokens   = 5000.0
	// shedMargin is by how much of its allowed wait a queued request may be expected to exceed it before it is refused. The
	// estimate of the wait varies by about this much.
	shedMargin = 0.5
	// windowFraction is the part of its allowed wait after which no other request passes the first one of the queue, for
	// prompt parts that a server has cached.
	windowFraction = 0.6
	// maxBlocked limits the requests without room that keep less urgent ones from the servers that they wait for.
	maxBlocked = 4
	// maxBusyTries limits the requests for which servers with a full backlog are examined at once. Requests further back have
	// waited less, so that they can wait for a server without.
	maxBusyTries = 8
	// warmUp is the time in which a pool that knows nothing of its engines' load gives them more and more requests, and
	// warmUpFraction the part of their slots with which it begins. Prompts in half of the slots keep an engine busy.
	warmUp         = 500 * time.Millisecond
	warmUpFraction = 0.5
)

// prepare fills in what work admission needs to know of a request that has to wait.
func (p *Pool) prepare(now time.Time, q *queued) {
	request := &q.request
	q.tier = p.admission.tier(request.Priority)
	q.tier.target = request.Target
	q.share = q.tier.share(request)
	uncached, server := p.leastUncached(now, request)

	if server != nil {
		q.work = p.workAt(server, request, uncached)
	}

	allowed := allowedWait(request, p.responseMS(request, uncached))
	q.latestStart = now.Add(allowed)
	mean := p.demand.work.meanWork
	q.isLarge = mean > 0 && q.work > largeWorkRatio*mean
	q.isFavoured = q.isLarge && q.tier.starvesLarge(now)
	// Room goes to more requests if those with little work go first.
	q.orderAt = q.latestStart.Add(time.Duration(workDelayFraction * q.work / workDelayTokens * float64(request.Target)))

	if q.isFavoured {
		q.orderAt = now
	}

	q.refuseAt = now.Add(max(allowed, patience(request)))

	ahead := 0.0
	if !request.hasWaited() {
		ahead = q.share.promisedUntil(now, q.latestStart)
	}

	for _, other := range p.queue {
		if other.share == q.share && !other.isLate && (other.request.hasWaited() && !request.hasWaited() || !other.orderAt.After(q.orderAt)) {
			ahead += other.work
		}
	}

	q.level = q.tier.level(q.share, ahead)
}

// allowedWait returns how long a request may wait for a server that then takes the given time.
func allowedWait(request *Request, responseMS float64) time.Duration {
	if request.Target == 0 {
		return request.TimeLimit
	}

	target := float64(request.Target)

	return time.Duration(min(max(target-responseMS*float64(time.Millisecond), minWaitFraction*target), maxWaitFraction*target))
}

// responseMS returns the time to the first event at a server with a typical backlog.
func (p *Pool) responseMS(request *Request, uncached float64) float64 {
	estimates := p.model.Estimates()
	if p.engine.CacheTokens == 0 {
		return networkMS + p.admission.slowdown*plainRounds*estimates.PlainCallMS
	}

	tokens := uncached + typicalBacklogFraction*maxBacklogTokens(request.Priority)

	return networkMS + p.admission.slowdown*(tokens/estimates.PrefillTokensPerMS+p.eventGapMS())
}

// leastUncached returns the fewest prompt tokens that a server which may get the request would have to read.
func (p *Pool) leastUncached(now time.Time, request *Request) (float64, *server) {
	var best *server

	least := math.Inf(1)

	for _, s := range p.servers {
		if !s.usable(now, request) {
			continue
		}

		if tokens := s.prefillTokens(request); tokens < least {
			best, least = s, tokens
		}
	}

	if best == nil {
		return float64(request.PromptTokens), nil
	}

	return least, best
}

// compareWork orders queued requests: by priority, those that can be in time, by organisations' shares, those whose caller
// has waited before, and by the time at which they must get a server.
func compareWork(a, b *queued) int {
	return cmp.Or(
		cmp.Compare(a.request.Priority, b.request.Priority),
		compareTrue(b.isLate, a.isLate),
		cmp.Compare(a.level, b.level),
		compareTrue(a.request.hasWaited(), b.request.hasWaited()),
		a.orderAt.Compare(b.orderAt),
	)
}

// compareTrue orders true before false.
func compareTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// sameRank reports whether only latency and cached prompt parts decide which of two requests goes first.
func sameRank(a, b *queued) bool {
	return a.request.Priority == b.request.Priority && a.isLate == b.isLate && (a.level == b.level || a.share == b.share) &&
		a.request.hasWaited() == b.request.hasWaited()
}

// insertByWork adds a request to the queue at its place.
func (p *Pool) insertByWork(q *queued) {
	i, _ := slices.BinarySearchFunc(p.queue, q, func(a, b *queued) int { return cmp.Or(compareWork(a, b), -1) })
	p.queue = slices.Insert(p.queue, i, q)
	q.tier.enqueue(q.share, q.work)
	p.admission.counters.Queued++
}

// sortByWork brings the queue into order again.
func (p *Pool) sortByWork(now time.Time) {
	p.admission.counters.Organisations = 0

	for priority, t := range p.admission.tiers {
		p.admission.counters.Organisations += t.refresh(now, p.classRate(now, priority))
	}

	for _, q := range p.queue {
		q.isLate = now.After(q.latestStart)
		q.level = 0
	}

	// Within an organisation, its share goes to those that came back, and then to the most urgent.
	slices.SortStableFunc(p.queue, compareWork)

	for _, q := range p.queue {
		q.level = q.tier.level(q.share, q.share.ahead)
		q.share.ahead += q.work
	}

	slices.SortStableFunc(p.queue, compareWork)
}

// admitByWork reports whether a request may join the queue: whether the work that goes before it leaves it a server in time.
func (p *Pool) admitByWork(now time.Time, q *queued) (Choice, bool) {
	ahead, requests := 0.0, 0

	for _, other := range p.queue {
		if compareWork(other, q) <= 0 {
			ahead += other.work
			requests++
		}
	}

	delay := Choice{LimitWaitMS: p.limitWaitMS(now, &q.request, len(p.queue))}
	if p.limitWaitMS(now, &q.request, requests) > milliseconds(patience(&q.request)) {
		return delay, false
	}

	rate := p.classRate(now, q.request.Priority)
	if !q.request.hasWaited() {
		ahead += q.share.promisedUntil(now, q.latestStart)
	}

	wait := time.Duration(ahead / rate * float64(time.Second))
	admitted := float64(wait) <= float64(q.latestStart.Sub(now))*p.admissionFraction(q)
	q.tier.recordAdmission(now, q.isLarge, admitted)

	if admitted {
		return delay, true
	}

	delay.ExpectedWaitMS = milliseconds(wait)
	p.refuse(now, q, &delay)
	p.admission.counters.Refused++

	return delay, false
}

// admissionFraction returns the part of its allowed wait up to which the request is admitted. Requests with much work are refused
// at a shorter queue, as each takes the room of several others, but not if they were refused before.
func (p *Pool) admissionFraction(q *queued) float64 {
	if !q.isLarge || q.isFavoured || q.request.hasWaited() {
		return 1
	}

	return max(largeWorkRatio*p.demand.work.meanWork/q.work, minLargeFraction)
}

// refuse tells a request when to come back.
func (p *Pool) refuse(now time.Time, q *queued, choice *Choice) {
	if q.request.Returned {
		p.admission.counters.RefusedAgain++
	}

	if choice.LimitWaitMS > 0 {
		return
	}

	request := q.request
	request.TimeLimit = q.deadline.Sub(now)
	wait, _ := p.admission.promiseRoom(now, &request, q.work, p.classRate(now, request.Priority))
	choice.ReturnMS = milliseconds(wait)
}

// shedByWork removes the requests that won't be served in time, so that their callers can come back.
func (p *Pool) shedByWork(now time.Time) []Grant {
	surplus := p.surplus(now)

	var refused []*queued

	p.queue = slices.DeleteFunc(p.queue, func(q *queued) bool {
		if !surplus[q] && !now.After(q.refuseAt) {
			return false
		}

		refused = append(refused, q)

		return true
	})

	refused = append(refused, p.shedHopeless(now)...)
	grants := make([]Grant, 0, len(refused))

	for _, q := range refused {
		delete(p.queuedIDs, q.request.ID)
		q.share.dequeue(q.work)
		q.tier.recordShed(q.isLarge)

		choice := Choice{LimitWaitMS: p.limitWaitMS(now, &q.request, len(p.queue))}
		p.refuse(now, q, &choice)
		p.admission.counters.Shed++

		grants = append(grants, Grant{ID: q.request.ID, Owner: q.owner, Refused: true, Choice: choice})
	}

	return grants
}

// shedHopeless removes the requests that are expected to get a server much too late.
func (p *Pool) shedHopeless(now time.Time) []*queued {
	var refused []*queued

	ahead, rates := 0.0, make(map[int]float64)

	p.queue = slices.DeleteFunc(p.queue, func(q *queued) bool {
		rate, ok := rates[q.request.Priority]
		if !ok {
			rate = p.classRate(now, q.request.Priority)
			rates[q.request.Priority] = rate
		}

		left := q.latestStart.Sub(now).Seconds() + shedMargin*q.latestStart.Sub(q.queuedAt).Seconds()
		if q.isLate || q.request.Target == 0 || ahead/rate <= left {
			ahead += q.work

			return false
		}

		refused = append(refused, q)

		return true
	})

	return refused
}

// nextMatchByWork returns the queued request to which the free room goes: of those that have the rank of the first one that
// fits, the one that best fits the servers with room, unless the first one has waited too long for that.
func (p *Pool) nextMatchByWork(now time.Time, declined map[*queued]bool) (*queued, bool) {
	var (
		head, best *queued
		bestFit    = math.Inf(-1)
		fitting    = 0
		room       candidates
		priority   = math.MinInt
		// blocked are the first requests without room. Less urgent ones leave them the servers for which they wait.
		blocked []*queued
	)

	mostUrgent := p.mostUrgentPriority()

	for _, q := range p.queue {
		if fitting == matchWindow || head != nil && !sameRank(head, q) {
			break
		}

		if q.request.Priority != priority {
			priority = q.request.Priority
			room = p.candidates(now, priority, priority == mostUrgent, blocked)
		}

		if room.isEmpty() || declined[q] {
			continue
		}

		q.updateRequest(now, mostUrgent)

		open := room.forRequest(&q.request)
		if len(open) == 0 {
			continue
		}

		fit, ok := p.bestFit(now, open, &q.request)
		if !ok {
			blocked = append(blocked, q)[:min(len(blocked)+1, maxBlocked)]

			continue
		}

		if head == nil {
			head = q

			if q.hasUsed(windowFraction) {
				return q, true
			}
		}

		fitting++

		if fit > bestFit {
			best, bestFit = q, fit
		}
	}

	if best != nil && best != head {
		p.admission.counters.Reordered++
	}

	return best, best != nil
}

// candidates are the servers that could accept a request of one priority.
type candidates struct {
	// free have a prompt backlog below the limit, any also those above it.
	free, any []*server
	// tries is the number of further requests for which the latter are examined.
	tries int
}

// candidates returns the servers that could accept a request of a priority, without those for which more urgent ones wait.
func (p *Pool) candidates(now time.Time, priority int, mostUrgent bool, waiting []*queued) candidates {
	found := candidates{tries: maxBusyTries}

	for _, s := range p.admission.open {
		request := Request{Priority: priority}
		if !p.hasRoom(now, s, &request) || isAwaited(now, s, waiting) {
			continue
		}

		if !p.isBusy(now, s, &request) {
			found.free = append(found.free, s)
		}

		if mostUrgent {
			found.any = append(found.any, s)
		}
	}

	return found
}

// findOpen looks for the servers that have room for any request at the begin of GrantQueued, and reports whether one of them
// has no full backlog.
func (p *Pool) findOpen(now time.Time) bool {
	if !p.options.WorkAdmission {
		return slices.ContainsFunc(p.servers, func(s *server) bool { return p.accepts(now, s, &Request{}) })
	}

	p.admission.open = p.admission.open[:0]
	free := false

	for _, s := range p.servers {
		if p.hasRoom(now, s, &Request{}) {
			p.admission.open = append(p.admission.open, s)
			free = free || !p.isBusy(now, s, &Request{})
		}
	}

	return free
}

func (c *candidates) isEmpty() bool {
	return len(c.free) == 0 && (len(c.any) == 0 || c.tries == 0)
}

// forRequest returns the servers that could accept the request.
func (c *candidates) forRequest(request *Request) []*server {
	if !request.AcceptAny || c.tries == 0 {
		return c.free
	}

	c.tries--

	return c.any
}

// updateRequest updates what the choice of a server depends on.
func (q *queued) updateRequest(now time.Time, mostUrgent int) {
	q.request.TimeLimit = q.deadline.Sub(now)
	q.request.Waited = now.Sub(q.queuedAt)
	q.request.AcceptAny = q.request.Priority == mostUrgent && q.hasUsed(acceptAnyFraction)
}

// hasUsed reports whether the request has waited for a fraction of the time that it may wait.
func (q *queued) hasUsed(fraction float64) bool {
	return float64(q.request.Waited) > fraction*float64(q.latestStart.Sub(q.queuedAt))
}

// isAwaited reports whether one of the requests waits for room at the server.
func isAwaited(now time.Time, s *server, waiting []*queued) bool {
	return slices.ContainsFunc(waiting, func(q *queued) bool {
		return s.usable(now, &q.request) && !slices.Contains(q.request.Excluded, s.ID)
	})
}

// isWarmingUp reports whether the request must leave the server free because the pool began shortly before. After a loss of all
// nodes, all callers come back at once and the servers' speeds are unknown.
func (p *Pool) isWarmingUp(now time.Time, s *server, request *Request) bool {
	if !p.options.WorkAdmission || request.Priority <= 0 || s.engine.CacheTokens == 0 {
		return false
	}

	since := now.Sub(p.admission.startedAt)
	if since >= warmUp {
		return false
	}

	fraction := warmUpFraction + (1-warmUpFraction)*since.Seconds()/warmUp.Seconds()

	return float64(len(s.running)) >= math.Ceil(fraction*float64(s.Slots))
}

// beginAdmission notes that a request asks for a server.
func (p *Pool) beginAdmission(now time.Time, request *Request) {
	if p.admission.startedAt.IsZero() {
		p.admission.startedAt = now
		// A pool that was told of running requests knows the load.
		if len(p.requests) > 0 {
			p.admission.startedAt = now.Add(-warmUp)
		}

		// Until urgent requests have come, or not, slots are kept for them.
		p.urgentAt = now
	}

	request.Returned = p.admission.takePromise(now, request)
}
