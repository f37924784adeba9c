package dispatcher_test

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/retrier"
	"quincepath.example/quincepath/pkg/classifier"
)

// wholeAnswer is the number of tokens of every complete answer.
const wholeAnswer = 5

// script defines how an upstream handles a request.
type script struct {
	// first is the time to the first token, gap the time between tokens.
	first, gap time.Duration
	// result ends the attempt at its first token, or after breakAfter tokens, unless it is ResultDone.
	result     dispatcher.Result
	breakAfter int
	// ignoresCancel is true if the upstream ignores a cancellation until its first token.
	ignoresCancel bool
	// preemptAfter is when the slot is preempted; zero means never.
	preemptAfter time.Duration
	// version is the software version, grantedVersion that in the settings of whoever grants slots, if it knows another one.
	version, grantedVersion string
}

// fixture holds the upstreams, the slots and the caller's answer of one request.
type fixture struct {
	upstreams []script
	// spare is true if a second slot is granted, after spareWait; with spareAnyway it is granted even if the slot
	// request was cancelled.
	spare       bool
	spareAnyway bool
	spareWait   time.Duration
	// spareRefusals is how many requests for a second slot are refused before.
	spareRefusals int
	// maxRunning is the largest number of concurrent attempts.
	maxRunning int

	mu       sync.Mutex
	running  int
	answer   []int
	grants   int
	released map[string][]dispatcher.Outcome
	sent     []dispatcher.Attempt
	observed []dispatcher.Outcome
	decided  int
	judge    dispatcher.RetryPolicy
	// quarantine is nil if every request may run.
	quarantine dispatcher.Quarantine
	// limiter is nil if no upstream names a rate limit. maxWait is how long the request may wait.
	limiter dispatcher.RateLimiter
	maxWait time.Duration
}

func (f *fixture) Acquire(ctx context.Context, ask dispatcher.SlotRequest) (dispatcher.Slot, error) {
	if ask.Spare && f.spareRefusals > 0 {
		f.spareRefusals--

		return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "no slot is free")
	}

	if ask.Spare && !f.spare {
		return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "no slot is free")
	}

	if ask.Spare && !sleep(ctx, f.spareWait) && !f.spareAnyway {
		return dispatcher.Slot{}, ctx.Err()
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	for i, s := range f.upstreams {
		name := strconv.Itoa(i)
		if slices.Contains(ask.Exclude, name) {
			continue
		}

		f.grants++
		slot := dispatcher.Slot{ID: strconv.Itoa(f.grants), Upstream: configurer.Upstream{Name: name, Address: name, SoftwareVersion: s.version}}
		if s.grantedVersion != "" {
			slot.Upstream.SoftwareVersion = s.grantedVersion
		}

		if s.preemptAfter > 0 {
			preempted := make(chan struct{})
			time.AfterFunc(s.preemptAfter, func() { close(preempted) })
			slot.Preempted = preempted
		}

		return slot, nil
	}

	return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "none is left")
}

func (f *fixture) Release(slot dispatcher.Slot, _ dispatcher.SlotRequest, outcome dispatcher.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.released[slot.ID] = append(f.released[slot.ID], outcome)
}

func (f *fixture) Progress() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.answer)
}

func (f *fixture) Send(ctx context.Context, attempt dispatcher.Attempt) dispatcher.Outcome {
	f.mu.Lock()
	f.sent = append(f.sent, attempt)
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	f.mu.Unlock()

	started := time.Now()
	outcome := f.attempt(ctx, attempt)
	outcome.Duration = time.Since(started)

	f.mu.Lock()
	defer f.mu.Unlock()

	f.running--

	return outcome
}

