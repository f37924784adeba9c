// Package meter counts how requests end, in expvar.
//
// Memory is constant for each class, and a class costs nothing before its
// first request. docs/METRICS.md lists the names.
package meter

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// maxClasses bounds the memory if class names should ever come from callers.
	maxClasses = 512
	// maxReasons bounds the retry reasons of one class.
	maxReasons = 32
	// overflowName takes what goes beyond a bound, so that the sums stay right.
	overflowName = "other"
	// codeCount is the number of result codes that there can be.
	codeCount = classifier.MaxCode + 1
)

// Sample is one ended request.
type Sample struct {
	// Class is the name that all counters of the class stand under.
	Class string
	// Code is classifier.OK for a whole answer.
	Code classifier.Code
	// FirstToken is the time from arrival to the first token or answer byte; zero if none came.
	FirstToken time.Duration
	// Duration is the time from arrival to the end.
	Duration time.Duration
	// Tokens is the number of tokens that the caller received.
	Tokens int
	// WastedTokens is the number of tokens that engines made and no caller received.
	WastedTokens int
	// Target is the class's latency target.
	Target time.Duration
	// Attained says that the answer was whole and met the target.
	Attained bool
}

// Meter counts for one node. It is safe for concurrent use and implements
// expvar.Var. Lock order: Meter.mu, then class.mu; neither is held while encoding.
type Meter struct {
	mu      sync.RWMutex
	classes map[string]*class
}

// New returns a meter without classes. Handler shows it.
func New() *Meter {
	return &Meter{classes: make(map[string]*class)}
}

// RequestStarted counts a request of the class as in flight until RequestEnded is called for it.
func (m *Meter) RequestStarted(name string) {
	m.class(name).inFlight.Add(1)
}

// Refused counts one refusal or failure by its result code. It goes with every final
// answer that is not OK, also before a class is known; name is then "".
func (m *Meter) Refused(name string, code classifier.Code) {
	if code < 0 || code >= codeCount {
		code = classifier.InternalError
	}

	m.class(name).refused[code].Add(1)
}

// Retried counts one further attempt by its reason, such as "silent".
func (m *Meter) Retried(name, reason string) {
	m.class(name).reason(reason).Add(1)
}

// Hedged counts a second attempt that was sent beside a slow first one, and whether it delivered the answer.
func (m *Meter) Hedged(name string, won bool) {
	c := m.class(name)
	c.hedged.Add(1)

	if won {
		c.hedgesWon.Add(1)
	}
}

// Superseded counts the tokens that came from the slower of two attempts.
func (m *Meter) Superseded(name string, tokens int) {
	c := m.class(name)
	c.wastedTokens.Add(int64(tokens))
	c.hedgeWasted.Add(int64(tokens))
}

// RequestEnded counts the end of a request, once for each RequestStarted. A request that the caller spoilt
// or its organisation's own limit refused says nothing of the service, and
// counts neither for nor against attainment.
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
	case counts(sample.Code):
		c.missed.Add(1)
	}

	c.observe(sample)
}

// counts says whether a request that ended with the code counts against attainment.
// The codes from Unauthenticated to KeyTooLong say that the request itself is wrong.
func counts(code classifier.Code) bool {
	switch code {
	case classifier.CallerGone, classifier.RateLimited, classifier.ConcurrencyLimited, classifier.TokensLimited:
		return false
	}

	return code < classifier.Unauthenticated || code > classifier.KeyTooLong
}

// String returns all counters as JSON, as expvar wants it.
func (m *Meter) String() string {
	data, err := json.Marshal(m.Snapshot())
	if err != nil {
		// Only NaN and infinity can't be encoded, and no field is ever one.
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

	return m.newClass(name)
}

func (m *Meter) newClass(name string) *class {
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

	created := &class{reasons: make(map[string]*atomic.Int64)}
	m.classes[name] = created

	return created
}
