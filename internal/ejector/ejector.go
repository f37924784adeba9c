// Package ejector implements outlier detection: it keeps requests away from upstreams that are slow or failing.
//
// An upstream is compared with the rest of its pool by the times to the first token and between tokens that this node measured.
// Load reports are not used, because they lag.
package ejector

import (
	"sync"
	"time"

	"quincepath.example/quincepath/internal/dispatcher"
)

// Options configures an Ejector. Fields that are zero take their defaults.
type Options struct {
	// StragglerRatio is the multiple of the pool's median time above which an upstream is a straggler. The default is 2.5.
	StragglerRatio float64
	// MinSampleWeight is the minimum total weight of samples required to compare an upstream. The default is 8.
	MinSampleWeight float64
	// HalfLife is the age at which the weight of a sample is one half. The default is 10 s.
	HalfLife time.Duration
	// EvaluationInterval is the minimum time between two comparisons of a pool. The default is 500 ms.
	EvaluationInterval time.Duration
	// ConsecutiveFailures is the number of consecutive failures after which an upstream is ejected. The default is 3.
	ConsecutiveFailures int
	// MinEjection is the duration of the first ejection. Each further ejection is twice as long. The default is 5 s.
	MinEjection time.Duration
	// MaxEjection is the maximum duration of an ejection. The default is 60 s.
	MaxEjection time.Duration
	// Probation is the time after an ejection during which the weight grows to 1. The default is 30 s.
	Probation time.Duration
	// InitialWeight is the weight at the start of probation, from 0 to 1. The default is 0.05.
	InitialWeight float64
}

func (o Options) withDefaults() Options {
	setDefault(&o.StragglerRatio, 2.5)
	setDefault(&o.MinSampleWeight, 8)
	setDefault(&o.HalfLife, 10*time.Second)
	setDefault(&o.EvaluationInterval, 500*time.Millisecond)
	setDefault(&o.ConsecutiveFailures, 3)
	setDefault(&o.MinEjection, 5*time.Second)
	setDefault(&o.MaxEjection, time.Minute)
	setDefault(&o.Probation, 30*time.Second)
	setDefault(&o.InitialWeight, 0.05)

	return o
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

const (
	// probationSampleFraction is the fraction of MinSampleWeight that is required of an upstream on probation.
	probationSampleFraction = 0.5
	// maxEjectedDivisor limits the ejected upstreams of a pool: at most one in maxEjectedDivisor.
	maxEjectedDivisor = 3
)

// decision is the name of a decision in the counters.
type decision string

const (
	ejectedSlow   decision = "ejected_slow"
	ejectedFailed decision = "ejected_failed"
	// displacedSlow means that a straggler was readmitted early so that a failing upstream could be ejected.
	displacedSlow decision = "displaced_slow"
	// withheldSlow and withheldFailed mean that an ejection was suppressed by the limit of maxEjectedDivisor.
	withheldSlow   decision = "withheld_slow"
	withheldFailed decision = "withheld_failed"
	readmitted     decision = "readmitted"
)

// Source identifies the class and upstream of a measurement.
type Source struct {
	Service  string
	Class    string
	Upstream string
}

// Ejector tracks the upstreams of all services that a node sends to. It is safe for concurrent use and makes no calls to other
// components while it holds its lock.
type Ejector struct {
	options Options

	mu     sync.Mutex
	pools  map[string]*pool
	counts map[decision]int64
}

// New returns an Ejector without pools.
func New(options Options) *Ejector {
	return &Ejector{options: options.withDefaults(), pools: make(map[string]*pool), counts: make(map[decision]int64)}
}

// SetMembers sets the upstreams of a service. Upstreams that it already had keep their state. An empty list removes the service.
func (e *Ejector) SetMembers(service string, upstreams []string) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if len(upstreams) == 0 {
		delete(e.pools, service)

		return
	}

	previous := e.pools[service]
	updated := &pool{members: make(map[string]*member, len(upstreams))}

	for _, name := range upstreams {
		updated.members[name] = newMember()

		if previous != nil && previous.members[name] != nil {
			updated.members[name] = previous.members[name]
		}
	}

	e.pools[service] = updated
}

// Observe records both the latencies and the result of an attempt, for callers that see only its outcome.
func (e *Ejector) Observe(now time.Time, source Source, outcome dispatcher.Outcome) {
	e.ObserveLatency(now, source, outcome.FirstToken, outcome.TokenGap())
	e.ObserveResult(now, source, outcome)
}

