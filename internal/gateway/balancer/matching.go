package balancer

import (
	"math"
	"time"
)

const (
	// mostDeclined bounds the work of one look for room: a choice looks at all servers.
	mostDeclined = 2
	// overduePart is the part of its patience after which a request doesn't wait for the right server any more.
	overduePart = 0.5
	// matchWindow is the number of waiting requests among which room is given, and matchRank how much further
	// back in rank than the first of them one may be: 450 ms of waiting, so that a request whose session no
	// engine knows gets room before its patience is over.
	matchWindow = 64
	matchRank   = 0.3
)

// nextMatch returns the request that is to get the room that there is: of those with the priority of the
// first one that fits and about its waiting time, the one of whose prompt the servers with room have read most.
//
// Under overload the room is always at one server only. Taken strictly in turn, a request would hardly
// ever meet the server that has read its session before. What must still be read is no measure: the
// longest prompts would never get room.
func (p *Pool) nextMatch(now time.Time, declined map[*queued]bool) (*queued, bool) {
	var (
		head, best *queued
		// most is what was read of the best request's prompt, seen the number of requests that had room.
		most = math.Inf(-1)
		seen = 0
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

		known, ok := p.mostKnown(now, open, &q.work)
		if !ok {
			continue
		}

		if head == nil {
			head = q
		}

		seen++

		if known > most {
			best, most = q, known
		}
	}

	return best, best != nil
}

// mostKnown is the largest number of prompt tokens that one of the servers that take the request has read.
func (p *Pool) mostKnown(now time.Time, open []*server, work *Work) (float64, bool) {
	most, found := math.Inf(-1), false

	for _, s := range open {
		if p.admits(s, work) && p.takes(now, s, work) {
			most, found = max(most, float64(work.PromptTokens-s.missingTokens(work))), true
		}
	}

	return most, found
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
