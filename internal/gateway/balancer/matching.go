package balancer

import (
	"math"
	"time"
)

const (
	// maxDeclined bounds the work of one look for room: a choice looks at all servers.
	maxDeclined = 2
	// acceptAnyFraction is the part of its patience after which a request doesn't wait for the right server any more.
	acceptAnyFraction = 0.5
	// matchWindow is the number of waiting requests among which room is given, and matchRank how much further
	// back in rank than the first of them one may be: 450 ms of waiting, so that a request whose session no
	// engine knows gets room before its patience is over.
	matchWindow    = 64
	matchRankRange = 0.3
	// uncachedWeight is what a token that must still be read counts against one that is known. Shorter prompts let more
	// requests be served; by length alone 0.36 of the longest tenth were, and 0.78 of all.
	uncachedWeight = 0.35
)

// nextMatch returns the request that is to get the room that there is: of those with the priority of the
// first one that fits and about its waiting time, the one that fits the servers with room best.
//
// Under overload the room is always at one server only. Taken strictly in turn, a request would hardly
// ever meet the server that has read its session before. By what must still be read
// alone the longest prompts would never get room.
func (p *Pool) nextMatch(now time.Time, declined map[*queued]bool) (*queued, bool) {
	var (
		head, best *queued
		bestFit    = math.Inf(-1)
		// seen is the number of requests that had room.
		seen = 0
	)

	open := p.openServers(now)
	if len(open) == 0 {
		return nil, false
	}

	for _, q := range p.queue {
		if declined[q] {
			continue
		}

		// Only requests of the first one's priority compete with it.
		if head != nil && q.request.Priority != head.request.Priority {
			continue
		}

		if seen == matchWindow || head != nil && q.sortRank > head.sortRank+matchRankRange {
			break
		}

		q.request.TimeLimit = q.deadline.Sub(now)
		q.request.Waited = now.Sub(q.since)
		q.request.AcceptAny = q.request.Waited > time.Duration(float64(q.until.Sub(q.since))*acceptAnyFraction)

		fit, ok := p.bestFit(now, open, &q.request)
		if !ok {
			continue
		}

		if head == nil {
			head = q
		}

		seen++

		if fit > bestFit {
			best, bestFit = q, fit
		}
	}

	return best, best != nil
}

// bestFit tells how well the request goes with the best of the servers that take it, in prompt tokens: what it has
// read of the prompt, less a part of what it must still read.
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

// openServers returns the servers that could take one more small request.
func (p *Pool) openServers(now time.Time) []*server {
	var open []*server

	for _, s := range p.servers {
		if p.accepts(now, s, &Request{}) {
			open = append(open, s)
		}
	}

	return open
}
