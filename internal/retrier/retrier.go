// Package retrier decides what follows an attempt: the end of the request, a
// retry on another upstream, or the resume of a broken stream. Retries are held
// under a budget per class, so that a storm of failures can't multiply the load.
package retrier

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

// Options are the bounds of a Retrier. Zero fields take their defaults.
type Options struct {
	// MaxAttempts bounds the attempts of a request that the holder did not end; default 4.
	MaxAttempts int
	// MaxPreemptions bounds the attempts that the holder may end; default 32.
	MaxPreemptions int
	// MinRetryBurst is how many retries a node may send beyond the budgets of all its classes; default 3.
	MinRetryBurst int
	// MinRetriesPerSecond refills that allowance; default 0.05, one in 20 s.
	MinRetriesPerSecond float64
	// RetryAfter is the least time that a failed request's caller is told to wait, default 2 s.
	// Up to the same again is added by request id, so that callers who failed together don't return together.
	RetryAfter time.Duration
	// Now is the clock that refills the floor; default time.Now.
	Now func() time.Time
	// NodeCount returns the number of nodes that may exist, which divide among them what no request has earned; default 1.
	NodeCount func() int
}

const (
	defaultMaxAttempts    = 4
	defaultMaxPreempted   = 32
	defaultFloorBurst     = 3
	defaultFloorPerSecond = 0.05
	defaultRetryAfter     = 2 * time.Second
)

func (o Options) withDefaults() Options {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}

	if o.MaxPreemptions == 0 {
		o.MaxPreemptions = defaultMaxPreempted
	}

	if o.MinRetryBurst == 0 {
		o.MinRetryBurst = defaultFloorBurst
	}

	if o.MinRetriesPerSecond == 0 {
		o.MinRetriesPerSecond = defaultFloorPerSecond
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

// New returns a retrier with the node's part of full budgets and of a full floor.
func New(options Options) *Retrier {
	options = options.withDefaults()

	return &Retrier{options: options, budget: newBudget(options.MinRetriesPerSecond, options.MinRetryBurst, options.NodeCount)}
}

// Budget returns the budget that retries share with hedged requests.
func (r *Retrier) Budget() *Budget {
	return r.budget
}

// Counts returns the number of decisions by reason, in snake case, since the start.
func (r *Retrier) Counts() map[string]int64 {
	return r.counters.snapshot()
}

// Decide implements dispatcher.RetryPolicy. Progress above zero makes the next
// attempt a resume: the dispatcher hands it on as the offset.
func (r *Retrier) Decide(request dispatcher.Request, attempt dispatcher.Attempt, outcome dispatcher.Outcome, progress int) dispatcher.RetryDecision {
	history := attempt.History.WithAttempt(outcome)
	pair := ClassKey{Service: request.Service.Name, Class: request.Class.Name}

	if attempt.History.Reached == 0 && history.Reached == 1 {
		r.budget.Earn(pair, request.Class.RetryBudget)
	}

	why := r.judge(request, attempt, outcome, history)
	if why == reasonNone {
		why = r.pay(pair, request.Class.RetryBudget, outcome)
	}

	if why == reasonNone {
		return r.again(outcome, progress)
	}

	return r.end(request, outcome, history, progress, why)
}

// judge returns why the request ends here, or reasonNone when another attempt is allowed.
func (r *Retrier) judge(request dispatcher.Request, attempt dispatcher.Attempt, outcome dispatcher.Outcome, history dispatcher.History) reason {
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
		return endAttempts
	}

	return reasonNone
}

// pay takes a retry from the class's budget. A preempted attempt is the
// holder's own decision and an attempt that was not sent put no load on any
// upstream, so what follows these costs nothing.
func (r *Retrier) pay(pair ClassKey, share float64, outcome dispatcher.Outcome) reason {
	if outcome.Result == dispatcher.ResultPreempted || outcome.Result == dispatcher.ResultNotSent {
		return reasonNone
	}

	if !r.budget.Spend(r.options.Now(), pair, share, cost(outcome)) {
		return endBudget
	}

	return reasonNone
}

// cost is the part of the broken attempt that the next one repeats. A stream goes
// on at its offset, so that it is the time before the first token: the wait and
// the reading of the prompt. Charged in full, a third of the engines breaks off more
// long answers of one busy node than it may resume, and these start anew, which
// is the very load that the budget is there to bound. A silent stream costs all:
// its time was spent waiting.
func cost(outcome dispatcher.Outcome) float64 {
	if outcome.Result != dispatcher.ResultFailed || outcome.Tokens == 0 || outcome.FirstToken <= 0 || outcome.Duration <= 0 {
		return fullCost
	}

	return min(max(outcome.FirstToken.Seconds()/outcome.Duration.Seconds(), leastCost), fullCost)
}

func (r *Retrier) again(outcome dispatcher.Outcome, progress int) dispatcher.RetryDecision {
	why := retryReason(outcome.Result, progress > 0)
	r.counters.add(why)

	return dispatcher.RetryDecision{
		Retry: true,
		// The upstream of a preempted attempt did not fail and may still cache the prompt.
		Exclude: outcome.Result != dispatcher.ResultPreempted,
		Reason:  why.String(),
	}
}

func (r *Retrier) end(request dispatcher.Request, outcome dispatcher.Outcome, history dispatcher.History, progress int, why reason) dispatcher.RetryDecision {
	r.counters.add(why)

	if why == endDone {
		return dispatcher.RetryDecision{}
	}

	code := endCode(why, outcome.Result, progress)
	final := classifier.Wrap(outcome.Err, code, "the last attempt ended as %s: %s", outcome.Result, why)
	final.Ran = history.RanState()

	if why != endRejected && why != endCallerGone {
		final.RetryAfter = r.retryAfter(request.ID)
	}

	return dispatcher.RetryDecision{Reason: why.String(), Err: final}
}

func (r *Retrier) retryAfter(requestID string) time.Duration {
	least := r.options.RetryAfter
	spread := time.Duration(xxhash.Sum64String(requestID) % uint64(least))

	return least + spread
}

// endCode gives the final result's number.
func endCode(why reason, result dispatcher.Result, progress int) classifier.Code {
	switch {
	case why == endBudget:
		return classifier.RetryBudgetSpent
	case why == endCallerGone:
		return classifier.CallerGone
	case progress > 0:
		return classifier.StreamBroken
	case why == endRejected:
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
