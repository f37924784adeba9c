package balancer

import "time"

const (
	// maxReturnFraction is the longest Retry-After as a fraction of the caller's remaining time. Callers wait for up to a
	// third of it; a longer time amounts to a final refusal.
	maxReturnFraction = 0.3
	// minReturn is the shortest time after which a refused request may come back. Room that is free earlier goes to
	// requests in the queue.
	minReturn = 100 * time.Millisecond
	// returnFraction is the part of an organisation's room that is kept for its requests that come back. The rest goes to
	// new ones, which have more of their time left.
	returnFraction = 0.3
	// earlySlack is how much earlier than told a request may come back: clocks of callers are read in milliseconds.
	earlySlack = 10 * time.Millisecond
	// returnWindow is how much later than told a request may come back and still go ahead of new ones.
	returnWindow = time.Second
	// promiseUnit is the precision of the times for which work is promised room.
	promiseUnit = 50 * time.Millisecond
	// maxPromises limits the requests that a pool remembers to have refused.
	maxPromises = 8192
	// minKept is the least fraction of callers that are assumed to come back, so that times stay spread.
	minKept = 0.2
	// keptGain is the weight of one promise in the fraction of callers that come back.
	keptGain = 0.02
)

// promise is the time at which a refused request was told to come back.
//
// The pool recognises the request by a hash of its organisation and content and forgets it after one return. Callers carry
// nothing that they could forge or pass on: a request that was not refused is unknown, and one that comes back early or twice is
// new.
type promise struct {
	at   time.Time
	work float64
	key  promiseKey
}

type promiseKey struct {
	priority     int
	organisation string
}

// promiseRoom returns when a refused request should come back, and whether there is room for it then. Each organisation's
// refused requests are spread over a part of its share.
func (a *admission) promiseRoom(now time.Time, request *Request, work, rate float64) (time.Duration, bool) {
	t := a.tier(request.Priority)
	s := t.share(request)

	at := now.Add(minReturn)
	if s.returnAt.After(at) {
		at = s.returnAt
	}

	wait := at.Sub(now)
	if float64(wait) > maxReturnFraction*float64(request.TimeLimit) {
		a.counters.Final++

		return wait, false
	}

	part := min(s.weight/t.activeWeight, 1)
	s.returnAt = at.Add(time.Duration(a.kept * work / (returnFraction * part * rate) * float64(time.Second)))
	a.counters.Told++

	if former, ok := a.returns[request.Content]; ok {
		a.forget(request.Content, former)
	}

	if request.Content != 0 && len(a.returns) < maxPromises {
		a.returns[request.Content] = promise{at: at, work: work, key: promiseKey{request.Priority, request.Organisation}}
		s.promised[unitOf(at)] += work
	}

	return wait, true
}

// takePromise reports whether the request came back when it was told to.
func (a *admission) takePromise(now time.Time, request *Request) bool {
	given, ok := a.returns[request.Content]
	if !ok || request.Content == 0 || given.key != (promiseKey{request.Priority, request.Organisation}) {
		return false
	}

	a.forget(request.Content, given)

	if now.Before(given.at.Add(-earlySlack)) {
		a.counters.Early++

		return false
	}

	if now.After(given.at.Add(returnWindow)) {
		return false
	}

	a.counters.Returned++
	a.kept += keptGain * (1 - a.kept)

	return true
}

// forget removes a promise.
func (a *admission) forget(content uint64, given promise) {
	delete(a.returns, content)

	s, ok := a.tier(given.key.priority).shares[given.key.organisation]
	if !ok {
		return
	}

	unit := unitOf(given.at)
	if s.promised[unit] -= given.work; s.promised[unit] <= 0 {
		delete(s.promised, unit)
	}
}

// expireReturns forgets requests that did not come back.
func (a *admission) expireReturns(now time.Time) {
	for content, given := range a.returns {
		if now.After(given.at.Add(returnWindow)) {
			a.forget(content, given)
			a.kept = max(a.kept-keptGain*a.kept, minKept)
		}
	}
}

// expirePromises drops the promised work whose time has passed.
func (s *share) expirePromises(now time.Time) {
	for unit := range s.promised {
		if unit < unitOf(now)-1 {
			delete(s.promised, unit)
		}
	}
}

// promisedUntil returns the work that was promised room from now on until the given time.
func (s *share) promisedUntil(now, until time.Time) float64 {
	work := 0.0

	for unit, promised := range s.promised {
		if unit >= unitOf(now)-1 && unit <= unitOf(until) {
			work += promised
		}
	}

	return work
}

func unitOf(t time.Time) int64 {
	return t.UnixNano() / int64(promiseUnit)
}
