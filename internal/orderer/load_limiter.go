package orderer

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"quincepath.example/quincepath/internal/configurer"
)

// loadLimiter limits the rate and the number of concurrent loads from the weight store, which all engines share. Without it
// all engines would fetch a newly desired model at once: the weight store would refuse loads, and none would finish in time.
type loadLimiter struct {
	rate *rate.Limiter
	// pending has the loads that were ordered and have not finished, by upstream and order.
	pending map[string]pendingLoad
}

// pendingLoad is a load that was ordered and has not finished.
type pendingLoad struct {
	plannedOrder
	startedAt time.Time
}

// newLoadLimiter returns a limiter without available tokens, since an earlier orderer may just have used up the rate.
func newLoadLimiter() *loadLimiter {
	l := &loadLimiter{rate: rate.NewLimiter(0, 1), pending: make(map[string]pendingLoad)}
	l.rate.Allow()

	return l
}

func (l *loadLimiter) setRate(bounds configurer.Orders) {
	if limit := rate.Limit(bounds.LoadsPerMinute / 60); limit != l.rate.Limit() {
		l.rate.SetLimit(limit)
	}
}

// tryStart adds a pending load if the limits allow one more, and reports whether it did.
func (l *loadLimiter) tryStart(next plannedOrder, bounds configurer.Orders) bool {
	if len(l.pending) >= bounds.LoadsAtOnce || !l.rate.Allow() {
		return false
	}

	l.pending[next.key()] = pendingLoad{plannedOrder: next, startedAt: time.Now()}

	return true
}

// remove removes a load that has finished, was refused or was given up.
func (l *loadLimiter) remove(key string) {
	delete(l.pending, key)
}

// isPending reports whether a load was ordered, has not finished and is not overdue.
func (l *loadLimiter) isPending(key string) bool {
	_, ok := l.pending[key]

	return ok
}

// removeOverdue removes the loads that have reached the timeout and returns their keys.
func (l *loadLimiter) removeOverdue(timeout time.Duration) []string {
	var keys []string

	for k, v := range l.pending {
		if time.Since(v.startedAt) >= timeout {
			keys = append(keys, k)
			delete(l.pending, k)
		}
	}

	return keys
}

// removeInterrupted removes and returns the loads at engines that no longer respond or have restarted.
func (l *loadLimiter) removeInterrupted(responding []engine) []plannedOrder {
	var interrupted []plannedOrder

	for k, v := range l.pending {
		i := slices.IndexFunc(responding, func(e engine) bool { return e.upstream.Name == v.engine.upstream.Name })
		if i < 0 || responding[i].state.hasRestartedSince(v.engine.state) {
			interrupted = append(interrupted, v.plannedOrder)
			delete(l.pending, k)
		}
	}

	return interrupted
}

// hasRestartedSince reports whether an engine has restarted. It infers this from something that was loaded before and is no
// longer, although no unload was ordered, or from a lower fencing number.
func (s State) hasRestartedSince(before State) bool {
	hasLost := func(have, had []string) bool {
		return slices.ContainsFunc(had, func(name string) bool { return !slices.Contains(have, name) })
	}

	return s.HighestFencing < before.HighestFencing || hasLost(s.Models, before.Models) || hasLost(s.Adapters, before.Adapters)
}
