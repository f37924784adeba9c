// Package retrier decides what follows an attempt: the end of the request, a retry on another upstream, or the resume of a broken
// stream. A retry budget per class prevents widespread failures from multiplying the load.
package retrier

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

// Options configures a Retrier. Fields that are zero take their defaults.
type Options struct {
	// MaxAttempts limits the attempts of a request, preempted ones excluded. The default is 4.
	MaxAttempts int
	// MaxPreemptions limits the attempts of a request that the holder may preempt. The default is 32.
	MaxPreemptions int
	// MinRetryBurst is how many retries a node may send beyond the budgets of all its classes. The default is 3.
	MinRetryBurst int
	// MinRetriesPerSecond is the rate at which MinRetryBurst is refilled. The default is 0.05, one every 20 s.
	MinRetriesPerSecond float64
	// RetryAfter is the minimum Retry-After of a failed request. The default is 2 s. A jitter of up to the same time, derived from
	// the request ID, is added so that callers whose requests fail together do not return together.
	RetryAfter time.Duration
	// Now is the clock for refilling MinRetryBurst. The default is time.Now.
	Now func() time.Time
	// NodeCount returns the number of nodes that may exist. They share the initial credit and MinRetryBurst. The default is 1.
	NodeCount func() int
}

const (
	defaultMaxAttempts         = 4
	defaultMaxPreemptions      = 32
	defaultMinRetryBurst       = 3
	defaultMinRetriesPerSecond = 0.05
	defaultRetryAfter          = 2 * time.Second
)

func (o Options) withDefaults() Options {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}

	if o.MaxPreemptions == 0 {
		o.MaxPreemptions = defaultMaxPreemptions
	}

	if o.MinRetryBurst == 0 {
		o.MinRetryBurst = defaultMinRetryBurst
	}

	if o.MinRetriesPerSecond == 0 {
		o.MinRetriesPerSecond = defaultMinRetriesPerSecond
	}

	if o.RetryAfter == 0 {
		o.RetryAfter = defaultRetryAfter
	}

	if o.Now == nil {
		o.Now = time.Now
	}

	if o.NodeCount == nil {
		o.NodeCount = func() int { return 1 }
	}

	return o
}

// Retrier implements dispatcher.RetryPolicy. It is safe for concurrent use.
type Retrier struct {
	options  Options
	budget   *Budget
	counters counters
}

// New returns a Retrier with the node's share of the maximum credit and of MinRetryBurst.
func New(options Options) *Retrier {
	options = options.withDefaults()

	return &Retrier{options: options, budget: newBudget(options.MinRetriesPerSecond, options.MinRetryBurst, options.NodeCount)}
}

// Budget returns the budget, which retries share with hedged attempts.
func (r *Retrier) Budget() *Budget {
	return r.budget
}

// Counts returns the number of decisions since the start by their names in snake case.
func (r *Retrier) Counts() map[string]int64 {
	return r.counters.snapshot()
}

// Decide implements dispatcher.RetryPolicy. If progress is greater than 0, the next attempt is a resume; the dispatcher passes progress as
// its offset.
func (r *Retrier) Decide(request dispatcher.Request, attempt dispatcher.Attempt, outcome dispatcher.Outcome, progress int) dispatcher.RetryDecision {
	history := attempt.History.WithAttempt(outcome)
	key := ClassKey{Service: request.Service.Name, Class: request.Class.Name}

	if attempt.History.Reached == 0 && history.Reached == 1 {
		r.budget.Earn(key, request.Class.RetryBudget)
	}

	reason := r.endReason(request, attempt, outcome, history)
	if reason == decisionNone {
		reason = r.chargeBudget(key, request.Class.RetryBudget, outcome)
	}

	if reason == decisionNone {
		return r.retry(outcome, progress)
	}

	return r.endRequest(request, outcome, history, progress, reason)
}

