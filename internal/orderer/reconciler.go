package orderer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
)

// maxConcurrentCalls is the maximum number of concurrent calls of one orderer to engines.
const maxConcurrentCalls = 16

// mayOrder reports whether orders may be sent to the engine yet.
//
// An engine that ignores fencing numbers applies an order of an earlier orderer whenever it arrives, also late after a pause
// or in transit. An order sent before ordersAllowedAt could be undone by it after it was read back, and would stay undone
// until the next round.
func (t *term) mayOrder(upstream configurer.Upstream) bool {
	return upstream.ChecksFencing || !time.Now().Before(t.ordersAllowedAt)
}

// reconcile reads the states of all engines and sends each at most one order. It reports whether orders were due, so that
// the next round should follow soon.
func (o *Orderer) reconcile(ctx context.Context, t *term, service configurer.Service) bool {
	bounds := ordersWithDefaults(service)
	engines := o.readEngines(ctx, service)

	if o.isSuperseded(engines, t) {
		t.End()

		return false
	}

	o.loadLimiter.setRate(bounds)
	o.updateLoads(bounds, engines)

	o.updateUnloadFirst(service, engines)

	due := o.recordDueLoads(ctx, t, o.newPlanner(service, engines).plan(ctx, t))
	outcomes := make([]outcome, len(due))

	runConcurrently(len(due), func(i int) { outcomes[i] = o.sendOrder(ctx, t, due[i]) })

	for i, next := range due {
		o.recordOutcome(t, next, outcomes[i])
	}

	return len(due) > 0
}

// recordDueLoads returns the orders that may be sent. They include loads only if these could be stored for the next orderer.
func (o *Orderer) recordDueLoads(ctx context.Context, t *term, due []plannedOrder) []plannedOrder {
	isLoad := func(p plannedOrder) bool { return p.order.isLoad() }
	if !slices.ContainsFunc(due, isLoad) {
		return due
	}

	if err := o.recordLoads(ctx, t); err == nil {
		return due
	}

	for _, next := range due {
		if isLoad(next) {
			o.options.Counters.NotSent.Add(1)
			o.loadLimiter.remove(next.key())
		}
	}

	return slices.DeleteFunc(due, isLoad)
}

// readEngines returns the engines that respond, sorted by name.
func (o *Orderer) readEngines(ctx context.Context, service configurer.Service) []engine {
	names := slices.Sorted(maps.Keys(service.Upstreams))
	found := make([]*engine, len(names))

	runConcurrently(len(names), func(i int) {
		upstream := service.Upstreams[names[i]]

		state, err := o.readState(ctx, upstream)
		if err == nil {
			found[i] = &engine{upstream: upstream, desired: service.DesiredOf(upstream), state: state}
		}
	})

	var engines []engine

	for _, e := range found {
		if e != nil {
			engines = append(engines, *e)
		}
	}

	return engines
}

func (o *Orderer) readState(ctx context.Context, upstream configurer.Upstream) (State, error) {
	callCtx, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()

	return o.options.Engines.State(callCtx, upstream)
}

// runConcurrently calls do for 0 to count-1, with at most maxConcurrentCalls calls at a time, and returns when all have
// returned.
func runConcurrently(count int, do func(i int)) {
	var group sync.WaitGroup

	slots := make(chan struct{}, maxConcurrentCalls)

	for i := range count {
		slots <- struct{}{}

		group.Go(func() {
			defer func() { <-slots }()

			do(i)
		})
	}

	group.Wait()
}

// isSuperseded reports whether an engine has seen a higher fencing number than this term's. It updates highestSeenFencing, so
// that the next term's number is above it even if the store has lost its number.
func (o *Orderer) isSuperseded(engines []engine, t *term) bool {
	for _, e := range engines {
		if seen := e.state.HighestFencing; seen < maxExactJSONInteger {
			o.highestSeenFencing = max(o.highestSeenFencing, seen)
		}
	}

	return o.highestSeenFencing > t.Number
}

// updateLoads removes pending loads that have finished, were interrupted or are overdue, and updates crashes and retries.
func (o *Orderer) updateLoads(bounds configurer.Orders, engines []engine) {
	for _, e := range engines {
		for _, name := range e.state.Models {
			o.loadLimiter.remove(plannedOrder{e, Order{LoadModel, name}}.key())
		}

		for _, name := range e.state.Adapters {
			o.loadLimiter.remove(plannedOrder{e, Order{LoadAdapter, name}}.key())
		}

		o.crashes.removeReflected(e.state)
	}

	o.crashes.retainDue(engines)

	for _, next := range o.loadLimiter.removeInterrupted(engines) {
		o.crashes.record(next.order, next.engine.upstream.Name)
		o.scheduleRetry(next.key())
	}

	o.pruneRetries(bounds.LongestPause)

	for _, key := range o.loadLimiter.removeOverdue(bounds.LoadTimeout) {
		o.options.Counters.ReadBackMismatches.Add(1)
		o.scheduleRetry(key)
	}
}

// outcome is the result of sending an order.
type outcome struct {
	// sent means that the order may have reached the engine.
	sent bool
	err  error
	// reflected means that the state read back has the order's effect, unresponsive that it could not be read.
	reflected, unresponsive bool
}

// sendOrder sends an order if the term is still valid, and reads the engine's state back.
func (o *Orderer) sendOrder(ctx context.Context, t *term, next plannedOrder) outcome {
	remaining := t.Remaining()
	if remaining <= 0 {
		o.options.Counters.NotSent.Add(1)

		return outcome{}
	}

	callCtx, cancel := context.WithTimeout(ctx, min(o.options.CallTimeout, remaining))
	defer cancel()

	o.options.Counters.Sent.Add(1)

	got := outcome{sent: true}
	got.err = o.options.Engines.Send(callCtx, next.engine.upstream, next.order, t.Number)

	state, err := o.readState(ctx, next.engine.upstream)
	got.unresponsive = err != nil
	got.reflected = err == nil && state.reflects(next.order)

	return got
}

// recordOutcome updates the counters, and schedules a retry if the order failed.
func (o *Orderer) recordOutcome(t *term, next plannedOrder, got outcome) {
	key := next.key()
	counters := o.options.Counters

	switch {
	case !got.sent:
		o.loadLimiter.remove(key)

		return
	case errors.Is(got.err, ErrFenced):
		counters.RefusedByFencing.Add(1)
		o.loadLimiter.remove(key)
		t.End()

		return
	case got.err != nil:
		counters.SendFailed.Add(1)
	case !got.reflected && !next.order.isLoad():
		counters.ReadBackMismatches.Add(1)
	}

	if got.unresponsive {
		o.crashes.record(next.order, next.engine.upstream.Name)
	}

	switch {
	case got.reflected:
		o.loadLimiter.remove(key)
		delete(o.retries, key)
	case next.order.isLoad() && got.err == nil:
		// The engine accepted the order and is still loading.
	default:
		o.scheduleRetry(key)
		o.loadLimiter.remove(key)
	}
}
