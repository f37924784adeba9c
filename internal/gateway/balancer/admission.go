package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lateQueue is the number of late requests that may go on waiting, in seconds of what the pool grants.
	// They are worth serving once the burst is over; more of them would only wait for their refusal.
	lateQueue = 0.7
	// patiencePart is the part of its time that a request which can't meet its target may wait.
	patiencePart = 0.15
)

// prospect says whether a request that has to wait may join the queue, and else how long the queue takes to drain. It
// may while it can get room early enough for its target, or while few of those that can't are waiting.
//
// Under overload it would else wait until it is late, only to be refused for the room that there isn't. Refused at
// once, its caller can go elsewhere or come back when the queue is shorter.
func (p *Pool) prospect(now time.Time, work *Request) (time.Duration, bool) {
	if work.Target == 0 {
		return 0, true
	}

	rank, waiting := baseRank(work), len(p.queue)
	ahead := 0

	for _, q := range p.queue {
		if q.place <= rank && !q.late(now) {
			ahead++
		}
	}

	rate, known := p.demand.serviceRate(now)
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
func patience(work *Request) time.Duration {
	if work.Target == 0 {
		return work.TimeLimit
	}

	return time.Duration(max(lateWait*float64(work.Target), patiencePart*float64(work.TimeLimit)))
}

// mostLate is the number of late requests that may wait while so many requests get room in a second.
func (p *Pool) mostLate(rate float64) int {
	return int(lateQueue*rate) + len(p.servers)
}

// mayEver says whether any server may get the request once it has room.
func (p *Pool) mayEver(now time.Time, work *Request) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.usable(now) && !slices.Contains(work.Excluded, s.ID)
	})
}

// outranked says whether a request that waits goes before the work.
func (p *Pool) outranked(work *Request) bool {
	return slices.ContainsFunc(p.queue, func(q *queued) bool { return q.place <= baseRank(work) })
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

		delete(p.queuedIDs, q.work.ID)
		refused = append(refused, Grant{ID: q.work.ID, Owner: q.owner, Refused: true})

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

	excess := len(late) - p.mostLate(p.demand.grantRate(now))
	if excess <= 0 {
		return nil
	}

	// In order of rank an urgent request would be dropped before all others, since it is first among the late ones too.
	slices.SortStableFunc(late, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(b.work.Priority, a.work.Priority), a.since.Compare(b.since))
	})

	surplus := make(map[*queued]bool, excess)
	for _, q := range late[:excess] {
		surplus[q] = true
	}

	return surplus
}
