package dispatcher

import "quincepath.example/quincepath/pkg/classifier"

// History is what the attempts of one request have left behind. The zero value
// is a request without attempts.
type History struct {
	// Reached counts the attempts of which a byte may have arrived at an upstream; two at once count as one.
	Reached int
	// Preempted counts the attempts that the holder ended; at most Reached.
	Preempted int
	// MayHaveRun is true once an upstream may have executed any part; it never becomes false again.
	MayHaveRun bool
	// Ran is true once a token of the answer came; it implies MayHaveRun.
	Ran bool
}

// WithAttempt returns the history with one more attempt.
func (h History) WithAttempt(outcome Outcome) History {
	if outcome.Result != ResultNotSent {
		h.Reached++
	}

	if outcome.Result == ResultPreempted {
		h.Preempted++
	}

	h.Ran = h.Ran || outcome.Tokens > 0 || outcome.Result == ResultDone
	h.MayHaveRun = h.MayHaveRun || h.Ran || outcome.Result.mayHaveRun()

	return h
}

// WithConcurrentAttempt returns the history with an attempt that ran at the same time as the
// one that stands for both. It changes what may have run, and is not counted.
func (h History) WithConcurrentAttempt(outcome Outcome) History {
	h.Ran = h.Ran || outcome.Tokens > 0 || outcome.DiscardedTokens > 0
	h.MayHaveRun = h.MayHaveRun || h.Ran || outcome.Result.mayHaveRun()

	return h
}

// RanState says what a final answer may claim. "Not run" needs every attempt to
// be surely not run: a later attempt that was refused doesn't undo an earlier
// one that broke off.
func (h History) RanState() classifier.Ran {
	switch {
	case h.Ran:
		return classifier.RanYes
	case h.MayHaveRun:
		return classifier.RanUnknown
	default:
		return classifier.RanNo
	}
}

// mayHaveRun says whether an upstream may have executed part of an attempt that ended so.
func (r Result) mayHaveRun() bool {
	return r != ResultNotSent && r != ResultRefused && r != ResultRejected
}
