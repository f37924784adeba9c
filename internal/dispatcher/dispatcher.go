// Package dispatcher runs a request through its attempts: it acquires a slot, lets the sender send the request to the
// granted upstream, and decides from the outcome whether to end, to retry or to resume.
package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/pkg/classifier"
)

// SlotRequest is what a request sends to the holder of its pool to get a slot.
type SlotRequest struct {
	RequestID string `json:"request_id"`
	Service   string `json:"service"`
	// Class and Organisation are names in the settings snapshot of the service.
	Class        string `json:"class"`
	Organisation string `json:"organisation"`
	// Exclude lists upstreams that already failed this request, or that asked for no requests now.
	Exclude []string `json:"exclude,omitempty"`
	// Waited is the time since the request arrived at its entry node.
	Waited time.Duration `json:"waited_ns"`
	// Progress is the number of tokens that the caller has already received; above zero for a resume.
	Progress int `json:"progress,omitempty"`
	// Repeatable is false for requests that must not be preempted.
	Repeatable bool `json:"repeatable,omitempty"`
	// Prefixes are hashes of the prompt's prefixes, sampled by depth; empty without a prompt.
	Prefixes []uint64 `json:"prefixes,omitempty"`
	// Spare asks only for a slot that is free now and that no other request is waiting for; otherwise the request is
	// refused at once.
	Spare bool `json:"spare,omitempty"`
}

// Slot is the permission to send one attempt to one upstream.
type Slot struct {
	// ID identifies the grant; it is unique over the lifetime of its holder.
	ID       string
	Upstream configurer.Upstream
	// Priority is sent to the engine; lower values are served first.
	Priority int
	// Preempted is closed when the holder reclaims the slot for a higher tier; nil means never.
	Preempted <-chan struct{}
}

// Result says how an attempt ended.
type Result int

