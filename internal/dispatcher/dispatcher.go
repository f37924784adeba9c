// Package dispatcher carries one request through its attempts: it asks for a
// slot, lets the edge send the request to the granted upstream, and decides
// from what came back whether to end, to retry or to resume.
package dispatcher

import (
	"context"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/pkg/classifier"
)

// SlotRequest is what a request tells the holder of its pool to get a slot.
type SlotRequest struct {
	RequestID string `json:"request_id"`
	Service   string `json:"service"`
	// Class and Organisation are names in the settings snapshot of the service.
	Class        string `json:"class"`
	Organisation string `json:"organisation"`
	// Exclude names upstreams that already failed this request.
	Exclude []string `json:"exclude,omitempty"`
	// Waited is the time since the request arrived at its entry node.
	Waited time.Duration `json:"waited_ns"`
	// Progress is the number of tokens that the caller already has; above zero for a resume.
	Progress int `json:"progress,omitempty"`
	// Repeatable is false for requests that must not be preempted.
	Repeatable bool `json:"repeatable,omitempty"`
	// Prefixes are hashes of the prompt's prefixes, sampled by depth; empty without a prompt.
	Prefixes []uint64 `json:"prefixes,omitempty"`
	// Spare asks only for a slot that is free now and nobody waits for; otherwise the ask is refused at once.
	Spare bool `json:"spare,omitempty"`
}

// Slot is the permission to send one attempt to one upstream.
type Slot struct {
	// ID names the grant; it is unique in the life of its holder.
	ID       string
	Upstream configurer.Upstream
	// Priority is what the engine is told: lower is served first.
	Priority int
	// Preempted is closed when the holder takes the slot back for a higher tier; nil means never.
	Preempted <-chan struct{}
}

// Result says how an attempt ended.
type Result int

const (
	// ResultDone means that the whole answer arrived.
	ResultDone Result = iota
	// ResultNotSent means that no byte of the request can have left: the upstream did not run it.
	ResultNotSent
	// ResultRefused means that the upstream answered that it did not run the request.
	ResultRefused
	// ResultRejected means that the upstream answered that the request itself is wrong; it did not run it.
	ResultRejected
	// ResultFailed means that the upstream broke off, and may have run the request.
	ResultFailed
	// ResultSilent means that no bytes came within the gap limit.
	ResultSilent
	// ResultPreempted means that the holder took the slot back.
	ResultPreempted
	// ResultCallerGone means that the caller closed its connection.
	ResultCallerGone
	// ResultSuperseded means that another attempt of the same request delivered
	// first, and this one was cancelled. It says nothing of the upstream.
	ResultSuperseded
)

var resultNames = map[Result]string{
	ResultDone:       "done",
	ResultNotSent:    "not_sent",
	ResultRefused:    "refused",
	ResultRejected:   "rejected",
	ResultFailed:     "failed",
	ResultSilent:     "silent",
	ResultPreempted:  "preempted",
	ResultCallerGone: "caller_gone",
	ResultSuperseded: "superseded",
}

// String returns the snake-case name that stands in logs and counters.
func (r Result) String() string {
	return resultNames[r]
}

// Outcome is what the edge saw of one attempt.
type Outcome struct {
	Result Result
	// FirstToken is the time from sending to the first token or answer byte; zero if none came.
	FirstToken time.Duration
	// Duration is the time from sending to the end.
	Duration time.Duration
	// Tokens is the number of tokens that this attempt delivered to the caller's answer.
	Tokens int
	// DiscardedTokens is the number of tokens that came and were not delivered, since another attempt owns the answer.
	DiscardedTokens int
	// RetryAfter is for how long an upstream that refused the attempt wants no other from this node; 0 if it didn't say.
	RetryAfter time.Duration
	// Err is the cause for the log, or nil.
	Err error
}

// TokenGap is the mean time between tokens, or zero when fewer than two came.
func (o Outcome) TokenGap() time.Duration {
	if o.Tokens < 2 {
		return 0
	}

	return (o.Duration - o.FirstToken) / time.Duration(o.Tokens-1)
}

