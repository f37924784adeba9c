package orderer

import (
	"context"
	"slices"

	"quincepath.example/quincepath/internal/configurer"
)

// engine is an upstream with its desired and its reported state.
type engine struct {
	upstream configurer.Upstream
	desired  configurer.Desired
	state    State
}

// plannedOrder is an order for an engine.
type plannedOrder struct {
	engine engine
	order  Order
}

func (p plannedOrder) key() string {
	return p.engine.upstream.Name + " " + string(p.order.Kind) + " " + p.order.Name
}

// dueOrders returns the orders that bring the engine into its desired state. Loads precede unloads, so that the engine has
// the old or the new model at any time while one replaces the other.
func (e engine) dueOrders() []Order {
	var orders []Order

	if e.desired.Role != "" && e.desired.Role != e.state.Role {
		orders = append(orders, Order{Kind: SetRole, Name: e.desired.Role})
	}

	orders = append(orders, ordersForMissing(LoadModel, e.desired.Models, e.state.Models)...)
	orders = append(orders, ordersForMissing(LoadAdapter, e.desired.Adapters, e.state.Adapters)...)

	if e.desired.Adapters != nil {
		orders = append(orders, ordersForMissing(UnloadAdapter, e.state.Adapters, e.desired.Adapters)...)
	}

	if e.desired.Models != nil {
		orders = append(orders, ordersForMissing(UnloadModel, e.state.Models, e.desired.Models)...)
	}

	return orders
}

// ordersForMissing returns an order for each name that is in want but not in have, sorted by name.
func ordersForMissing(kind Kind, want, have []string) []Order {
	var orders []Order

	for _, name := range slices.Sorted(slices.Values(want)) {
		if !slices.Contains(have, name) {
			orders = append(orders, Order{Kind: kind, Name: name})
		}
	}

	return orders
}

