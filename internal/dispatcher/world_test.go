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

// wholeAnswer is the number of tokens of every answer.
const wholeAnswer = 5

// script says what an upstream does with a request.
type script struct {
	// first is the time to the first token, gap that between tokens.
	first, gap time.Duration
	// result ends the attempt at its first token, or after breakAfter tokens, unless it is ResultDone.
	result     dispatcher.Result
	breakAfter int
	// deaf goes on until its first token after a cancel.
	deaf bool
	// preemptAfter takes the slot back; zero means never.
	preemptAfter time.Duration
}

// world is the upstreams, the slots and the caller's answer of one request.
type world struct {
	upstreams []script
	// spare says whether a second slot is granted, after spareWait; spareAnyway even if the ask is given up.
	spare       bool
	spareAnyway bool
	spareWait   time.Duration
	// flights is the largest number of attempts that ran at once.
	flights int

	mu       sync.Mutex
	running  int
	answer   []int
	grants   int
	released map[string][]dispatcher.Outcome
	sent     []dispatcher.Attempt
	observed []dispatcher.Outcome
	decided  int
	judge    dispatcher.RetryPolicy
	// quarantine is nil when every request may run.
	quarantine dispatcher.Quarantine
}

func (w *world) Acquire(ctx context.Context, ask dispatcher.SlotRequest) (dispatcher.Slot, error) {
	if ask.Spare && !w.spare {
		return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "no slot is free")
	}

	if ask.Spare && !sleep(ctx, w.spareWait) && !w.spareAnyway {
		return dispatcher.Slot{}, ctx.Err()
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	for i, s := range w.upstreams {
		name := strconv.Itoa(i)
		if slices.Contains(ask.Exclude, name) {
			continue
		}

		w.grants++
		slot := dispatcher.Slot{ID: strconv.Itoa(w.grants), Upstream: configurer.Upstream{Name: name}}

		if s.preemptAfter > 0 {
			preempted := make(chan struct{})
			time.AfterFunc(s.preemptAfter, func() { close(preempted) })
			slot.Preempted = preempted
		}

		return slot, nil
	}

	return dispatcher.Slot{}, classifier.New(classifier.NoUpstream, "none is left")
}

func (w *world) Release(slot dispatcher.Slot, _ dispatcher.SlotRequest, outcome dispatcher.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.released[slot.ID] = append(w.released[slot.ID], outcome)
}

func (w *world) Progress() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return len(w.answer)
}

func (w *world) Send(ctx context.Context, attempt dispatcher.Attempt) dispatcher.Outcome {
	w.mu.Lock()
	w.sent = append(w.sent, attempt)
	w.running++
	w.flights = max(w.flights, w.running)
	w.mu.Unlock()

	started := time.Now()
	outcome := w.attempt(ctx, attempt)
	outcome.Duration = time.Since(started)

	w.mu.Lock()
	defer w.mu.Unlock()

	w.running--

	return outcome
}

func (w *world) attempt(ctx context.Context, attempt dispatcher.Attempt) dispatcher.Outcome {
	number, _ := strconv.Atoi(attempt.Slot.Upstream.Name)
	s := w.upstreams[number]

	if s.deaf {
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
		w.mu.Lock()
		w.answer = append(w.answer, token)
		w.mu.Unlock()

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

func (w *world) Decide(request dispatcher.Request, attempt dispatcher.Attempt, outcome dispatcher.Outcome, progress int) dispatcher.RetryDecision {
	w.decided++

	return w.judge.Decide(request, attempt, outcome, progress)
}

func (w *world) AttemptEnded(_ dispatcher.Request, _ dispatcher.Attempt, outcome dispatcher.Outcome, _ dispatcher.RetryDecision) {
	w.observed = append(w.observed, outcome)
}

// run carries one request of a class whose first tokens take up to 100 ms. The
// class's own budget pays for 10 extra attempts less spent, and the node's floor for none.
func (w *world) run(ctx context.Context, repeatable bool, spent int) *classifier.Error {
	class := configurer.Class{Name: "counter", Hedge: true, Repeatable: true, RetryBudget: 0.1}
	judge := retrier.New(retrier.Options{MinRetryBurst: -1, MinRetriesPerSecond: 1e-9})
	hedger := retrier.NewHedger(judge.Budget())

	for range 200 {
		hedger.Observe(time.Now(), "assistente", class, 95*time.Millisecond)
	}

	for range spent {
		hedger.Spend(time.Now(), "assistente", class)
	}

	w.judge = judge
	w.released = make(map[string][]dispatcher.Outcome)

	d := dispatcher.New(w, w, w)
	d.SetHedger(hedger)

	if w.quarantine != nil {
		d.SetQuarantine(w.quarantine)
	}

	return d.Run(ctx, dispatcher.Request{
		ID:         "r",
		Service:    configurer.Service{Name: "assistente"},
		Class:      class,
		Repeatable: repeatable,
		Arrived:    time.Now(),
	}, w)
}

// problem says what no schedule may bring about, or "".
func (w *world) problem() string {
	for i, token := range w.answer {
		if token != i {
			return "a token is lost, doubled or mixed"
		}
	}

	if len(w.released) != w.grants {
		return "a slot is not released"
	}

	for _, outcomes := range w.released {
		if len(outcomes) != 1 {
			return "a slot is released twice"
		}
	}

	if len(w.observed) != len(w.sent) {
		return "an attempt is not observed once"
	}

	for i := range w.sent {
		if w.sent[i].Number != i+1 {
			return "two attempts have one number"
		}
	}

	return ""
}

func (w *world) check(t *testing.T) {
	t.Helper()
	assert.Equal(t, w.problem(), "")
}

// results are the ends of all attempts, by the number of their grant.
func (w *world) results() []string {
	var names []string

	for number := range w.grants {
		names = append(names, w.released[strconv.Itoa(number+1)][0].Result.String())
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
