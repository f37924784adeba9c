// Package ejector keeps work away from upstreams that straggle or fail. It
// judges from the node's own first-token and token-gap times, relative to the
// rest of the pool, and never from load reports, which lag.
package ejector

import (
	"sync"
	"time"

	"quincepath.example/quincepath/internal/dispatcher"
)

// Options are the bounds of an Ejector. Zero fields take their defaults.
type Options struct {
	// StragglerRatio is how many times the pool's median time makes a straggler; default 2.5.
	StragglerRatio float64
	// MinSampleWeight is the least weight of samples to judge an upstream by; default 8.
	MinSampleWeight float64
	// HalfLife is the age at which a sample counts half; default 10 s.
	HalfLife time.Duration
	// EvaluationInterval is the least time between two comparisons of a pool; default 500 ms.
	EvaluationInterval time.Duration
	// ConsecutiveFailures is the number of failures in a row that ejects at once; default 3.
	ConsecutiveFailures int
	// MinEjection is the length of the first ejection; each further one doubles it. Default 5 s.
	MinEjection time.Duration
	// MaxEjection bounds the doubling; default 60 s.
	MaxEjection time.Duration
	// Probation is the time from the end of an ejection to the full share; default 30 s.
	Probation time.Duration
	// InitialWeight is the share at the start of probation, 0 to 1; default 0.05.
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
	// probationSampleShare of MinSamples is enough to judge an upstream on probation.
	probationSampleShare = 0.5
	// maxEjectedPart is the part of a pool, one in so many, that may be ejected at once.
	maxEjectedPart = 3
)

// decision is a kind of decision as counters name it.
type decision string

const (
	ejectedSlow   decision = "ejected_slow"
	ejectedFailed decision = "ejected_failed"
	// displacedSlow means that a straggler was readmitted early to make room for an upstream that fails.
	displacedSlow decision = "displaced_slow"
	// withheldSlow and withheldFailed mean that no more members of the pool might be ejected.
	withheldSlow   decision = "withheld_slow"
	withheldFailed decision = "withheld_failed"
	readmitted     decision = "readmitted"
)

// Source says where a measurement comes from.
type Source struct {
	Service  string
	Class    string
	Upstream string
}

// Ejector judges the upstreams of all services that a node sends to. It is safe
// for concurrent use and calls nothing while it holds its lock.
type Ejector struct {
	options Options

	mu     sync.Mutex
	pools  map[string]*pool
	counts map[decision]int64
}

// New returns an ejector without pools.
func New(options Options) *Ejector {
	return &Ejector{options: options.withDefaults(), pools: make(map[string]*pool), counts: make(map[decision]int64)}
}

// SetMembers tells which upstreams a service has. Known members keep their
// state; an empty list forgets the service.
func (e *Ejector) SetMembers(service string, upstreams []string) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if len(upstreams) == 0 {
		delete(e.pools, service)

		return
	}

	old := e.pools[service]
	fresh := &pool{members: make(map[string]*member, len(upstreams))}

	for _, name := range upstreams {
		fresh.members[name] = newMember()

		if old != nil && old.members[name] != nil {
			fresh.members[name] = old.members[name]
		}
	}

	e.pools[service] = fresh
}

// Observe takes both the times and the end of an attempt, for callers that see no more than its outcome.
func (e *Ejector) Observe(now time.Time, source Source, outcome dispatcher.Outcome) {
	e.ObserveLatency(now, source, outcome.FirstToken, outcome.TokenGap())
	e.ObserveResult(now, source, outcome)
}

// ObserveLatency takes the time to the first token or answer byte and a mean token gap;
// zero means none. Called while an answer runs (at the first token, then every
// second or so) it finds a straggler long before its slow answers end.
func (e *Ejector) ObserveLatency(now time.Time, source Source, firstToken, tokenGap time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()

	p, m := e.find(now, source)
	if m == nil || m.state == stateEjected {
		return
	}

	times := m.class(source.Class)
	times[signalFirst].add(now, firstToken, e.options.HalfLife)
	times[signalGap].add(now, tokenGap, e.options.HalfLife)

	if now.Sub(p.judged) >= e.options.EvaluationInterval {
		p.judged = now
		e.judge(now, p)
	}
}