const (
	// ResultDone means that the whole answer arrived.
	ResultDone Result = iota
	// ResultNotSent means that no byte of the request can have been sent, so the upstream did not run it.
	ResultNotSent
	// ResultRefused means that the upstream answered that it did not run the request.
	ResultRefused
	// ResultRejected means that the upstream answered that the request itself is invalid; it did not run it.
	ResultRejected
	// ResultFailed means that the upstream broke off and may have run the request.
	ResultFailed
	// ResultSilent means that no bytes arrived within the gap limit.
	ResultSilent
	// ResultPreempted means that the holder reclaimed the slot.
	ResultPreempted
	// ResultCallerGone means that the caller closed its connection.
	ResultCallerGone
	// ResultSuperseded means that another attempt of the same request delivered first and this one was cancelled. It
	// says nothing about the upstream.
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

// String returns the snake-case name used in logs and counters.
func (r Result) String() string {
	return resultNames[r]
}

// Outcome is the result of one attempt, as its sender saw it.
type Outcome struct {
	Result Result
	// FirstToken is the time from sending to the first token or answer byte; zero if none came.
	FirstToken time.Duration
	// Duration is the time from sending to the end.
	Duration time.Duration
	// Tokens is the number of tokens that this attempt delivered to the caller's answer.
	Tokens int
	// DiscardedTokens is the number of tokens that arrived but were not delivered, because another attempt owns the
	// answer.
	DiscardedTokens int
	// RetryAfter is how long an upstream that refused the attempt wants no other request from this node; 0 if it did not
	// say.
	RetryAfter time.Duration
	// Err is the cause, for the log; it may be nil.
	Err error
}

// TokenGap returns the mean time between tokens, or zero if fewer than two arrived.
func (o Outcome) TokenGap() time.Duration {
	if o.Tokens < 2 {
		return 0
	}

	return (o.Duration - o.FirstToken) / time.Duration(o.Tokens-1)
}

// SlotGranter grants slots. Acquire waits for a grant, a refusal with an error code, or the end of ctx. Every granted
// slot is released exactly once.
type SlotGranter interface {
	Acquire(ctx context.Context, slotRequest SlotRequest) (Slot, error)
	Release(slot Slot, slotRequest SlotRequest, outcome Outcome)
}

// Sender sends one attempt of a request to an upstream and returns when the attempt is over. It appends what arrives to
// the answer once the attempt owns the answer. Two attempts may be sent at once; Progress is not called meanwhile.
type Sender interface {
	Send(ctx context.Context, attempt Attempt) Outcome
	// Progress returns the number of tokens that the caller's answer holds so far.
	Progress() int
}

// Attempt is one try at one upstream.
type Attempt struct {
	// Number counts from 1.
	Number int
	Slot   Slot
	// Offset is the number of tokens that the engine must skip.
	Offset int
	// History summarises the earlier attempts, without this one.
	History History
	// Hedge is true for the second of two concurrent attempts.
	Hedge bool
	// claim makes the attempt the owner of the answer; nil if no other attempt can be the owner.
	claim func() bool
}

// IsRacing reports whether another attempt may own the answer. If so, nothing may be added to the answer before TryOwn
// returns true.
func (a Attempt) IsRacing() bool {
	return a.claim != nil
}

// TryOwn must be called once the first token, or a complete plain answer, has arrived. False means that another attempt
// delivered first; the sender then discards what it has and returns.
func (a Attempt) TryOwn() bool {
	return a.claim == nil || a.claim()
}

// RetryDecision is the decision after an attempt.
type RetryDecision struct {
	// Retry asks for another attempt.
	Retry bool
	// Exclude excludes the failed upstream from later attempts.
	Exclude bool
	// Reason identifies the retry in counters and logs, such as "upstream_silent".
	Reason string
	// Err is the error that ends the request if Retry is false; nil means success.
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
	// Repeatable is false if running the request twice would do harm.
	Repeatable bool
	Arrived    time.Time
	// Prefixes are hashes of the prompt's prefixes; they decide between equally good upstreams.
	Prefixes []uint64
	// Key is the same each time that a caller sends the same request.
	Key quarantiner.Key
}

// Observer is notified of each attempt, for counters and logs.
type Observer interface {
	AttemptEnded(request Request, attempt Attempt, outcome Outcome, next RetryDecision)
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	slotter  SlotGranter
	judge    RetryPolicy
	observer Observer
	// hedger is nil if no request gets a hedge.
	hedger Hedger
	// quarantine is nil if every request may run.
	quarantine  Quarantine
	retryAfters retryAfters
	// limiter is nil if no upstream names a rate limit. limitWaits holds until when its limits admit nothing.
	limiter    RateLimiter
	limitWaits retryAfters
}

// New returns a Dispatcher.
func New(slotter SlotGranter, judge RetryPolicy, observer Observer) *Dispatcher {
	return &Dispatcher{slotter: slotter, judge: judge, observer: observer}
}

// Run runs the request until it ends and returns nil or an error with a code.
func (d *Dispatcher) Run(ctx context.Context, request Request, sender Sender) *classifier.Error {
	var (
		exclude  []string
		history  History
		declined int
		origin   answerOrigin
	)

	for number := 1; ; {
		if failure := cmp.Or(d.quarantineError(request, history), origin.check(request.Service, history)); failure != nil {
			return failure
		}

		if failure := d.waitForLimits(ctx, request, history); failure != nil {
			return failure
		}

		slotRequest := newSlotRequest(request, sender.Progress(), exclude, &origin)
		slotRequest.Exclude = slices.Concat(slotRequest.Exclude, d.retryAfters.upstreams(time.Now(), request.Service),
			d.limitWaits.upstreams(time.Now(), request.Service))

		slot, err := d.slotter.Acquire(ctx, slotRequest)
		if err != nil {
			return acquireError(ctx, err, history)
		}

		// The request may have been quarantined while it waited.
		if failure := d.quarantineError(request, history); failure != nil {
			d.slotter.Release(slot, slotRequest, Outcome{Result: ResultSuperseded})

			return failure
		}

		// The slot was granted before the upstream sent its Retry-After, or before its rate limit was used up.
		left := max(d.retryAfters.remaining(time.Now(), slot.Upstream.Address), d.limitWaits.remaining(time.Now(), slot.Upstream.Address))
		if left > 0 {
			d.slotter.Release(slot, slotRequest, Outcome{Result: ResultSuperseded})

			declined++
			if declined == maxDeclinedSlots {
				return retryAfterError(history, left)
			}

			continue
		}

		// Whoever granted the slot may know other settings than those that the request began with.
		if !origin.accepts(slot.Upstream) {
			d.slotter.Release(slot, slotRequest, Outcome{Result: ResultSuperseded})

			exclude = append(exclude, slot.Upstream.Name)
			declined++

			if declined == maxDeclinedSlots {
				return origin.failure(history)
			}

			continue
		}

		if !d.admits(ctx, slot.Upstream.Address) {
			d.slotter.Release(slot, slotRequest, Outcome{Result: ResultSuperseded})

			continue
		}

		attempt := Attempt{Number: number, Slot: slot, Offset: sender.Progress(), History: history}
		ended, failed := d.sendAttempts(ctx, request, sender, attempt, slotRequest)
		number = ended.lastNumber + 1
		origin.record(ended.attempt.Slot.Upstream, sender.Progress())

		next := d.judge.Decide(request, ended.attempt, ended.outcome, sender.Progress())
		d.observer.AttemptEnded(request, ended.attempt, ended.outcome, next)

		if !next.Retry {
			return next.Err
		}

		history = ended.attempt.History.WithAttempt(ended.outcome)
		exclude = append(exclude, failed...)

		if next.Exclude {
			exclude = append(exclude, ended.attempt.Slot.Upstream.Name)
		}
	}
}

// newSlotRequest returns the slot request of the next attempt. progress is the number of tokens that the caller has;
// failed lists the upstreams that failed the request, the latest last; origin is what began the answer.
func newSlotRequest(request Request, progress int, failed []string, origin *answerOrigin) SlotRequest {
	return SlotRequest{
		RequestID:    request.ID,
		Service:      request.Service.Name,
		Class:        request.Class.Name,
		Organisation: request.Organisation.Name,
		Exclude:      excluded(request.Service, failed, origin),
		Waited:       time.Since(request.Arrived),
		Progress:     progress,
		Repeatable:   request.Repeatable,
		Prefixes:     request.Prefixes,
	}
}

// excluded returns the upstreams that the next attempt avoids: those that failed the request, the latest last. Once all
// have failed it, only the latest is avoided, or none if there is no other. Otherwise a service with one server would
// answer no_upstream after a single connection went silent, although a new connection to the same server works.
//
// Upstreams of another software version than the one that began the answer are always left out.
func excluded(service configurer.Service, failed []string, origin *answerOrigin) []string {
	others := origin.others(service)

	return append(others, avoided(service, failed, others)...)
}

// avoided returns the failed upstreams to avoid, as excluded describes. others are left out anyway.
func avoided(service configurer.Service, failed, others []string) []string {
	if len(failed) == 0 {
		return nil
	}

	usable := 0

	for name, upstream := range service.Upstreams {
		if upstream.Leaving || slices.Contains(others, name) {
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

// send runs one attempt and ends it early if the holder reclaims the slot. A request that is not repeatable keeps its
// slot: cancelled halfway, it may have run, could not be sent again, and its caller would get no answer at all.
func (d *Dispatcher) send(ctx context.Context, request Request, sender Sender, attempt Attempt) Outcome {
	outcome := d.sendUntilPreempted(ctx, request, sender, attempt)
	if outcome.RetryAfter > 0 {
		d.retryAfters.add(time.Now(), attempt.Slot.Upstream.Address, outcome.RetryAfter)
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

// retryAfterError returns the error of a request whose slots were all at upstreams that asked for no requests now.
func retryAfterError(history History, remaining time.Duration) *classifier.Error {
	failure := classifier.New(classifier.NoUpstream, "the upstreams want no requests now").After(remaining)
	failure.Ran = history.RanState()

	return failure
}

// acquireError converts a failed Acquire into the final error. A SlotGranter runs nothing, so whether the request ran
// follows from its attempts alone.
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