// endReason returns why the request ends now, or decisionNone if another attempt is allowed.
func (r *Retrier) endReason(request dispatcher.Request, attempt dispatcher.Attempt, outcome dispatcher.Outcome, history dispatcher.History) decision {
	switch outcome.Result {
	case dispatcher.ResultDone:
		return endDone
	case dispatcher.ResultCallerGone:
		return endCallerGone
	case dispatcher.ResultRejected:
		return endRejected
	}

	if history.MayHaveRun && !request.Repeatable {
		return endNotRepeatable
	}

	if history.Preempted > r.options.MaxPreemptions {
		return endPreempted
	}

	if outcome.Result != dispatcher.ResultPreempted && attempt.Number-history.Preempted >= r.options.MaxAttempts {
		return endAttemptsSpent
	}

	return decisionNone
}

// chargeBudget charges a retry to the budget of the class and returns endBudget if that is spent. A retry after a preemption is
// free because the holder chose to preempt, and a retry after an attempt that was not sent is free because that attempt put no
// load on any upstream.
func (r *Retrier) chargeBudget(key ClassKey, share float64, outcome dispatcher.Outcome) decision {
	if outcome.Result == dispatcher.ResultPreempted || outcome.Result == dispatcher.ResultNotSent {
		return decisionNone
	}

	if !r.budget.Spend(r.options.Now(), key, share, retryCost(outcome)) {
		return endBudget
	}

	return decisionNone
}

// retryCost returns the fraction of the failed attempt that the next one repeats. A stream resumes at its offset, so it repeats
// only the time to the first token: queueing and prompt processing. If resumes were charged in full, a crash of a third of
// the engines would break more long responses of one busy node than it may resume. These would start again from the
// beginning, which is the load that the budget is to prevent. A stream that went silent costs 1, because its time was spent
// waiting.
func retryCost(outcome dispatcher.Outcome) float64 {
	if outcome.Result != dispatcher.ResultFailed || outcome.Tokens == 0 || outcome.FirstToken <= 0 || outcome.Duration <= 0 {
		return fullCost
	}

	return min(max(outcome.FirstToken.Seconds()/outcome.Duration.Seconds(), minCost), fullCost)
}

func (r *Retrier) retry(outcome dispatcher.Outcome, progress int) dispatcher.RetryDecision {
	reason := retryReason(outcome.Result, progress > 0)
	r.counters.add(reason)

	return dispatcher.RetryDecision{
		Retry: true,
		// The upstream of a preempted attempt did not fail and may still cache the prompt.
		Exclude: outcome.Result != dispatcher.ResultPreempted,
		Reason:  reason.String(),
	}
}

func (r *Retrier) endRequest(request dispatcher.Request, outcome dispatcher.Outcome, history dispatcher.History, progress int, reason decision) dispatcher.RetryDecision {
	r.counters.add(reason)

	if reason == endDone {
		return dispatcher.RetryDecision{}
	}

	code := endCode(reason, outcome.Result, progress)
	result := classifier.Wrap(outcome.Err, code, "the last attempt ended as %s: %s", outcome.Result, reason)
	result.Ran = history.RanState()

	if reason != endRejected && reason != endCallerGone {
		result.RetryAfter = r.retryAfter(request.ID)
	}

	return dispatcher.RetryDecision{Reason: reason.String(), Err: result}
}

func (r *Retrier) retryAfter(requestID string) time.Duration {
	minimum := r.options.RetryAfter
	jitter := time.Duration(xxhash.Sum64String(requestID) % uint64(minimum))

	return minimum + jitter
}

// endCode returns the code of the final error.
func endCode(reason decision, result dispatcher.Result, progress int) classifier.Code {
	switch {
	case reason == endBudget:
		return classifier.RetryBudgetSpent
	case reason == endCallerGone:
		return classifier.CallerGone
	case progress > 0:
		return classifier.StreamBroken
	case reason == endRejected:
		return classifier.InvalidRequest
	}

	switch result {
	case dispatcher.ResultNotSent:
		return classifier.UpstreamUnreachable
	case dispatcher.ResultRefused:
		return classifier.NoUpstream
	case dispatcher.ResultSilent:
		return classifier.UpstreamSilent
	case dispatcher.ResultPreempted:
		return classifier.TargetUnreachable
	default:
		return classifier.UpstreamFailed
	}
}
