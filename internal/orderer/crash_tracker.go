package orderer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// An order is blocked once it has crashed engines minCrashes times, and at least minCrashedEngines different ones, since
	// a single engine may itself be faulty.
	minCrashes        = 3
	minCrashedEngines = 2
	// crashBlockTime is how long an order is blocked at all engines after its last crash.
	crashBlockTime = time.Hour
)

// crashTracker records which engines went down right after an order.
type crashTracker map[Order]*crashRecord

type crashRecord struct {
	engines map[string]bool
	count   int
	lastAt  time.Time
}

// record adds a crash of an engine right after the order.
func (c crashTracker) record(order Order, engine string) {
	r, ok := c[order]
	if !ok {
		r = &crashRecord{engines: make(map[string]bool)}
		c[order] = r
	}

	r.engines[engine] = true
	r.count++
	r.lastAt = time.Now()
}

// blocks reports whether the order crashes engines and must not be sent to any. The retry delay after a failure applies to
// one engine only: without this check the order would be sent to one engine after the other, and each crash would also
// remove the models that the engine serves.
func (c crashTracker) blocks(order Order) bool {
	r, ok := c[order]

	return ok && r.count >= minCrashes && len(r.engines) >= minCrashedEngines && time.Since(r.lastAt) < crashBlockTime
}

// sortLoads sorts the loads by their number of crashes, so that an engine that has restarted first loads what it served
// before. Unloads stay behind all loads.
func (c crashTracker) sortLoads(orders []Order) []Order {
	first := slices.IndexFunc(orders, Order.isLoad)
	if first < 0 {
		return orders
	}

	end := first
	for end < len(orders) && orders[end].isLoad() {
		end++
	}

	slices.SortStableFunc(orders[first:end], func(a, b Order) int {
		return cmp.Compare(c.crashCount(a), c.crashCount(b))
	})

	return orders
}

// crashCount returns the number of crashes after the order.
func (c crashTracker) crashCount(order Order) int {
	if r, ok := c[order]; ok {
		return r.count
	}

	return 0
}

// removeReflected removes the crashes of loads and roles that the state of an engine reflects.
func (c crashTracker) removeReflected(state State) {
	for order := range c {
		if state.reflects(order) && !order.isUnload() {
			delete(c, order)
		}
	}
}

// retainDue removes orders that are no longer due at any engine, so that operators can try them again.
func (c crashTracker) retainDue(engines []engine) {
	due := make(map[Order]bool)

	for _, e := range engines {
		for _, order := range e.dueOrders() {
			due[order] = true
		}
	}

	for order := range c {
		if len(engines) > 0 && !due[order] {
			delete(c, order)
		}
	}
}
