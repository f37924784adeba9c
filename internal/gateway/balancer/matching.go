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
	// back in rank than the first of them one may be: two thirds of agingTime.
	matchWindow = 64
	matchRank   = 0.67
)

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
