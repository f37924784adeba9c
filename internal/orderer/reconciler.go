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

// callsAtOnce bounds the calls of engines by one orderer.
const callsAtOnce = 16

// mayOrder says whether the engine may be ordered yet.
//
// An order of an earlier orderer that was paused, or that is still on its way, takes effect at an
// engine that ignores numbers whenever it comes. Orders before that time could be undone after
// they were read back, and stay so until the next look.
func (t *term) mayOrder(upstream configurer.Upstream) bool {
	return upstream.ChecksFencing || !time.Now().Before(t.settled)
}

// round looks at all engines and sends each at most one order. It says whether more may be due at once.
func (o *Orderer) round(ctx context.Context, t *term, service configurer.Service) bool {
	bounds := boundsOf(service)
	engines := o.read(ctx, service)

	if o.outranked(engines, t) {
		t.End()

		return false
	}

	o.loads.setBounds(bounds)
	o.closeLoads(bounds, engines)

	o.endSwap(service, engines)

	due := o.withRecordedLoads(ctx, t, o.newPlanner(service, engines).plan(ctx, t))
	outcomes := make([]outcome, len(due))

	atOnce(len(due), func(i int) { outcomes[i] = o.carryOut(ctx, t, due[i]) })

	for i, next := range due {
		o.note(t, next, outcomes[i])
	}

	return len(due) > 0
}

// withRecordedLoads returns the orders that may leave: loads only once they are written down for the next orderer.
func (o *Orderer) withRecordedLoads(ctx context.Context, t *term, due []planned) []planned {
	isLoad := func(p planned) bool { return p.order.loads() }
	if !slices.ContainsFunc(due, isLoad) {
		return due
	}

	if err := o.recordLoads(ctx, t); err == nil {
		return due
	}

	for _, next := range due {
		if isLoad(next) {
			o.options.Counters.NotSent.Add(1)
			o.loads.done(next.key())
		}
	}

	return slices.DeleteFunc(due, isLoad)
}

// read returns the engines that answer, in order of their names.
func (o *Orderer) read(ctx context.Context, service configurer.Service) []engine {
	names := slices.Sorted(maps.Keys(service.Upstreams))
	found := make([]*engine, len(names))

	atOnce(len(names), func(i int) {
		upstream := service.Upstreams[names[i]]

		state, err := o.state(ctx, upstream)
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

func (o *Orderer) state(ctx context.Context, upstream configurer.Upstream) (State, error) {
	call, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()

	return o.options.Engines.State(call, upstream)
}

// atOnce runs do for 0 to count-1, some at a time, and returns when all have ended.
func atOnce(count int, do func(i int)) {
	var group sync.WaitGroup

	free := make(chan struct{}, callsAtOnce)

	for i := range count {
		free <- struct{}{}

		group.Go(func() {
			defer func() { <-free }()

			do(i)
		})
	}

	group.Wait()
}

// outranked says whether an engine has seen a higher number than this term's. The next number is
// taken above it, also when the store has lost the numbers.
func (o *Orderer) outranked(engines []engine, t *term) bool {
	for _, e := range engines {
		if seen := e.state.HighestFencing; seen < highestLeap {
			o.seenFencing = max(o.seenFencing, seen)
		}
	}

	return o.seenFencing > t.Number
}

// closeLoads ends the loads that the engines show, and those that have taken too long.
func (o *Orderer) closeLoads(bounds configurer.Orders, engines []engine) {
	for _, e := range engines {
		for _, name := range e.state.Models {
			o.loads.done(planned{e, Order{LoadModel, name}}.key())
		}

		for _, name := range e.state.Adapters {
			o.loads.done(planned{e, Order{LoadAdapter, name}}.key())
		}

		o.crashes.clear(e.state)
	}

	o.crashes.keep(engines)

	for _, next := range o.loads.broken(engines) {
		o.crashes.note(next.order, next.engine.upstream.Name)
		o.failed(next.key())
	}

	o.forgetDelays(bounds.LongestPause)

	for _, key := range o.loads.overdue(bounds.LoadTimeout) {
		o.options.Counters.ReadBackMismatches.Add(1)
		o.failed(key)
	}
}

// outcome is what became of an order.
type outcome struct {
	// sent means that the order may have reached the engine.
	sent bool
	err  error
	// shown means that the state read back has the order's effect, silent that the engine didn't answer any more.
	shown, silent bool
}

// carryOut sends an order, if the term allows it at this very moment, and reads the state back.
func (o *Orderer) carryOut(ctx context.Context, t *term, next planned) outcome {
	left := t.Remaining()
	if left <= 0 {
		o.options.Counters.NotSent.Add(1)

		return outcome{}
	}

	call, cancel := context.WithTimeout(ctx, min(o.options.CallTimeout, left))
	defer cancel()

	o.options.Counters.Sent.Add(1)

	got := outcome{sent: true}
	got.err = o.options.Engines.Send(call, next.engine.upstream, next.order, t.Number)

	state, err := o.state(ctx, next.engine.upstream)
	got.silent = err != nil
	got.shown = err == nil && state.shows(next.order)

	return got
}

// note counts an outcome and holds the order back if it failed.
func (o *Orderer) note(t *term, next planned, got outcome) {
	key := next.key()
	counters := o.options.Counters

	switch {
	case !got.sent:
		o.loads.done(key)

		return
	case errors.Is(got.err, ErrFenced):
		counters.RefusedByFencing.Add(1)
		o.loads.done(key)
		t.End()

		return
	case got.err != nil:
		counters.SendFailed.Add(1)
	case !got.shown && !next.order.loads():
		counters.ReadBackMismatches.Add(1)
	}

	if got.silent {
		o.crashes.note(next.order, next.engine.upstream.Name)
	}

	switch {
	case got.shown:
		o.loads.done(key)
		delete(o.delays, key)
	case next.order.loads() && got.err == nil:
		// The engine took the order and still loads.
	default:
		o.failed(key)
		o.loads.done(key)
	}
}
