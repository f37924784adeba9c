package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// Hedger decides when a slow request gets a hedge: a second attempt that runs concurrently with the first.
type Hedger interface {
	// Delay returns how long to wait for the first token, or a plain answer; false means never to hedge.
	Delay(service string, class configurer.Class) (time.Duration, bool)
	// Spend takes a second attempt from the budget right before it is sent; false means that the budget is empty.
	Spend(now time.Time, service string, class configurer.Class) bool
	// Observe records the time that a request's first attempt needed, or the time until it was superseded.
	Observe(now time.Time, service string, class configurer.Class, firstToken time.Duration)
}

// SetHedger makes the dispatcher hedge slow requests. Call it before the first request.
func (d *Dispatcher) SetHedger(hedger Hedger) {
	d.hedger = hedger
}

// sendAttempts sends one attempt, or two concurrently, and releases their slots. It returns the one attempt that the
// retry policy evaluates, with the upstreams of another attempt that failed.
func (d *Dispatcher) sendAttempts(ctx context.Context, request Request, sender Sender, first Attempt, slotRequest SlotRequest) (endedAttempt, []string) {
	after, ok := d.hedgeAfter(request, first)
	if !ok {
		outcome := d.send(ctx, request, sender, first)
		d.slotter.Release(first.Slot, slotRequest, outcome)
		d.observe(request, first, outcome)
		d.reportEnd(request, first, outcome)

		return endedAttempt{attempt: first, outcome: outcome, lastNumber: first.Number}, nil
	}

	r := &race{
		dispatcher: d,
		request:    request,
		sender:     sender,
		cancels:    make(map[int]context.CancelFunc),
		owned:      make(chan struct{}),
		ended:      make(chan endedAttempt, 2),
	}

	r.launch(ctx, first, slotRequest)
	r.hedge(ctx, after, first, slotRequest)

	return r.collect()
}

// hedgeAfter returns how long to wait before a second attempt. Only the first attempt of a repeatable request is hedged:
// running any other request twice does harm.
func (d *Dispatcher) hedgeAfter(request Request, attempt Attempt) (time.Duration, bool) {
	if d.hedger == nil || !request.Repeatable || attempt.Number != 1 || attempt.Offset > 0 {
		return 0, false
	}

	return d.hedger.Delay(request.Service.Name, request.Class)
}

// observe reports to the hedger how long a first attempt took. A superseded one took at least until then. Without it,
// the class would look faster with each hedge, and more and more requests would be hedged.
func (d *Dispatcher) observe(request Request, attempt Attempt, outcome Outcome) {
	if d.hedger == nil || attempt.Number != 1 {
		return
	}

	elapsed := outcome.FirstToken

	switch {
	case outcome.Result == ResultSuperseded:
		elapsed = outcome.Duration
	case outcome.Tokens == 0 && outcome.Result != ResultDone:
		return
	}

	d.hedger.Observe(time.Now(), request.Service.Name, request.Class, elapsed)
}

// endedAttempt is one attempt that is over.
type endedAttempt struct {
	attempt Attempt
	outcome Outcome
	// lastNumber is the highest attempt number of the race.
	lastNumber int
}

// race runs up to two concurrent attempts of a request. The first that has something to deliver owns the answer.
type race struct {
	dispatcher *Dispatcher
	request    Request
	sender     Sender
	// owned is closed when owner is set.
	owned chan struct{}
	// ended has room for both attempts.
	ended chan endedAttempt
	// running counts the attempts sent; it is only used by the goroutine of the request.
	running int

	mu sync.Mutex
	// owner is the number of the attempt that owns the answer; 0 while there is none. Once set, it never changes.
	owner   int
	cancels map[int]context.CancelFunc
}

// own makes the attempt the owner of the answer, unless the other attempt is, and cancels the other. Both may deliver at
// the same moment; without a single owner their tokens would be mixed in the answer.
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

// lost reports whether the other attempt owns the answer.
func (r *race) lost(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.owner != 0 && r.owner != number
}

// launch sends an attempt in the background. It returns false if the answer already has an owner.
func (r *race) launch(ctx context.Context, attempt Attempt, slotRequest SlotRequest) bool {
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
			// The request itself is invalid; the other attempt would be rejected too.
			r.own(attempt.Number)
		}

		r.ended <- r.release(attempt, slotRequest, outcome)
	}()

	return true
}