// reflects reports whether the state has the order's effect.
func (s State) reflects(order Order) bool {
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

// planner chooses the next order for each engine.
type planner struct {
	orderer *Orderer
	bounds  configurer.Orders
	engines []engine
	// copies has, for each unload, the number of engines that have what it would remove and are not leaving.
	copies map[Order]int
	// desired has the unloads of all that is desired at any upstream that is not leaving, whether it responds or not.
	desired map[Order]bool
}

func (o *Orderer) newPlanner(service configurer.Service, engines []engine) *planner {
	p := &planner{
		orderer: o,
		bounds:  ordersWithDefaults(service),
		engines: engines,
		copies:  make(map[Order]int),
		desired: make(map[Order]bool),
	}

	for _, e := range engines {
		p.countCopies(e)
	}

	for _, upstream := range service.Upstreams {
		desired := service.DesiredOf(upstream)
		if upstream.Leaving {
			continue
		}

		for _, order := range unloadOrders(desired.Models, desired.Adapters) {
			p.desired[order] = true
		}
	}

	return p
}

// countCopies adds an engine's copies. A copy whose unload was ordered and is not yet reflected doesn't count: the order may
// take effect late, and could then remove the last copy.
func (p *planner) countCopies(e engine) {
	if e.upstream.Leaving {
		return
	}

	for _, order := range unloadOrders(e.state.Models, e.state.Adapters) {
		if p.orderer.retries[plannedOrder{e, order}.key()] == nil {
			p.copies[order]++
		}
	}
}

// unloadOrders returns the orders that unload the given models and adapters.
func unloadOrders(models, adapters []string) []Order {
	return append(ordersForMissing(UnloadModel, models, nil), ordersForMissing(UnloadAdapter, adapters, nil)...)
}

// plan returns at most one order for each engine.
func (p *planner) plan(ctx context.Context, t *term) []plannedOrder {
	var due []plannedOrder

	for _, e := range p.engines {
		// A leaving engine receives no new work; loads would only add load to the weight store.
		if e.upstream.Leaving || !t.mayOrder(e.upstream) {
			continue
		}

		if next, ok := p.nextOrder(ctx, t, e); ok {
			due = append(due, next)
		}
	}

	return due
}

// nextOrder returns the next order for an engine, if one is due and may be sent now.
func (p *planner) nextOrder(ctx context.Context, t *term, e engine) (plannedOrder, bool) {
	// loadFailed is set if a load is deferred after a failure.
	loadFailed := false

	for _, order := range p.orderer.crashes.sortLoads(e.dueOrders()) {
		next := plannedOrder{engine: e, order: order}

		if p.orderer.loadLimiter.isPending(next.key()) {
			return next, false
		}

		// A failed order doesn't block the next one: an engine without memory for a new model has to unload the old one
		// first.
		if p.orderer.isInBackoff(next.key()) {
			loadFailed = loadFailed || order.isLoad()
			continue
		}

		if p.orderer.crashes.blocks(order) {
			p.orderer.options.Counters.CrashingDeferred.Add(1)

			loadFailed = loadFailed || order.isLoad()

			continue
		}

		if order.isUnload() && (!p.mayUnloadFirst(e, loadFailed) || !p.mayUnload(ctx, e, order)) {
			p.orderer.options.Counters.UnloadsDeferred.Add(1)
			continue
		}

		if order.isLoad() && !p.orderer.loadLimiter.tryStart(next, p.bounds) {
			p.orderer.options.Counters.LoadsDeferred.Add(1)
			return next, false
		}

		return next, true
	}

	return p.fencingUpdate(t, e)
}

// fencingUpdate returns an order that changes nothing but raises the fencing number at an engine that checks it. Until then
// the engine would accept an order of an earlier term that is still in transit.
func (p *planner) fencingUpdate(t *term, e engine) (plannedOrder, bool) {
	if !e.upstream.ChecksFencing || e.desired.IsEmpty() || e.state.HighestFencing >= t.Number {
		return plannedOrder{}, false
	}

	next := plannedOrder{engine: e}

	switch {
	case e.state.Role != "":
		next.order = Order{SetRole, e.state.Role}
	case len(e.state.Models) > 0:
		next.order = Order{LoadModel, e.state.Models[0]}
	default:
		return next, false
	}

	return next, !p.orderer.isInBackoff(next.key())
}

// mayUnloadFirst reports whether an engine may unload although a load has failed there. Only one engine at a time may: with
// a mistyped model that no engine can load, one engine after the other would otherwise unload the model that it serves,
// down to the last copy.
func (p *planner) mayUnloadFirst(e engine, loadFailed bool) bool {
	if !loadFailed {
		return true
	}

	if p.orderer.unloadFirst == "" {
		p.orderer.unloadFirst = e.upstream.Name
	}

	return p.orderer.unloadFirst == e.upstream.Name
}

// updateUnloadFirst lets another engine unload first once the present one has no more loads due, is leaving or was removed.
func (o *Orderer) updateUnloadFirst(service configurer.Service, engines []engine) {
	upstream, ok := service.Upstreams[o.unloadFirst]
	if !ok || upstream.Leaving {
		o.unloadFirst = ""
	}

	for _, e := range engines {
		if e.upstream.Name == o.unloadFirst && !slices.ContainsFunc(e.dueOrders(), Order.isLoad) {
			o.unloadFirst = ""
		}
	}
}

// mayHaveRequests reports whether requests may run or wait at an upstream. An upstream that can't be read may have some.
func (o *Orderer) mayHaveRequests(ctx context.Context, upstream configurer.Upstream) bool {
	callCtx, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()

	requests, err := o.options.Engines.ActiveRequests(callCtx, upstream)

	return err != nil || requests > 0
}

// mayUnload reports whether an order doesn't remove the last copy of something that is still desired at some upstream or may
// be in use. Engines don't report which model a request uses, so any request counts as a use.
func (p *planner) mayUnload(ctx context.Context, e engine, order Order) bool {
	last := p.copies[order] <= 1
	if last && (p.desired[order] || p.orderer.mayHaveRequests(ctx, e.upstream)) {
		return false
	}

	p.copies[order]--

	return true
}
