package server

import (
	"time"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	maxAttempts       = 4
	failureRetryAfter = 2 * time.Second
)

// simpleJudge retries what surely did not run and what may run again, a few times.
type simpleJudge struct{}

// Decide implements dispatcher.Judge.
func (simpleJudge) Decide(request dispatcher.Request, attempt dispatcher.Attempt, outcome dispatcher.Outcome, _ int) dispatcher.Next {
	code, final := finalCode(outcome.Result)
	if final {
		return dispatcher.Next{Err: resultError(code, outcome)}
	}

	notRun := outcome.Result == dispatcher.ResultNotSent || outcome.Result == dispatcher.ResultRefused
	if attempt.Number < maxAttempts && (notRun || request.Repeatable) {
		return dispatcher.Next{Again: true, Exclude: true, Reason: outcome.Result.String()}
	}

	return dispatcher.Next{Err: resultError(code, outcome)}
}

func finalCode(result dispatcher.Result) (code classifier.Code, final bool) {
	switch result {
	case dispatcher.ResultDone:
		return classifier.OK, true
	case dispatcher.ResultCallerGone:
		return classifier.CallerGone, true
	case dispatcher.ResultRejected:
		return classifier.InvalidRequest, true
	case dispatcher.ResultNotSent:
		return classifier.UpstreamUnreachable, false
	case dispatcher.ResultRefused:
		return classifier.NoUpstream, false
	case dispatcher.ResultSilent:
		return classifier.UpstreamSilent, false
	default:
		return classifier.UpstreamFailed, false
	}
}

func resultError(code classifier.Code, outcome dispatcher.Outcome) *classifier.Error {
	if code == classifier.OK {
		return nil
	}

	return classifier.Wrap(outcome.Err, code, "the last attempt ended as %s", outcome.Result).After(failureRetryAfter)
}
