package retrier

import (
	"sync/atomic"

	"quincepath.example/quincepath/internal/dispatcher"
)

// decision is a decision of the Retrier. Its name appears in counters, logs and responses.
type decision int

const (
	decisionNone decision = iota

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
	endAttemptsSpent
	endPreempted
	endBudget

	decisionCount
)

var decisionNames = [decisionCount]string{
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
	endAttemptsSpent: "end_attempts_spent",
	endPreempted:     "end_preempted_too_often",
	endBudget:        "end_retry_budget_spent",
}

// String returns the name in snake case.
func (r decision) String() string {
	return decisionNames[r]
}

func retryReason(result dispatcher.Result, isResume bool) decision {
	retry, resume := retryFailed, resumeFailed

	switch result {
	case dispatcher.ResultNotSent:
		retry, resume = retryNotSent, resumeNotSent
	case dispatcher.ResultRefused:
		retry, resume = retryRefused, resumeRefused
	case dispatcher.ResultSilent:
		retry, resume = retrySilent, resumeSilent
	case dispatcher.ResultPreempted:
		retry, resume = retryPreempted, resumePreempted
	}

	if isResume {
		return resume
	}

	return retry
}

// counters holds the number of decisions of each kind.
type counters [decisionCount]atomic.Int64

func (c *counters) add(kind decision) {
	c[kind].Add(1)
}

func (c *counters) snapshot() map[string]int64 {
	counts := make(map[string]int64, decisionCount)

	for kind := decisionNone + 1; kind < decisionCount; kind++ {
		counts[kind.String()] = c[kind].Load()
	}

	return counts
}