// ObserveResult counts failures in a row. Refusals don't count: a full upstream is not a failed one.
func (e *Ejector) ObserveResult(now time.Time, source Source, outcome dispatcher.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()

	p, m := e.find(now, source)
	if m == nil || m.state == stateEjected {
		return
	}

	switch outcome.Result {
	case dispatcher.ResultDone, dispatcher.ResultRejected:
		m.failures = 0
	case dispatcher.ResultNotSent, dispatcher.ResultFailed, dispatcher.ResultSilent:
		e.failed(now, p, m, now.Add(-outcome.Duration))
	}
}

// Weight is the share of its usual work that an upstream is to get: 0 when
// ejected, growing from FirstShare to 1 on probation, 1 otherwise and when unknown.
// A weight above zero allows at least one request at once.
func (e *Ejector) Weight(now time.Time, service, upstream string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	_, m := e.find(now, Source{Service: service, Upstream: upstream})
	if m == nil {
		return 1
	}

	return m.weight(now, e.options)
}

// Counts returns the number of decisions by kind, in snake case, since the start. A kind that never came is left out.
func (e *Ejector) Counts() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	counts := make(map[string]int64, len(e.counts))
	for kind, count := range e.counts {
		counts[string(kind)] = count
	}

	return counts
}

// find returns the pool and the member with its state brought up to now, or nil.
func (e *Ejector) find(now time.Time, source Source) (*pool, *member) {
	p := e.pools[source.Service]
	if p == nil {
		return nil, nil
	}

	m := p.members[source.Upstream]
	if m != nil {
		e.refresh(now, m)
	}

	return p, m
}

func (e *Ejector) refresh(now time.Time, m *member) {
	if m.refresh(now, e.options) {
		e.counts[readmitted]++
	}
}

// room is how many more members of the pool may be ejected.
func (e *Ejector) room(now time.Time, p *pool) int {
	room := len(p.members) / maxEjectedPart

	for _, m := range p.members {
		e.refresh(now, m)

		if m.state == stateEjected {
			room--
		}
	}

	return room
}

func (e *Ejector) failed(now time.Time, p *pool, m *member, started time.Time) {
	// Attempts from before the ejection may end during probation; they say nothing new.
	if m.state == stateProbation && started.Before(m.since) {
		return
	}

	m.failures++

	if m.failures < e.options.ConsecutiveFailures && m.state != stateProbation {
		return
	}

	if e.room(now, p) < 1 && !e.displaceSlow(now, p) {
		e.counts[withheldFailed]++

		return
	}

	m.eject(now, e.options, false)
	e.counts[ejectedFailed]++
}

// displaceSlow puts the straggler with the shortest ejection left back on
// probation, to make room for an upstream that fails.
func (e *Ejector) displaceSlow(now time.Time, p *pool) bool {
	var first *member

	for _, m := range p.members {
		if m.state == stateEjected && m.slow && (first == nil || m.until.Before(first.until)) {
			first = m
		}
	}

	if first == nil {
		return false
	}

	first.admit(now)

	e.counts[displacedSlow]++

	return true
}

// judge ejects stragglers. When more look slow than may be ejected, the pool is
// overloaded rather than straggling, and taking servers away would make it worse.
// Suspects count here too: of many that slow down together some cross the limit
// first, and would be ejected for no more than that.
func (e *Ejector) judge(now time.Time, p *pool) {
	room := e.room(now, p)
	slow, suspects := p.stragglers(now, e.options)

	if suspects > room {
		e.counts[withheldSlow] += int64(len(slow))

		return
	}

	for _, m := range slow {
		m.eject(now, e.options, true)
		e.counts[ejectedSlow]++
	}
}