// SlotGranter grants slots. Acquire waits for a grant, a refusal with a numbered
// result, or the end of ctx; every granted slot is released exactly once.
type SlotGranter interface {
	Acquire(ctx context.Context, ask SlotRequest) (Slot, error)
	Release(slot Slot, ask SlotRequest, outcome Outcome)
}

// Sender sends one attempt of a request to an upstream and returns when the
// attempt is over. It appends what arrives to the request's answer, once the
// attempt owns it. Two attempts may be sent at once; Progress isn't called meanwhile.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) Outcome
	// Progress is the number of tokens that the caller's answer holds so far.
	Progress() int
}

// Attempt is one try at one upstream.
type Attempt struct {
	// Number counts from 1.
	Number int
	Slot   Slot
	// Offset is the number of tokens that the engine is to skip.
	Offset int
	// History is what the earlier attempts left behind; it doesn't hold this attempt.
	History History
	// Hedge is true for the second of two attempts at once.
	Hedge bool
	// claim makes the attempt the owner of the answer; nil when no other attempt can be.
	claim func() bool
}

// IsRacing says whether another attempt may own the answer. Then nothing may be
// added to the answer before TryOwn.
func (a Attempt) IsRacing() bool {
	return a.claim != nil
}

// TryOwn is called with the first token, or a whole plain answer, in hand. False means that
// another attempt delivered first; the sender then drops what it has and returns.
func (a Attempt) TryOwn() bool {
	return a.claim == nil || a.claim()
}

// RetryDecision is the decision after an attempt.
type RetryDecision struct {
	// Retry asks for another attempt.
	Retry bool
	// Exclude keeps the failed upstream out of later attempts.
	Exclude bool
	// Reason names the retry in counters and logs, such as "upstream_silent".
	Reason string
	// Err ends the request when Again is false; nil means success.
	Err *classifier.Error
}

// RetryPolicy decides what follows an attempt.
type RetryPolicy interface {
	Decide(request Request, attempt Attempt, outcome Outcome, progress int) RetryDecision
}

// Request is one request with its resolved settings.
type Request struct {
	ID           string
	Service      configurer.Service
	Class        configurer.Class
	Organisation configurer.Organisation
	// Repeatable is false when a second run would do harm.
	Repeatable bool
	Arrived    time.Time
	// Prefixes are hashes of the prompt's prefixes; they choose between equally good upstreams.
	Prefixes []uint64
	// Key is the same each time that a caller sends the same request.
	Key quarantiner.Key
}

// Observer is told of each attempt, for counters and logs.
type Observer interface {
	AttemptEnded(request Request, attempt Attempt, outcome Outcome, next RetryDecision)
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	slotter  SlotGranter
	judge    RetryPolicy
	observer Observer
	// hedger is nil when no request gets a second attempt beside the first.
	hedger Hedger
	// quarantine is nil when every request may run.
	quarantine Quarantine
	rests      rests
}

// New returns a dispatcher over the given parts.
func New(slotter SlotGranter, judge RetryPolicy, observer Observer) *Dispatcher {
	return &Dispatcher{slotter: slotter, judge: judge, observer: observer}
}

// Run carries the request to its end and returns nil or a numbered result.
func (d *Dispatcher) Run(ctx context.Context, request Request, sender Sender) *classifier.Error {
	var (
		exclude  []string
		history  History
		declined int
	)

	for number := 1; ; {
		if failure := d.quarantined(request, history); failure != nil {
			return failure
		}

		ask := newAsk(request, sender.Progress(), exclude)
		ask.Exclude = slices.Concat(ask.Exclude, d.rests.names(time.Now(), request.Service))

		slot, err := d.slotter.Acquire(ctx, ask)
		if err != nil {
			return acquireError(ctx, err, history)
		}

		// It may have been found out while the request waited.
		if failure := d.quarantined(request, history); failure != nil {
			d.slotter.Release(slot, ask, Outcome{Result: ResultSuperseded})

			return failure
		}

		// The slot was granted before the upstream asked for rest.
		if left := d.rests.left(time.Now(), slot.Upstream.Address); left > 0 {
			d.slotter.Release(slot, ask, Outcome{Result: ResultSuperseded})

			declined++
			if declined == mostDeclined {
				return restingError(history, left)
			}

			continue
		}

		attempt := Attempt{Number: number, Slot: slot, Offset: sender.Progress(), History: history}
		over, failed := d.step(ctx, request, sender, attempt, ask)
		number = over.last + 1

		next := d.judge.Decide(request, over.attempt, over.outcome, sender.Progress())
		d.observer.AttemptEnded(request, over.attempt, over.outcome, next)

		if !next.Retry {
			return next.Err
		}

		history = over.attempt.History.WithAttempt(over.outcome)
		exclude = append(exclude, failed...)

		if next.Exclude {
			exclude = append(exclude, over.attempt.Slot.Upstream.Name)
		}
	}
}

