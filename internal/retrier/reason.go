package retrier

import (
	"sync/atomic"

	"quincepath.example/quincepath/internal/dispatcher"
)

// reason names a decision in counters, logs and answers.
type reason int

const (
	reasonNone reason = iota

	retryNotSent
	retryRefused
	retryFailed
	retrySilent
	retryPreempted
	resumeNotSent
	resumeRefused
	resumeFailed
	resumeSilent
	resumePreempted

	endDone
	endCallerGone
	endRejected
	endNotRepeatable
	endAttempts
	endPreempted
	endBudget

	reasonCount
)

var reasonNames = [reasonCount]string{
	retryNotSent:     "retry_not_sent",
	retryRefused:     "retry_refused",
	retryFailed:      "retry_failed",
	retrySilent:      "retry_silent",
	retryPreempted:   "retry_preempted",
	resumeNotSent:    "resume_not_sent",
	resumeRefused:    "resume_refused",
	resumeFailed:     "resume_failed",
	resumeSilent:     "resume_silent",
	resumePreempted:  "resume_preempted",
	endDone:          "end_done",
	endCallerGone:    "end_caller_gone",
	endRejected:      "end_rejected",
	endNotRepeatable: "end_not_repeatable",
	endAttempts:      "end_attempts_spent",
	endPreempted:     "end_preempted_too_often",
	endBudget:        "end_retry_budget_spent",
}

// String returns the snake-case name.
func (r reason) String() string {
	return reasonNames[r]
}

func retryReason(result dispatcher.Result, resume bool) reason {
	retry, resumed := retryFailed, resumeFailed

	switch result {
	case dispatcher.ResultNotSent:
		retry, resumed = retryNotSent, resumeNotSent
	case dispatcher.ResultRefused:
		retry, resumed = retryRefused, resumeRefused
	case dispatcher.ResultSilent:
		retry, resumed = retrySilent, resumeSilent
	case dispatcher.ResultPreempted:
		retry, resumed = retryPreempted, resumePreempted
	}

	if resume {
		return resumed
	}

	return retry
}

// counters counts decisions by reason.
type counters [reasonCount]atomic.Int64

func (c *counters) add(why reason) {
	c[why].Add(1)
}

func (c *counters) snapshot() map[string]int64 {
	counts := make(map[string]int64, reasonCount)

	for why := reasonNone + 1; why < reasonCount; why++ {
		counts[why.String()] = c[why].Load()
	}

	return counts
}