// ObserveLatency records the time to the first token or response byte and the mean time between tokens. Zero means that there is
// none. If it is called during a response, at the first token and then about once a second, a straggler is detected long before
// its slow responses end.
func (e *Ejector) ObserveLatency(now time.Time, source Source, firstToken, tokenGap time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()

	p, m := e.find(now, source)
	if m == nil || m.state == stateEjected {
		return
	}

	latencies := m.latenciesOf(source.Class)
	latencies[signalFirstToken].add(now, firstToken, e.options.HalfLife)
	latencies[signalTokenGap].add(now, tokenGap, e.options.HalfLife)

	if now.Sub(p.evaluatedAt) >= e.options.EvaluationInterval {
		p.evaluatedAt = now
		e.ejectStragglers(now, p)
	}
}

// ObserveResult counts consecutive failures. Refusals are ignored: an upstream at capacity has not failed.
func (e *Ejector) ObserveResult(now time.Time, source Source, outcome dispatcher.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()

	p, m := e.find(now, source)
	if m == nil || m.state == stateEjected {
		return
	}

	switch outcome.Result {
	case dispatcher.ResultDone, dispatcher.ResultRejected:
		m.consecutiveFailures = 0
	case dispatcher.ResultNotSent, dispatcher.ResultFailed, dispatcher.ResultSilent:
		e.recordFailure(now, p, m, now.Add(-outcome.Duration))
	}
}

// Weight returns the share of its usual load that an upstream should get: 0 while it is ejected, InitialWeight rising to 1 on
// probation, and 1 otherwise or if the upstream is unknown. A weight above 0 allows at least one concurrent request.
func (e *Ejector) Weight(now time.Time, service, upstream string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	_, m := e.find(now, Source{Service: service, Upstream: upstream})
	if m == nil {
		return 1
	}

	return m.weight(now, e.options)
}

// Counts returns the number of decisions since the start by their names in snake case. Decisions that did not occur are omitted.
func (e *Ejector) Counts() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	counts := make(map[string]int64, len(e.counts))
	for kind, count := range e.counts {
		counts[string(kind)] = count
	}

	return counts
}

// find returns the pool and the member, with the member's state updated to now. Either is nil if it is unknown.
func (e *Ejector) find(now time.Time, source Source) (*pool, *member) {
	p := e.pools[source.Service]
	if p == nil {
		return nil, nil
	}

	m := p.members[source.Upstream]
	if m != nil {
		e.advance(now, m)
	}

	return p, m
}

func (e *Ejector) advance(now time.Time, m *member) {
	if m.advance(now, e.options) {
		e.counts[readmitted]++
	}
}

// ejectionsLeft returns how many more members of the pool may be ejected.
func (e *Ejector) ejectionsLeft(now time.Time, p *pool) int {
	left := len(p.members) / maxEjectedDivisor

	for _, m := range p.members {
		e.advance(now, m)

		if m.state == stateEjected {
			left--
		}
	}

	return left
}

func (e *Ejector) recordFailure(now time.Time, p *pool, m *member, startedAt time.Time) {
	// An attempt that began before the end of the ejection may fail during probation. It says nothing about the upstream now.
	if m.state == stateProbation && startedAt.Before(m.stateSince) {
		return
	}

	m.consecutiveFailures++

	if m.consecutiveFailures < e.options.ConsecutiveFailures && m.state != stateProbation {
		return
	}

	if e.ejectionsLeft(now, p) < 1 && !e.readmitStraggler(now, p) {
		e.counts[withheldFailed]++

		return
	}

	m.eject(now, e.options, false)
	e.counts[ejectedFailed]++
}

// readmitStraggler starts the probation of the straggler whose ejection ends first, so that a failing upstream can be ejected.
// It returns false if no straggler is ejected.
func (e *Ejector) readmitStraggler(now time.Time, p *pool) bool {
	var earliest *member

	for _, m := range p.members {
		if m.state == stateEjected && m.ejectedAsSlow && (earliest == nil || m.ejectedUntil.Before(earliest.ejectedUntil)) {
			earliest = m
		}
	}

	if earliest == nil {
		return false
	}

	earliest.startProbation(now)

	e.counts[displacedSlow]++

	return true
}

// ejectStragglers ejects the stragglers of a pool. If more members are slow than may be ejected, the whole pool is overloaded, and
// ejecting some would make that worse. Suspects are counted as slow for this: if many slow down together, those that cross
// the limit first would otherwise be ejected.
func (e *Ejector) ejectStragglers(now time.Time, p *pool) {
	left := e.ejectionsLeft(now, p)
	slow, suspects := p.stragglers(now, e.options)

	if suspects > left {
		e.counts[withheldSlow] += int64(len(slow))

		return
	}

	for _, m := range slow {
		m.eject(now, e.options, true)
		e.counts[ejectedSlow]++
	}
}