func (f *fixture) attempt(ctx context.Context, attempt dispatcher.Attempt) dispatcher.Outcome {
	number, _ := strconv.Atoi(attempt.Slot.Upstream.Name)
	s := f.upstreams[number]

	if s.ignoresCancel {
		time.Sleep(s.first)
	} else if !sleep(ctx, s.first) {
		return dispatcher.Outcome{Result: dispatcher.ResultCallerGone}
	}

	if s.result != dispatcher.ResultDone && s.breakAfter == 0 {
		return dispatcher.Outcome{Result: s.result}
	}

	if !attempt.TryOwn() {
		return dispatcher.Outcome{Result: dispatcher.ResultFailed, DiscardedTokens: 1}
	}

	outcome := dispatcher.Outcome{FirstToken: s.first}

	for token := attempt.Offset; token < wholeAnswer; token++ {
		f.mu.Lock()
		f.answer = append(f.answer, token)
		f.mu.Unlock()

		outcome.Tokens++

		if s.result != dispatcher.ResultDone && outcome.Tokens == s.breakAfter {
			outcome.Result = s.result

			return outcome
		}

		if !sleep(ctx, s.gap) {
			outcome.Result = dispatcher.ResultCallerGone

			return outcome
		}
	}

	return outcome
}

func (f *fixture) Decide(request dispatcher.Request, attempt dispatcher.Attempt, outcome dispatcher.Outcome, progress int) dispatcher.RetryDecision {
	f.decided++

	return f.judge.Decide(request, attempt, outcome, progress)
}

func (f *fixture) AttemptEnded(_ dispatcher.Request, _ dispatcher.Attempt, outcome dispatcher.Outcome, _ dispatcher.RetryDecision) {
	f.observed = append(f.observed, outcome)
}

// run runs one request of a class whose first tokens take up to 100 ms. The class's own budget allows 10 extra attempts,
// of which spent are used up, and the node's floor allows none.
func (f *fixture) run(ctx context.Context, repeatable bool, spent int) *classifier.Error {
	class := configurer.Class{Name: "counter", Hedge: true, Repeatable: true, RetryBudget: 0.1, MaxWait: f.maxWait}
	upstreams := make(map[string]configurer.Upstream)

	for i, s := range f.upstreams {
		name := strconv.Itoa(i)
		upstreams[name] = configurer.Upstream{Name: name, Address: name, SoftwareVersion: s.version}
	}

	judge := retrier.New(retrier.Options{MinRetryBurst: -1, MinRetriesPerSecond: 1e-9})
	hedger := retrier.NewHedger(judge.Budget())

	for range 200 {
		hedger.Observe(time.Now(), "assistente", class, 95*time.Millisecond)
	}

	for range spent {
		hedger.Spend(time.Now(), "assistente", class)
	}

	f.judge = judge
	f.released = make(map[string][]dispatcher.Outcome)

	d := dispatcher.New(f, f, f)
	d.SetHedger(hedger)

	if f.quarantine != nil {
		d.SetQuarantine(f.quarantine)
	}

	if f.limiter != nil {
		d.SetRateLimiter(f.limiter)
	}

	return d.Run(ctx, dispatcher.Request{
		ID:         "r",
		Service:    configurer.Service{Name: "assistente", Upstreams: upstreams},
		Class:      class,
		Repeatable: repeatable,
		Arrived:    time.Now(),
	}, f)
}

// problem returns an invariant that the schedule violated, or "".
func (f *fixture) problem() string {
	for i, token := range f.answer {
		if token != i {
			return "a token is lost, doubled or mixed"
		}
	}

	if len(f.released) != f.grants {
		return "a slot is not released"
	}

	for _, outcomes := range f.released {
		if len(outcomes) != 1 {
			return "a slot is released twice"
		}
	}

	if len(f.observed) != len(f.sent) {
		return "an attempt is not observed once"
	}

	for i := range f.sent {
		if f.sent[i].Number != i+1 {
			return "two attempts have one number"
		}
	}

	return ""
}

func (f *fixture) check(t *testing.T) {
	t.Helper()
	assert.Equal(t, f.problem(), "")
}

// results returns the results of all attempts in the order of their grants.
func (f *fixture) results() []string {
	var names []string

	for number := range f.grants {
		names = append(names, f.released[strconv.Itoa(number+1)][0].Result.String())
	}

	return names
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