// newAsk returns what the next attempt asks the holder for. Progress is the
// number of tokens that the caller has; failed names the upstreams that failed
// the request, the latest last.
func newAsk(request Request, progress int, failed []string) SlotRequest {
	return SlotRequest{
		RequestID:    request.ID,
		Service:      request.Service.Name,
		Class:        request.Class.Name,
		Organisation: request.Organisation.Name,
		Exclude:      excluded(request.Service, failed),
		Waited:       time.Since(request.Arrived),
		Progress:     progress,
		Repeatable:   request.Repeatable,
		Prefixes:     request.Prefixes,
	}
}

// excluded returns the upstreams that the next attempt stays away from: those
// that failed the request, the latest last. Once all have failed it, only the
// latest stays out, or none when there is no other. A service with one server
// would else answer "no upstream" after a single connection went silent,
// although a new connection to the same server works.
func excluded(service configurer.Service, failed []string) []string {
	if len(failed) == 0 {
		return nil
	}

	usable := 0

	for name, upstream := range service.Upstreams {
		if upstream.Leaving {
			continue
		}

		usable++

		if !slices.Contains(failed, name) {
			return failed
		}
	}

	switch usable {
	case 0:
		return failed
	case 1:
		return nil
	default:
		return failed[len(failed)-1:]
	}
}

// send runs one attempt and ends it early when the holder takes the slot back.
// A request that is not repeatable keeps its slot: cancelled halfway it may have
// run, could not be sent again, and its caller would get no answer at all.
func (d *Dispatcher) send(ctx context.Context, request Request, sender Sender, attempt Attempt) Outcome {
	outcome := d.sendUntilPreempted(ctx, request, sender, attempt)
	if outcome.RetryAfter > 0 {
		d.rests.note(time.Now(), attempt.Slot.Upstream.Address, outcome.RetryAfter)
	}

	return outcome
}

func (d *Dispatcher) sendUntilPreempted(ctx context.Context, request Request, sender Sender, attempt Attempt) Outcome {
	if attempt.Slot.Preempted == nil || !request.Repeatable {
		return sender.Send(ctx, attempt)
	}

	attemptContext, cancel := context.WithCancel(ctx)
	defer cancel()

	preempted := make(chan bool, 1)
	stop := make(chan struct{})

	go func() {
		select {
		case <-attempt.Slot.Preempted:
			cancel()
			preempted <- true
		case <-stop:
			preempted <- false
		}
	}()

	outcome := sender.Send(attemptContext, attempt)

	close(stop)

	if <-preempted && outcome.Result == ResultCallerGone && ctx.Err() == nil {
		outcome.Result = ResultPreempted
	}

	return outcome
}

// restingError ends a request whose slots were all at upstreams that rest.
func restingError(history History, left time.Duration) *classifier.Error {
	failure := classifier.New(classifier.NoUpstream, "the upstreams want no requests now").After(left)
	failure.Ran = history.RanState()

	return failure
}

// acquireError turns a failed Acquire into the final result. A slotter runs
// nothing, so whether the request ran follows from its attempts alone.
func acquireError(ctx context.Context, err error, history History) *classifier.Error {
	if ctx.Err() != nil {
		gone := classifier.Wrap(err, classifier.CallerGone, "the caller left while the request waited")
		gone.Ran = history.RanState()

		return gone
	}

	final := *classifier.From(err)
	final.Ran = history.RanState()

	return &final
}
