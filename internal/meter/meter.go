// Package meter counts requests, their results and their latency by class, and exposes the counters in the format of
// expvar.
//
// The memory for each class is constant, and is allocated on first use. docs/METRICS.md lists the metrics.
package meter

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// maxClasses bounds the memory in case class names ever come from callers.
	maxClasses = 512
	// maxReasons is the maximum number of retry reasons of a class, including overflowName.
	maxReasons = 32
	// overflowName is the class or reason that counts everything beyond these limits, so that the sums stay correct.
	overflowName = "other"
	// codeCount is the number of possible result codes.
	codeCount = classifier.MaxCode + 1
)

// Sample describes one ended request.
type Sample struct {
	// Class is the name of the class in the snapshot.
	Class string
	// Code is classifier.OK for a complete response.
	Code classifier.Code
	// FirstToken is the time from arrival to the first token or response byte; zero if there was none.
	FirstToken time.Duration
	// Duration is the time from arrival to the end of the request.
	Duration time.Duration
	// Tokens is the number of tokens that the caller received.
	Tokens int
	// WastedTokens is the number of tokens that engines generated and no caller received.
	WastedTokens int
	// Target is the class's latency target.
	Target time.Duration
	// Attained reports whether the response was complete and met the target.
	Attained bool
}

// Meter holds the counters of one node. It is safe for concurrent use and implements expvar.Var. Lock order: Meter.mu,
// then class.mu; neither is held while encoding.
type Meter struct {
	mu      sync.RWMutex
	classes map[string]*class
}

// New returns a meter without classes. It isn't published in expvar; Handler exposes it.
func New() *Meter {
	return &Meter{classes: make(map[string]*class)}
}

// RequestStarted counts a request of the class as in flight until RequestEnded is called for it.
func (m *Meter) RequestStarted(name string) {
	m.class(name).inFlight.Add(1)
}

// Refused counts one refusal or failure by its result code. It is called for every final response that is not OK. The
// name is empty if the request ended before its class was known.
func (m *Meter) Refused(name string, code classifier.Code) {
	if code < 0 || code >= codeCount {
		code = classifier.InternalError
	}

	m.class(name).refused[code].Add(1)
}

// Retried counts one retry by its reason, such as "silent".
func (m *Meter) Retried(name, reason string) {
	m.class(name).retryCounter(reason).Add(1)
}

// Hedged counts a second attempt that was sent in parallel with a slow first one, and whether it delivered the response.
func (m *Meter) Hedged(name string, won bool) {
	c := m.class(name)
	c.hedged.Add(1)

	if won {
		c.hedgesWon.Add(1)
	}
}

// Superseded counts the discarded tokens of the slower of two parallel attempts.
func (m *Meter) Superseded(name string, tokens int) {
	c := m.class(name)
	c.wastedTokens.Add(int64(tokens))
	c.hedgeTokensWasted.Add(int64(tokens))
}

// RequestEnded counts the end of a request. It is called once for each RequestStarted. Requests that failed through an
// error of the caller, or that a limit of the caller's own organisation refused, say nothing about the service, so they
// count neither for nor against attainment.
func (m *Meter) RequestEnded(sample Sample) {
	c := m.class(sample.Class)
	c.inFlight.Add(-1)
	c.requests.Add(1)
	c.tokens.Add(int64(sample.Tokens))
	c.wastedTokens.Add(int64(sample.WastedTokens))

	if sample.Target > 0 {
		c.target.Store(int64(sample.Target))
	}

	switch {
	case sample.Attained:
		c.attained.Add(1)
		c.goodputTokens.Add(int64(sample.Tokens))
	case affectsAttainment(sample.Code):
		c.missed.Add(1)
	}

	c.recordTimes(sample)
}

// affectsAttainment reports whether a request that ended with the code counts against attainment if it didn't attain its
// target. The codes from Unauthenticated to KeyTooLong mean that the request itself is invalid.
func affectsAttainment(code classifier.Code) bool {
	switch code {
	case classifier.CallerGone, classifier.RateLimited, classifier.ConcurrencyLimited, classifier.TokensLimited:
		return false
	}

	return code < classifier.Unauthenticated || code > classifier.KeyTooLong
}

// String returns all counters as JSON, as expvar.Var requires.
func (m *Meter) String() string {
	data, err := json.Marshal(m.Snapshot())
	if err != nil {
		// Of the fields' values, only NaN and infinity can't be encoded, and no field is ever set to them.
		return "{}"
	}

	return string(data)
}

func (m *Meter) class(name string) *class {
	m.mu.RLock()
	found, ok := m.classes[name]
	m.mu.RUnlock()

	if ok {
		return found
	}

	return m.addClass(name)
}

func (m *Meter) addClass(name string) *class {
	m.mu.Lock()
	defer m.mu.Unlock()

	if found, ok := m.classes[name]; ok {
		return found
	}

	if len(m.classes) >= maxClasses {
		name = overflowName
	}

	if found, ok := m.classes[name]; ok {
		return found
	}

	created := &class{retriesByReason: make(map[string]*atomic.Int64)}
	m.classes[name] = created

	return created
}
