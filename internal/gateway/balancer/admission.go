package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// lateQueue is the number of late requests that may go on waiting, in seconds of what the pool grants.
	// They are worth serving once the burst is over; more of them would only wait for their refusal.
	lateQueue = 0.7
	// patiencePart is the part of its time that a request which can't meet its target may wait.
	patiencePart = 0.15
	// grantTime is the time constant of the measured grants.
	grantTime = 2 * time.Second
)

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
