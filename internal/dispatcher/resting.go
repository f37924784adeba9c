package dispatcher

import (
	"sync"
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// mostDeclined bounds the slots of one request that are given back, since their upstreams rest.
const mostDeclined = 4

// rests remembers until when upstreams want no requests from this node, by their address. It is safe for concurrent use.
type rests struct {
	mu     sync.Mutex
	untils map[string]time.Time
}

// note takes in that an upstream wants to rest from now on.
func (r *rests) note(now time.Time, address string, rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for other, until := range r.untils {
		if !now.Before(until) {
			delete(r.untils, other)
		}
	}

	if r.untils == nil {
		r.untils = make(map[string]time.Time)
	}

	if until := now.Add(rest); until.After(r.untils[address]) {
		r.untils[address] = until
	}
}

// left is how much longer an upstream rests; not above 0 if it doesn't.
func (r *rests) left(now time.Time, address string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	until, ok := r.untils[address]
	if !ok {
		return 0
	}

	return until.Sub(now)
}

// names returns the upstreams of a service that rest.
func (r *rests) names(now time.Time, service configurer.Service) []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.untils) == 0 {
		return nil
	}

	var names []string

	for name, upstream := range service.Upstreams {
		if now.Before(r.untils[upstream.Address]) {
			names = append(names, name)
		}
	}

	return names
}
