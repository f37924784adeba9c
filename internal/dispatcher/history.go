package dispatcher

import "quincepath.example/quincepath/pkg/classifier"

// History summarises the attempts of one request. The zero value is a request without attempts.
type History struct {
	// Reached counts the attempts of which a byte may have reached an upstream; two concurrent attempts count as one.
	Reached int
	// Preempted counts the attempts that the holder preempted; at most Reached.
	Preempted int
	// MayHaveRun is true once an upstream may have executed any part of the request; it never becomes false again.
	MayHaveRun bool
	// Ran is true once a token of the answer arrived; it implies MayHaveRun.
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

// WithConcurrentAttempt returns the history with an attempt that ran at the same time as the one that represents both.
// It changes whether the request may have run, and is not counted.
func (h History) WithConcurrentAttempt(outcome Outcome) History {
	h.Ran = h.Ran || outcome.Tokens > 0 || outcome.DiscardedTokens > 0
	h.MayHaveRun = h.MayHaveRun || h.Ran || outcome.Result.mayHaveRun()

	return h
}

// RanState returns what the final answer may say about whether the request ran. RanNo requires that no attempt can have
// run: a later attempt that was refused does not undo an earlier one that broke off.
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

// mayHaveRun reports whether an upstream may have executed part of an attempt with this result.
func (r Result) mayHaveRun() bool {
	return r != ResultNotSent && r != ResultRefused && r != ResultRejected
}
