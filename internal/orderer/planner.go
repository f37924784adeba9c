package orderer

import (
	"context"
	"slices"

	"quincepath.example/quincepath/internal/configurer"
)

// engine is one upstream with what it holds and what it should hold.
type engine struct {
	upstream configurer.Upstream
	desired  configurer.Desired
	state    State
}

// planned is an order that is due at an upstream.
type planned struct {
	engine engine
	order  Order
}

func (p planned) key() string {
	return p.engine.upstream.Name + " " + string(p.order.Kind) + " " + p.order.Name
}

// differences returns the orders that bring the engine into its desired state. Loads come
// first, so that a swap never leaves a moment without the old and the new model.
func (e engine) differences() []Order {
	var orders []Order

	if e.desired.Role != "" && e.desired.Role != e.state.Role {
		orders = append(orders, Order{Kind: SetRole, Name: e.desired.Role})
	}

	orders = append(orders, missing(LoadModel, e.desired.Models, e.state.Models)...)
	orders = append(orders, missing(LoadAdapter, e.desired.Adapters, e.state.Adapters)...)

	if e.desired.Adapters != nil {
		orders = append(orders, missing(UnloadAdapter, e.state.Adapters, e.desired.Adapters)...)
	}

	if e.desired.Models != nil {
		orders = append(orders, missing(UnloadModel, e.state.Models, e.desired.Models)...)
	}

	return orders
}

// missing returns an order for each name of want that have lacks.
func missing(kind Kind, want, have []string) []Order {
	var orders []Order

	for _, name := range slices.Sorted(slices.Values(want)) {
		if !slices.Contains(have, name) {
			orders = append(orders, Order{Kind: kind, Name: name})
		}
	}

	return orders
}

// shows says whether the state has the order's effect.
func (s State) shows(order Order) bool {
	switch order.Kind {
	case LoadModel:
		return slices.Contains(s.Models, order.Name)
	case UnloadModel:
		return !slices.Contains(s.Models, order.Name)
	case LoadAdapter:
		return slices.Contains(s.Adapters, order.Name)
	case UnloadAdapter:
		return !slices.Contains(s.Adapters, order.Name)
	default:
		return s.Role == order.Name
	}
}

// planner chooses the next order of each engine.
type planner struct {
	orderer *Orderer
	bounds  configurer.Orders
	engines []engine
	// copies counts the staying engines that hold what an unload would remove.
	copies map[Order]int
	// desired has what any staying engine is to hold, whether it answers or not.
	desired map[Order]bool
}

func (o *Orderer) newPlanner(service configurer.Service, engines []engine) *planner {
	p := &planner{
		orderer: o,
		bounds:  boundsOf(service),
		engines: engines,
		copies:  make(map[Order]int),
		desired: make(map[Order]bool),
	}

	for _, e := range engines {
		p.count(e)
	}

	for _, upstream := range service.Upstreams {
		desired := service.DesiredOf(upstream)
		if upstream.Leaving {
			continue
		}

		for _, order := range unloads(desired.Models, desired.Adapters) {
			p.desired[order] = true
		}
	}

	return p
}

// count adds an engine's copies. One whose unload was ordered and is not yet shown is no copy
// to rely on: the order may take effect late, and with it the last copy would be gone.
func (p *planner) count(e engine) {
	if e.upstream.Leaving {
		return
	}

	for _, order := range unloads(e.state.Models, e.state.Adapters) {
		if p.orderer.delays[planned{e, order}.key()] == nil {
			p.copies[order]++
		}
	}
}

// unloads returns the orders that would remove all of these.
func unloads(models, adapters []string) []Order {
	return append(missing(UnloadModel, models, nil), missing(UnloadAdapter, adapters, nil)...)
}

// plan returns at most one order for each engine.
func (p *planner) plan(ctx context.Context, t *term) []planned {
	var due []planned

	for _, e := range p.engines {
		// A leaving engine takes nothing new; loads for it would only burden the weight store.
		if e.upstream.Leaving || !t.mayOrder(e.upstream) {
			continue
		}

		if next, ok := p.next(ctx, t, e); ok {
			due = append(due, next)
		}
	}

	return due
}

func (p *planner) next(ctx context.Context, t *term, e engine) (planned, bool) {
	// lacking means that a load has failed.
	lacking := false

	for _, order := range p.orderer.crashes.order(e.differences()) {
		next := planned{engine: e, order: order}

		if p.orderer.loads.underWay(next.key()) {
			return next, false
		}

		// An order that fails does not hold back the next: an engine without room for a
		// new model has to unload the old one first.
		if p.orderer.delayed(next.key()) {
			lacking = lacking || order.loads()
			continue
		}

		if p.orderer.crashes.holds(order) {
			p.orderer.options.Counters.CrashingDeferred.Add(1)

			lacking = lacking || order.loads()

			continue
		}

		if order.unloads() && (!p.maySwap(e, lacking) || !p.mayUnload(ctx, e, order)) {
			p.orderer.options.Counters.UnloadsDeferred.Add(1)
			continue
		}

		if order.loads() && !p.orderer.loads.start(next, p.bounds) {
			p.orderer.options.Counters.LoadsDeferred.Add(1)
			return next, false
		}

		return next, true
	}

	return p.raiseFencing(t, e)
}

// raiseFencing shows an engine that checks numbers the one of this term by an order that changes nothing.
// Until then the engine would still take an order of an earlier term that is on its way.
func (p *planner) raiseFencing(t *term, e engine) (planned, bool) {
	if !e.upstream.ChecksFencing || e.desired.IsEmpty() || e.state.HighestFencing >= t.Number {
		return planned{}, false
	}

	next := planned{engine: e}

	switch {
	case e.state.Role != "":
		next.order = Order{SetRole, e.state.Role}
	case len(e.state.Models) > 0:
		next.order = Order{LoadModel, e.state.Models[0]}
	default:
		return next, false
	}

	return next, !p.orderer.delayed(next.key())
}

// maySwap lets only one engine at a time unload before what it is to hold instead is loaded.
// Otherwise a mistyped model that no engine can load would empty one engine after the other of
// the model that serves, down to the last copy.
func (p *planner) maySwap(e engine, lacking bool) bool {
	if !lacking {
		return true
	}

	if p.orderer.swapping == "" {
		p.orderer.swapping = e.upstream.Name
	}

	return p.orderer.swapping == e.upstream.Name
}

// endSwap lets the next engine unload first once the one that did has all that it is to hold.
func (o *Orderer) endSwap(service configurer.Service, engines []engine) {
	upstream, ok := service.Upstreams[o.swapping]
	if !ok || upstream.Leaving {
		o.swapping = ""
	}

	for _, e := range engines {
		if e.upstream.Name == o.swapping && !slices.ContainsFunc(e.differences(), Order.loads) {
			o.swapping = ""
		}
	}
}

// busy says whether requests may run on an upstream.
func (o *Orderer) busy(ctx context.Context, upstream configurer.Upstream) bool {
	call, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()

	running, err := o.options.Engines.ActiveRequests(call, upstream)

	return err != nil || running > 0
}

// mayUnload refuses to remove the last copy of what is still desired somewhere or may still be
// asked for. Requests in flight can't be told apart by model, so any request counts.
func (p *planner) mayUnload(ctx context.Context, e engine, order Order) bool {
	last := p.copies[order] <= 1
	if last && (p.desired[order] || p.orderer.busy(ctx, e.upstream)) {
		return false
	}

	p.copies[order]--

	return true
}
