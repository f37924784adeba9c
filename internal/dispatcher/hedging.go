package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// Hedger decides when a slow request deserves a second attempt beside the first.
type Hedger interface {
	// Delay returns how long to wait for the first token, or a plain answer; false means never to hedge.
	Delay(service string, class configurer.Class) (time.Duration, bool)
	// Spend pays for a second attempt right before it is sent; false means that the budget is empty.
	Spend(now time.Time, service string, class configurer.Class) bool
	// Observe takes the time that a request's first attempt needed, or at least needed when it was superseded.
	Observe(now time.Time, service string, class configurer.Class, firstToken time.Duration)
}

// SetHedger lets slow requests have a second attempt. Call it before the first request.
func (d *Dispatcher) SetHedger(hedger Hedger) {
	d.hedger = hedger
}

// step sends one attempt, or two at once, releases their slots, and returns the
// one attempt that the judge is to see, with the upstreams of another that failed.
func (d *Dispatcher) step(ctx context.Context, request Request, sender Sender, first Attempt, ask SlotRequest) (ended, []string) {
	after, ok := d.hedgeAfter(request, first)
	if !ok {
		outcome := d.send(ctx, request, sender, first)
		d.slotter.Release(first.Slot, ask, outcome)
		d.observe(request, first, outcome)
		d.tellEnd(request, first, outcome)

		return ended{attempt: first, outcome: outcome, last: first.Number}, nil
	}

	r := &race{
		dispatcher: d,
		request:    request,
		sender:     sender,
		cancels:    make(map[int]context.CancelFunc),
		owned:      make(chan struct{}),
		ended:      make(chan ended, 2),
	}

	r.launch(ctx, first, ask)
	r.hedge(ctx, after, first, ask)

	return r.collect()
}

// hedgeAfter returns how long to wait before a second attempt. Only the first
// attempt of a repeatable request is hedged: a second run of any other does harm.
func (d *Dispatcher) hedgeAfter(request Request, attempt Attempt) (time.Duration, bool) {
	if d.hedger == nil || !request.Repeatable || attempt.Number != 1 || attempt.Offset > 0 {
		return 0, false
	}

	return d.hedger.Delay(request.Service.Name, request.Class)
}

// observe tells the hedger how long a first attempt took. One that was
// superseded took at least until then; left out, it would make the class look
// faster with each hedge, and more and more would be hedged.
func (d *Dispatcher) observe(request Request, attempt Attempt, outcome Outcome) {
	if d.hedger == nil || attempt.Number != 1 {
		return
	}

	measure := outcome.FirstToken

	switch {
	case outcome.Result == ResultSuperseded:
		measure = outcome.Duration
	case outcome.Tokens == 0 && outcome.Result != ResultDone:
		return
	}

	d.hedger.Observe(time.Now(), request.Service.Name, request.Class, measure)
}

// ended is one attempt that is over.
type ended struct {
	attempt Attempt
	outcome Outcome
	// last is the highest number of an attempt in the step.
	last int
}

// race is one step of a request with up to two attempts at once. The answer is
// owned by the first that has something of it to deliver.
type race struct {
	dispatcher *Dispatcher
	request    Request
	sender     Sender
	// owned is closed when owner is set.
	owned chan struct{}
	// ended has room for both attempts.
	ended chan ended
	// running counts the attempts sent; only the request's own goroutine uses it.
	running int

	mu sync.Mutex
	// owner is the number of the attempt that owns the answer; 0 while none does. It never changes again.
	owner   int
	cancels map[int]context.CancelFunc
}

// own makes the attempt the owner of the answer, unless the other is, and
// cancels the other. Both may deliver at the same moment; without a single owner
// their tokens would mix in the answer.
func (r *race) own(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.owner == 0 {
		r.owner = number
		close(r.owned)

		for other, cancel := range r.cancels {
			if other != number {
				cancel()
			}
		}
	}

	return r.owner == number
}

// lost says whether the other attempt owns the answer.
func (r *race) lost(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.owner != 0 && r.owner != number
}

