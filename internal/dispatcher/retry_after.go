package dispatcher

import (
	"sync"
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// maxDeclinedSlots bounds the slots of one request that are released again because their upstreams asked for no requests
// now.
const maxDeclinedSlots = 4

// retryAfters holds, by address, until when upstreams want no requests from this node. It is safe for concurrent use.
type retryAfters struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// add records that an upstream wants no requests for the given time.
func (r *retryAfters) add(now time.Time, address string, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for other, until := range r.until {
		if !now.Before(until) {
			delete(r.until, other)
		}
	}

	if r.until == nil {
		r.until = make(map[string]time.Time)
	}

	if until := now.Add(retryAfter); until.After(r.until[address]) {
		r.until[address] = until
	}
}

// remaining returns how much longer an upstream wants no requests; it is not above 0 if it accepts them.
func (r *retryAfters) remaining(now time.Time, address string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	until, ok := r.until[address]
	if !ok {
		return 0
	}

	return until.Sub(now)
}

// upstreams returns the names of the upstreams of a service that want no requests now.
func (r *retryAfters) upstreams(now time.Time, service configurer.Service) []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.until) == 0 {
		return nil
	}

	var names []string

	for name, upstream := range service.Upstreams {
		if now.Before(r.until[upstream.Address]) {
			names = append(names, name)
		}
	}

	return names
}
