package orderer

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"quincepath.example/quincepath/internal/configurer"
)

// loadLimiter spreads loads from the weight store, which all engines share. Without it a model
// that is desired anew would be fetched by all engines at once; one would notice that the weight
// store refuses loads and that none of them ends in time.
type loadLimiter struct {
	rate *rate.Limiter
	// pending are the loads under way, by upstream and order.
	pending map[string]load
}

// load is one load under way.
type load struct {
	planned
	// at is when it was ordered.
	at time.Time
}

// newLoadLimiter returns a limiter with nothing to spend: an earlier orderer may just have spent its share.
func newLoadLimiter() *loadLimiter {
	l := &loadLimiter{rate: rate.NewLimiter(0, 1), pending: make(map[string]load)}
	l.rate.Allow()

	return l
}

func (l *loadLimiter) setBounds(bounds configurer.Orders) {
	if limit := rate.Limit(bounds.LoadsPerMinute / 60); limit != l.rate.Limit() {
		l.rate.SetLimit(limit)
	}
}

// start says whether one more load may begin, and counts it.
func (l *loadLimiter) start(next planned, bounds configurer.Orders) bool {
	if len(l.pending) >= bounds.LoadsAtOnce || !l.rate.Allow() {
		return false
	}

	l.pending[next.key()] = load{planned: next, at: time.Now()}

	return true
}

// done ends a load: it is shown, refused, or given up.
func (l *loadLimiter) done(key string) {
	delete(l.pending, key)
}

// underWay says whether a load has begun and is not overdue.
func (l *loadLimiter) underWay(key string) bool {
	_, ok := l.pending[key]

	return ok
}

// overdue returns the loads that have taken too long, and forgets them.
func (l *loadLimiter) overdue(timeout time.Duration) []string {
	var keys []string

	for k, v := range l.pending {
		if time.Since(v.at) >= timeout {
			keys = append(keys, k)
			delete(l.pending, k)
		}
	}

	return keys
}

// broken returns the loads under way at engines that don't answer any more or have started again, and forgets them.
func (l *loadLimiter) broken(answering []engine) []planned {
	var broken []planned

	for k, v := range l.pending {
		i := slices.IndexFunc(answering, func(e engine) bool { return e.upstream.Name == v.engine.upstream.Name })
		if i < 0 || answering[i].state.lost(v.engine.state) {
			broken = append(broken, v.planned)
			delete(l.pending, k)
		}
	}

	return broken
}

// lost says whether an engine holds less than before, although nothing was ordered: it has started again.
func (s State) lost(before State) bool {
	gone := func(have, had []string) bool {
		return slices.ContainsFunc(had, func(name string) bool { return !slices.Contains(have, name) })
	}

	return s.HighestFencing < before.HighestFencing || gone(s.Models, before.Models) || gone(s.Adapters, before.Adapters)
}
