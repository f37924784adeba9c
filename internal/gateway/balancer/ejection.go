package balancer

import "time"

const (
	// failureHalfLife is the time in which the share of failures halves.
	failureHalfLife = 2 * time.Second
	failureGain     = 0.25
	// ejectionThreshold is the share of failures from which a server is left out, ejectedPart the greatest part of a pool's servers
	// that is left out for it.
	ejectionThreshold  = 0.7
	maxEjectedFraction = 1.0 / 3
	// minEjection is how long a server is left out that took no connection or fails nearly all requests.
	// It doubles with each further time up to mostEjection. Its empty slots would else draw all that waits.
	minEjection = 300 * time.Millisecond
	maxEjection = 2 * time.Second
)

// recordOutcome learns from how a request ended. A server that fails nearly all of its requests is left out if it may be.
func (s *server) recordOutcome(outcome Outcome, now time.Time, mayEject bool) {
	failed := 0.0

	switch outcome {
	case Abandoned:
		return
	case Failed, Rejected:
		failed = 1
	case Unreachable:
		failed = 1
		// Attempts that failed together count once.
		s.ejectWithBackoff(now)
	case Replaced:
		// A server that crashed and started again is listed under its old id until its lease ends, seconds
		// later. Meanwhile it answers at once that it isn't the one that was meant: with its empty slots it
		// would draw, and refuse, all that waits.
		failed = 1
		s.eject(now, maxEjection)
	case Served:
		s.lastEjection = 0
	}

	s.failures = (1-failureGain)*s.failuresNow(now) + failureGain*failed
	s.failedAt = now

	// The places of a server that fails at once are always free, so that it would draw all that waits for the others.
	if outcome == Failed && mayEject && (s.lastEjection > 0 || s.failures > ejectionThreshold) {
		s.ejectWithBackoff(now)
	}
}

// ejectWithBackoff leaves the server out for twice as long as the last time.
func (s *server) ejectWithBackoff(now time.Time) {
	if now.After(s.ejectedUntil) {
		s.eject(now, min(max(2*s.lastEjection, minEjection), maxEjection))
	}
}

// onTrial says whether the server was left out and has answered nothing since.
func (s *server) onTrial() bool {
	return s.lastEjection > 0
}

// eject keeps new requests from the server for a span of time.
func (s *server) eject(now time.Time, span time.Duration) {
	s.lastEjection = span
	s.ejectedUntil = now.Add(span)
}