// launch sends an attempt in the background. It returns false when the answer has an owner already.
func (r *race) launch(ctx context.Context, attempt Attempt, ask SlotRequest) bool {
	attempt.claim = func() bool { return r.own(attempt.Number) }
	attemptContext, cancel := context.WithCancel(ctx)

	r.mu.Lock()
	if r.owner != 0 {
		r.mu.Unlock()
		cancel()

		return false
	}

	r.cancels[attempt.Number] = cancel
	r.mu.Unlock()

	r.running++

	go func() {
		defer cancel()

		outcome := r.dispatcher.send(attemptContext, r.request, r.sender, attempt)
		if outcome.Result == ResultRejected {
			// The request itself is wrong; the other attempt would be told the same.
			r.own(attempt.Number)
		}

		r.ended <- r.finish(attempt, ask, outcome)
	}()

	return true
}

// finish releases the slot of an attempt at once, whatever the other does. The
// end of a superseded attempt says nothing of its upstream: it was cancelled here.
func (r *race) finish(attempt Attempt, ask SlotRequest, outcome Outcome) ended {
	if r.lost(attempt.Number) {
		outcome = Outcome{Result: ResultSuperseded, Duration: outcome.Duration, DiscardedTokens: outcome.DiscardedTokens, Err: outcome.Err}
	}

	r.dispatcher.slotter.Release(attempt.Slot, ask, outcome)
	r.dispatcher.observe(r.request, attempt, outcome)
	r.dispatcher.tellEnd(r.request, attempt, outcome)

	return ended{attempt: attempt, outcome: outcome, last: attempt.Number}
}

// hedge sends a second attempt when the first has brought nothing in time, a
// slot is free and the budget pays. It returns as soon as that is settled.
func (r *race) hedge(ctx context.Context, after time.Duration, first Attempt, ask SlotRequest) {
	timer := time.NewTimer(after)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-r.owned:
		return
	case over := <-r.ended:
		r.ended <- over

		return
	}

	ask.Exclude = append(slices.Clone(ask.Exclude), first.Slot.Upstream.Name)
	ask.Exclude = append(ask.Exclude, r.dispatcher.rests.names(time.Now(), r.request.Service)...)
	ask.Waited = time.Since(r.request.Arrived)
	ask.Spare = true

	slot, ok := r.acquire(ctx, ask)
	if !ok {
		return
	}

	second := Attempt{Number: first.Number + 1, Slot: slot, History: first.History, Hedge: true}
	rests := r.dispatcher.rests.left(time.Now(), slot.Upstream.Address) > 0
	if _, held := r.dispatcher.held(r.request); !rests && !held && r.pay() && r.launch(ctx, second, ask) {
		return
	}

	r.dispatcher.slotter.Release(slot, ask, Outcome{Result: ResultSuperseded})
}

// acquire asks for a second slot and gives the ask up once the first attempt delivers or ends.
func (r *race) acquire(ctx context.Context, ask SlotRequest) (Slot, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	settled := make(chan struct{})
	watched := make(chan struct{})

	go func() {
		defer close(watched)

		select {
		case <-r.owned:
		case over := <-r.ended:
			r.ended <- over
		case <-settled:
			return
		}

		cancel()
	}()

	slot, err := r.dispatcher.slotter.Acquire(ctx, ask)

	close(settled)
	<-watched

	if err != nil {
		return Slot{}, false
	}

	if ctx.Err() != nil {
		r.dispatcher.slotter.Release(slot, ask, Outcome{Result: ResultSuperseded})

		return Slot{}, false
	}

	return slot, true
}

// pay spends the second attempt from the class's budget, unless it is too late for one.
func (r *race) pay() bool {
	select {
	case <-r.owned:
		return false
	default:
	}

	return r.dispatcher.hedger.Spend(time.Now(), r.request.Service.Name, r.request.Class)
}

// collect waits for all attempts. The owner of the answer stands for the step,
// or the last to end when there is none; the other's end goes into its history.
func (r *race) collect() (ended, []string) {
	var (
		stands  ended
		others  []ended
		exclude []string
	)

	for number := range r.running {
		over := <-r.ended

		switch {
		case number == 0:
			stands = over
		case r.lost(over.attempt.Number):
			others = append(others, over)
		default:
			others = append(others, stands)
			stands = over
		}
	}

	for _, other := range others {
		stands.last = max(stands.last, other.last)
		stands.attempt.History = stands.attempt.History.WithConcurrentAttempt(other.outcome)
		r.dispatcher.observer.AttemptEnded(r.request, other.attempt, other.outcome, RetryDecision{Reason: other.outcome.Result.String()})

		if other.outcome.Result != ResultSuperseded && other.outcome.Result != ResultPreempted {
			exclude = append(exclude, other.attempt.Slot.Upstream.Name)
		}
	}

	return stands, exclude
}
