package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lateQueueSeconds is the number of late requests that may go on waiting, in seconds of what the pool grants.
	// They are worth serving once the burst is over; more of them would only wait for their refusal.
	lateQueueSeconds = 0.7
	// patienceFraction is the part of its time that a request which can't meet its target may wait.
	patienceFraction = 0.15
)

// admit says whether a request that has to wait may join the queue, and else how long the queue takes to drain. It
// may while it can get room early enough for its target, or while few of those that can't are waiting.
//
// Under overload it would else wait until it is late, only to be refused for the room that there isn't. Refused at
// once, its caller can go elsewhere or come back when the queue is shorter.
func (p *Pool) admit(now time.Time, request *Request) (time.Duration, bool) {
	if request.Target == 0 {
		return 0, true
	}

	rank, waiting := baseRank(request), len(p.queue)
	ahead := 0

	for _, q := range p.queue {
		if q.sortRank <= rank && !q.late(now) {
			ahead++
		}
	}

	rate, known := p.demand.serviceRate(now)
	if !known {
		return 0, true
	}

	inTime := lateAfterFraction * request.Target.Seconds() * rate
	if float64(ahead) <= inTime || float64(waiting) <= patience(request).Seconds()*rate {
		return 0, true
	}

	return time.Duration(float64(waiting) / max(rate, 1) * float64(time.Second)), false
}

// patience is how long the request may wait: as long as it can meet its target, or else for a small part of its time. One
// that waits for longer is hardly ever served and learns late that it won't be; refused early, its caller may come
// back in time.
func patience(request *Request) time.Duration {
	if request.Target == 0 {
		return request.TimeLimit
	}

	return time.Duration(max(lateAfterFraction*float64(request.Target), patienceFraction*float64(request.TimeLimit)))
}

// maxLate is the number of late requests that may wait while so many requests get room in a second.
func (p *Pool) maxLate(rate float64) int {
	return int(lateQueueSeconds*rate) + len(p.servers)
}

// hasEligibleServer says whether any server may get the request once it has room.
func (p *Pool) hasEligibleServer(now time.Time, request *Request) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.usable(now) && !slices.Contains(request.Excluded, s.ID)
	})
}

// outranked says whether a request that waits goes before the work.
func (p *Pool) outranked(request *Request) bool {
	return slices.ContainsFunc(p.queue, func(q *queued) bool { return q.sortRank <= baseRank(request) })
}

// shed drops the requests that have no prospect: those whose time is over, and of those that are late as many as are
// more than will be served soon, the least urgent first and of these the oldest. They learn it at once, so that they can come back.
func (p *Pool) shed(now time.Time) []Grant {
	surplus := p.surplus(now)

	var refused []Grant

	p.queue = slices.DeleteFunc(p.queue, func(q *queued) bool {
		if !surplus[q] && !now.After(q.until) {
			return false
		}

		delete(p.queuedIDs, q.request.ID)
		refused = append(refused, Grant{ID: q.request.ID, Owner: q.owner, Refused: true})

		return true
	})

	return refused
}

// surplus returns the late requests that are more than will be served soon.
func (p *Pool) surplus(now time.Time) map[*queued]bool {
	var late []*queued

	for _, q := range p.queue {
		if q.late(now) {
			late = append(late, q)
		}
	}

	excess := len(late) - p.maxLate(p.demand.grantRate(now))
	if excess <= 0 {
		return nil
	}

	// In order of rank an urgent request would be dropped before all others, since it is first among the late ones too.
	slices.SortStableFunc(late, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(b.request.Priority, a.request.Priority), a.since.Compare(b.since))
	})

	surplus := make(map[*queued]bool, excess)
	for _, q := range late[:excess] {
		surplus[q] = true
	}

	return surplus
}
