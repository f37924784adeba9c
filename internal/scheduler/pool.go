package scheduler

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
)

// Pool is the exact queue of one pool. It is not safe for concurrent use.
//
// The slice of decisions that a method returns is valid until the next call.
type Pool struct {
	service configurer.Service
	options Options
}

// New returns an idle pool over the servers of the service, at most MaxServers.
func New(service configurer.Service, options Options) *Pool {
	return &Pool{service: service, options: options.withDefaults()}
}

// Update takes new settings. The driver calls Tick after it.
func (p *Pool) Update(service configurer.Service) {
	p.service = service
}

// Submit queues a request. Every submitted request ends in exactly one Grant or
// Refuse decision, or by Cancel or Forget. Submitting an id that waits changes
// nothing; submitting one that holds a slot repeats its Grant.
func (p *Pool) Submit(now time.Time, request Request) []Decision { return nil }

// Finish frees a slot and learns from its report. An unknown id changes nothing.
func (p *Pool) Finish(now time.Time, grantID string, report Report) []Decision { return nil }

// Cancel takes a request back, whether it waits or was granted a moment ago.
func (p *Pool) Cancel(now time.Time, requestID string) []Decision { return nil }

// Tick carries out what is due by time.
func (p *Pool) Tick(now time.Time) []Decision { return nil }

// NextTick is the time at which the driver calls Tick; zero means never.
func (p *Pool) NextTick() time.Time { return time.Time{} }

// Rebuild starts the takeover of a pool whose grants are unknown, until each of
// the entries has answered through Adopt or Options.RebuildFor has passed.
func (p *Pool) Rebuild(now time.Time, entries []string) []Decision { return nil }

// Adopt compares what an entry has in flight with the grants of the pool. Unknown
// ones are taken over; grants that the entry doesn't know twice running are freed.
func (p *Pool) Adopt(now time.Time, entry string, flights []InFlight) []Decision { return nil }

// Forget frees the grants and drops the waiting requests of an entry that is gone.
func (p *Pool) Forget(now time.Time, entry string) []Decision { return nil }

// Stats returns a copy of the counters.
func (p *Pool) Stats() Stats { return Stats{} }
