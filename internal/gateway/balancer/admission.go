package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lateQueueSeconds limits the late requests that stay queued, in seconds of the grant rate. They are worth
	// serving after a burst; any more would only wait to be refused.
	lateQueueSeconds = 0.7
	// patienceFraction is the fraction of its time limit that a request may wait if it can't meet its target.
	patienceFraction = 0.15
)

// admit reports whether a request that has to wait may join the queue. The choice has no upstream; it says why the request
// waits or is refused, and how long the queue takes to drain. A request may join if it can get a server early enough for
// its target, or if the queue is short enough for its patience.
//
// Under overload it would otherwise wait until it is late and then be refused. After an immediate refusal, the
// caller can go elsewhere or come back when the queue is shorter.
func (p *Pool) admit(now time.Time, joining *queued) (Choice, bool) {
	if p.options.WorkAdmission {
		if joining.share == nil {
			p.prepare(now, joining)
		}

		return p.admitByWork(now, joining)
	}

	request := &joining.request
	rank, waiting := baseRank(request), len(p.queue)
	ahead, aheadInTime := 0, 0

	for _, q := range p.queue {
		if q.sortRank > rank {
			continue
		}

		ahead++

		if !q.late(now) {
			aheadInTime++
		}
	}

	delay := Choice{LimitWaitMS: p.limitWaitMS(now, request, waiting)}
	if p.limitWaitMS(now, request, ahead) > milliseconds(patience(request)) {
		return delay, false
	}

	if request.Target == 0 {
		return delay, true
	}

	rate, known := p.demand.serviceRate(now)
	if !known {
		return delay, true
	}

	servedInTime := lateAfterFraction * request.Target.Seconds() * rate
	if float64(aheadInTime) <= servedInTime || float64(waiting) <= patience(request).Seconds()*rate {
		return delay, true
	}

	delay.ExpectedWaitMS = milliseconds(time.Duration(float64(waiting) / max(rate, 1) * float64(time.Second)))

	return delay, false
}

// patience returns how long the request may wait: as long as it can meet its target, or else for a small fraction
// of its time limit. A request that waits longer is rarely served. Refused early, its caller may come back in time.
func patience(request *Request) time.Duration {
	if request.Target == 0 {
		return request.TimeLimit
	}

	return time.Duration(max(lateAfterFraction*float64(request.Target), patienceFraction*float64(request.TimeLimit)))
}

// maxLate returns the number of late requests that may stay queued at the given grant rate, in requests a second.
func (p *Pool) maxLate(rate float64) int {
	return int(lateQueueSeconds*rate) + len(p.servers)
}

// hasEligibleServer reports whether any server could take the request once it has room.
func (p *Pool) hasEligibleServer(now time.Time, request *Request) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.usable(now, request) && !slices.Contains(request.Excluded, s.ID)
	})
}

// restWait returns the time until the first upstream that could take the request ends its pause, or 0 if none pauses.
func (p *Pool) restWait(now time.Time, request *Request) time.Duration {
	var least time.Duration

	for _, s := range p.servers {
		wait := s.restsUntil.Sub(now)
		if wait <= 0 || s.Draining || s.leaving || !request.accepts(s.SoftwareVersion) || slices.Contains(request.Excluded, s.ID) {
			continue
		}

		if least == 0 || wait < least {
			least = wait
		}
	}

	return least
}

// outranked reports whether a queued request goes before this one. A request that can't go to the servers which are open to
// this one doesn't, as its node doesn't reach them or their software has another version.
func (p *Pool) outranked(now time.Time, joining *queued) bool {
	if len(p.queue) == 0 {
		return false
	}

	request := &joining.request
	goesFirst := func(q *queued) bool { return q.sortRank <= baseRank(request) }

	if p.options.WorkAdmission {
		p.prepare(now, joining)

		goesFirst = func(q *queued) bool { return compareWork(q, joining) <= 0 }

		// The queue is in order.
		if !goesFirst(p.queue[0]) {
			return false
		}
	}

	open := p.openServers(now, request)
	isBlocked := func(q *queued) bool {
		return len(open) > 0 && !slices.ContainsFunc(open, func(s *server) bool {
			return q.request.accepts(s.SoftwareVersion) && (q.request.Node == request.Node || !s.isBlocked(now, &q.request))
		})
	}

	return slices.ContainsFunc(p.queue, func(q *queued) bool { return goesFirst(q) && !isBlocked(q) })
}

// shed removes requests that won't be served in time: those whose waiting time is over, and the surplus of late
// ones, least urgent first and oldest first among these. They are refused at once, so that callers can come back.
func (p *Pool) shed(now time.Time) []Grant {
	if p.options.WorkAdmission {
		return p.shedByWork(now)
	}

	surplus := p.surplus(now)

	var refused []Grant

	p.queue = slices.DeleteFunc(p.queue, func(q *queued) bool {
		if !surplus[q] && !now.After(q.refuseAt) {
			return false
		}

		delete(p.queuedIDs, q.request.ID)
		wait := p.limitWaitMS(now, &q.request, len(p.queue)-1)
		refused = append(refused, Grant{ID: q.request.ID, Owner: q.owner, Refused: true, Choice: Choice{LimitWaitMS: wait}})

		return true
	})

	return refused
}

// surplus returns the late requests in excess of those that will be served soon.
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

	// By rank, an urgent request would be dropped before all others, as the late requests are dropped from the front.
	slices.SortStableFunc(late, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(b.request.Priority, a.request.Priority), a.queuedAt.Compare(b.queuedAt))
	})

	surplus := make(map[*queued]bool, excess)
	for _, q := range late[:excess] {
		surplus[q] = true
	}

	return surplus
}
