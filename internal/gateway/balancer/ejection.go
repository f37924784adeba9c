package balancer

import "time"

const (
	// failureHalfLife is the half-life of the failure fraction.
	failureHalfLife = 2 * time.Second
	failureGain     = 0.25
	// ejectionThreshold is the fraction of failures at which a server is ejected. maxEjectedFraction is the largest fraction of a
	// pool's servers that may be ejected for failures.
	ejectionThreshold  = 0.7
	maxEjectedFraction = 1.0 / 3
	// minEjection is the first ejection of a server that accepts no connections or fails nearly all requests. Each
	// further ejection is twice as long, up to maxEjection. Otherwise its empty slots would attract all queued requests.
	minEjection = 300 * time.Millisecond
	maxEjection = 2 * time.Second
)

// Ejection says that a server gets no requests for a time, because one failed there.
type Ejection struct {
	Upstream string
	Duration time.Duration
}

// recordOutcome updates the failure fraction. A server that fails nearly all of its requests is ejected if mayEject is set.
func (s *server) recordOutcome(outcome Outcome, now time.Time, mayEject bool) {
	failed := 0.0

	switch outcome {
	case Abandoned:
		return
	case Failed, Rejected:
		failed = 1
	case Unreachable:
		failed = 1
		// Attempts that failed together cause one ejection.
		s.ejectWithBackoff(now)
	case Replaced:
		// A server that crashed and restarted is listed under its old ID until its lease ends, seconds later. Until
		// then it immediately answers that it is not the requested instance; with its empty slots it would attract and
		// refuse all queued requests.
		failed = 1
		s.eject(now, maxEjection)
	case Served:
		s.lastEjection = 0
	}

	s.failures = (1-failureGain)*s.failuresNow(now) + failureGain*failed
	s.failedAt = now

	// The slots of a server that fails immediately are always free, so it would attract all queued requests.
	if outcome == Failed && mayEject && (s.lastEjection > 0 || s.failures > ejectionThreshold) {
		s.ejectWithBackoff(now)
	}
}

// ejectWithBackoff ejects the server for twice as long as the last time.
func (s *server) ejectWithBackoff(now time.Time) {
	if now.After(s.ejectedUntil) {
		s.eject(now, min(max(2*s.lastEjection, minEjection), maxEjection))
	}
}

// onTrial reports whether the server was ejected and has answered nothing since.
func (s *server) onTrial() bool {
	return s.lastEjection > 0
}

// eject stops new requests to the server for the given time.
func (s *server) eject(now time.Time, span time.Duration) {
	s.lastEjection = span
	s.ejectedUntil = now.Add(span)
}