// release releases the slot of an attempt at once, independently of the other attempt. The end of a superseded attempt
// says nothing about its upstream: it was cancelled by this node.
func (r *race) release(attempt Attempt, slotRequest SlotRequest, outcome Outcome) endedAttempt {
	if r.lost(attempt.Number) {
		outcome = Outcome{Result: ResultSuperseded, Duration: outcome.Duration, DiscardedTokens: outcome.DiscardedTokens, Err: outcome.Err}
	}

	r.dispatcher.slotter.Release(attempt.Slot, slotRequest, outcome)
	r.dispatcher.observe(r.request, attempt, outcome)
	r.dispatcher.reportEnd(r.request, attempt, outcome)

	return endedAttempt{attempt: attempt, outcome: outcome, lastNumber: attempt.Number}
}

// hedge sends a second attempt if the first has delivered nothing in time, a slot is free and the budget allows it. While no slot
// is free it tries again after twice the time: the first attempt may wait for seconds, and slots become free meanwhile. It
// returns as soon as it is decided.
func (r *race) hedge(ctx context.Context, after time.Duration, first Attempt, slotRequest SlotRequest) {
	slotRequest.Spare = true
	excluded := append(slices.Clone(slotRequest.Exclude), first.Slot.Upstream.Name)

	var slot Slot

	for hasSlot := false; !hasSlot; after *= 2 {
		if !r.wait(ctx, after) {
			return
		}

		slotRequest.Exclude = slices.Concat(excluded, r.dispatcher.retryAfters.upstreams(time.Now(), r.request.Service),
			r.dispatcher.limitWaits.upstreams(time.Now(), r.request.Service))
		slotRequest.Waited = time.Since(r.request.Arrived)
		slot, hasSlot = r.acquireSpare(ctx, slotRequest)
	}

	second := Attempt{Number: first.Number + 1, Slot: slot, History: first.History, Hedge: true}
	mustWait := r.dispatcher.retryAfters.remaining(time.Now(), slot.Upstream.Address) > 0
	if _, held := r.dispatcher.inQuarantine(r.request); !mustWait && !held && r.dispatcher.admits(ctx, slot.Upstream.Address) && r.spend() && r.launch(ctx, second, slotRequest) {
		return
	}

	r.dispatcher.slotter.Release(slot, slotRequest, Outcome{Result: ResultSuperseded})
}

// wait reports whether the first attempt has neither delivered nor ended after the given time.
func (r *race) wait(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-r.owned:
		return false
	case ended := <-r.ended:
		r.ended <- ended

		return false
	case <-ctx.Done():
		return false
	}
}

// acquireSpare acquires a second slot, and gives up once the first attempt delivers or ends.
func (r *race) acquireSpare(ctx context.Context, slotRequest SlotRequest) (Slot, bool) {
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

	slot, err := r.dispatcher.slotter.Acquire(ctx, slotRequest)

	close(settled)
	<-watched

	if err != nil {
		return Slot{}, false
	}

	if ctx.Err() != nil {
		r.dispatcher.slotter.Release(slot, slotRequest, Outcome{Result: ResultSuperseded})

		return Slot{}, false
	}

	return slot, true
}

// spend takes the second attempt from the class's budget, unless the answer already has an owner.
func (r *race) spend() bool {
	select {
	case <-r.owned:
		return false
	default:
	}

	return r.dispatcher.hedger.Spend(time.Now(), r.request.Service.Name, r.request.Class)
}

// collect waits for all attempts. The owner of the answer represents them, or the last to end if there is no owner; the
// outcome of the other is added to its history.
func (r *race) collect() (endedAttempt, []string) {
	var (
		representative endedAttempt
		others         []endedAttempt
		exclude        []string
	)

	for number := range r.running {
		ended := <-r.ended

		switch {
		case number == 0:
			representative = ended
		case r.lost(ended.attempt.Number):
			others = append(others, ended)
		default:
			others = append(others, representative)
			representative = ended
		}
	}

	for _, other := range others {
		representative.lastNumber = max(representative.lastNumber, other.lastNumber)
		representative.attempt.History = representative.attempt.History.WithConcurrentAttempt(other.outcome)
		r.dispatcher.observer.AttemptEnded(r.request, other.attempt, other.outcome, RetryDecision{Reason: other.outcome.Result.String()})

		if other.outcome.Result != ResultSuperseded && other.outcome.Result != ResultPreempted {
			exclude = append(exclude, other.attempt.Slot.Upstream.Name)
		}
	}

	return representative, exclude
}
