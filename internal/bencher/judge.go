package bencher

import (
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	mostFailures = 4
	// retryReserve lets a class retry a little before it has sent much.
	retryReserve = 10
)

// judge is the bench's retry rule: what surely did not run is tried again a few
// times, and what may run again under the class's budget besides.
type judge struct {
	// sent and retried count attempts by class.
	sent    map[string]int
	retried map[string]int
}

func newJudge() judge {
	return judge{sent: make(map[string]int), retried: make(map[string]int)}
}

func (j judge) decide(q *Request, outcome dispatcher.Outcome) dispatcher.Next {
	j.sent[q.Class.Name]++

	switch outcome.Result {
	case dispatcher.ResultDone:
		return dispatcher.Next{}
	case dispatcher.ResultPreempted:
		return dispatcher.Next{Again: true, Reason: outcome.Result.String()}
	}

	q.failures++

	notSent := outcome.Result == dispatcher.ResultNotSent
	if !notSent && q.Event.NotRepeatable {
		return dispatcher.Next{Err: classifier.New(classifier.OutcomeUnknown, "the attempt ended as %s", outcome.Result)}
	}

	if q.failures >= mostFailures || (!notSent && !j.allowed(q.Class.Name, q.Class.RetryBudget)) {
		return dispatcher.Next{Err: failure(q, notSent)}
	}

	if !notSent {
		j.retried[q.Class.Name]++
	}

	return dispatcher.Next{Again: true, Exclude: true, Reason: outcome.Result.String()}
}

func (j judge) allowed(class string, budget float64) bool {
	return float64(j.retried[class]) < retryReserve+budget*float64(j.sent[class])
}

func failure(q *Request, notSent bool) *classifier.Error {
	if notSent && q.number == 1 {
		return classifier.New(classifier.UpstreamUnreachable, "no server could be reached")
	}

	return classifier.New(classifier.UpstreamFailed, "the last attempt failed")
}
