package orderer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// provenCrashes is the number of times that engines must have gone down under an order before it is held back, and
	// provenEngines that of different engines: one engine may be broken itself.
	provenCrashes = 3
	provenEngines = 2
	// holdTime is how long it is held back at all engines after the last of them.
	holdTime = time.Hour
)

// crashes remembers the engines that went down right after an order, by the order.
type crashes map[Order]*crashRecord

type crashRecord struct {
	engines map[string]bool
	count   int
	last    time.Time
}

// note records that an engine went down right after the order.
func (c crashes) note(order Order, engine string) {
	r, ok := c[order]
	if !ok {
		r = &crashRecord{engines: make(map[string]bool)}
		c[order] = r
	}

	r.engines[engine] = true
	r.count++
	r.last = time.Now()
}

// holds says whether the order crashes engines. Failures of one engine hold it back there alone; without this an order
// goes on to the next engine, and each crash takes what serves with it.
func (c crashes) holds(order Order) bool {
	r, ok := c[order]

	return ok && r.count >= provenCrashes && len(r.engines) >= provenEngines && time.Since(r.last) < holdTime
}

// order puts loads under which engines went down behind the other loads, so that an engine that came back gets what it
// served with first. Unloads stay behind all loads.
func (c crashes) order(orders []Order) []Order {
	first := slices.IndexFunc(orders, Order.loads)
	if first < 0 {
		return orders
	}

	end := first
	for end < len(orders) && orders[end].loads() {
		end++
	}

	slices.SortStableFunc(orders[first:end], func(a, b Order) int {
		return cmp.Compare(c.count(a), c.count(b))
	})

	return orders
}

// count is the number of times that engines went down under the order.
func (c crashes) count(order Order) int {
	if r, ok := c[order]; ok {
		return r.count
	}

	return 0
}

// clear forgets what is held against an order that an engine shows.
func (c crashes) clear(state State) {
	for order := range c {
		if state.shows(order) && !order.unloads() {
			delete(c, order)
		}
	}
}

// keep forgets orders that are no longer due anywhere: operators may desire them once more.
func (c crashes) keep(engines []engine) {
	due := make(map[Order]bool)

	for _, e := range engines {
		for _, order := range e.differences() {
			due[order] = true
		}
	}

	for order := range c {
		if len(engines) > 0 && !due[order] {
			delete(c, order)
		}
	}
}
