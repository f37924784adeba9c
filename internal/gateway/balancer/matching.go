package balancer

import (
	"math"
	"time"
)

const (
	// maxDeclined limits the work of one GrantQueued call, as each choice examines all servers.
	maxDeclined = 2
	// acceptAnyFraction is the fraction of its patience after which a request no longer waits for the best server, if no more
	// urgent one waits.
	acceptAnyFraction = 0.5
	// matchWindow is the number of queued requests that compete for free room. matchRankRange is how much higher
	// than the first one's rank theirs may be: equivalent to 450 ms of waiting, so that a request whose session
	// no engine has cached gets a server before its patience ends.
	matchWindow    = 64
	matchRankRange = 0.3
	// uncachedWeight is the weight of an uncached token relative to a cached one. Serving shorter prompts first
	// serves more requests, but ordering by length alone served 0.36 of the longest tenth and 0.78 of all.
	uncachedWeight = 0.35
)

// nextMatch returns the queued request to which the free room goes. Among those that have the priority of the first
// one that fits and have waited about as long, it is the one that best fits the servers with room.
//
// Under overload only one server has room at a time. In strict queue order, a request would rarely
// get the server that has cached its session. Ordered by uncached tokens alone, the longest prompts
// would never be served.
func (p *Pool) nextMatch(now time.Time, declined map[*queued]bool) (*queued, bool) {
	if p.options.WorkAdmission {
		return p.nextMatchByWork(now, declined)
	}

	var (
		head, best *queued
		bestFit    = math.Inf(-1)
		// fitting is the number of requests that fit.
		fitting = 0
	)

	open := p.openServers(now, &Request{})
	if len(open) == 0 {
		return nil, false
	}

	mostUrgent := p.mostUrgentPriority()

	for _, q := range p.queue {
		if declined[q] {
			continue
		}

		// Only requests with the priority of the first one compete with it.
		if head != nil && q.request.Priority != head.request.Priority {
			continue
		}

		if fitting == matchWindow || head != nil && q.sortRank > head.sortRank+matchRankRange {
			break
		}

		q.request.TimeLimit = q.deadline.Sub(now)
		q.request.Waited = now.Sub(q.queuedAt)
		// Beyond the backlog limit, a less urgent request would hold up more urgent ones, which wait for the backlog to shrink.
		q.request.AcceptAny = q.request.Priority == mostUrgent &&
			q.request.Waited > time.Duration(float64(q.refuseAt.Sub(q.queuedAt))*acceptAnyFraction)

		fit, ok := p.bestFit(now, open, &q.request)
		if !ok {
			continue
		}

		if head == nil {
			head = q
		}

		fitting++

		if fit > bestFit {
			best, bestFit = q, fit
		}
	}

	return best, best != nil
}

// mostUrgentPriority returns the priority of the most urgent queued request.
func (p *Pool) mostUrgentPriority() int {
	priority := math.MaxInt
	for _, q := range p.queue {
		priority = min(priority, q.request.Priority)
	}

	return priority
}

// bestFit returns how well the request fits the best server that accepts it, in prompt tokens: the cached ones
// minus a fraction of the uncached ones.
func (p *Pool) bestFit(now time.Time, open []*server, request *Request) (float64, bool) {
	best, found := math.Inf(-1), false

	for _, s := range open {
		if p.accepts(now, s, request) {
			missing := float64(s.uncachedTokens(request))
			best, found = max(best, float64(request.PromptTokens)-missing-uncachedWeight*missing), true
		}
	}

	return best, found
}

// openServers returns the servers that could accept the request.
func (p *Pool) openServers(now time.Time, request *Request) []*server {
	var open []*server

	for _, s := range p.servers {
		if p.accepts(now, s, request) {
			open = append(open, s)
		}
	}

	return open
}
