package relayer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/gateway/router"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// traceTime is how long accepted requests are logged after the configuration that decides about them has changed, or was
	// confirmed again after it had been older than staleAge.
	traceTime = time.Second
	staleAge  = 2 * time.Second
	// maxTracedPerSecond limits these log lines.
	maxTracedPerSecond = 200
)

// basis is what a decision on a request is based on: a version of the configuration, and how old it was when the decision was made. Later
// versions and confirmations don't change it.
type basis struct {
	// table holds the routes and keys; nil if the node has none. The other fields are valid only if it isn't nil.
	table *router.Table
	// newest is the newest version that the node had received.
	newest int64
	// age is the time since the table's version was last confirmed as current. It is valid only if known is true.
	age   time.Duration
	known bool
}

// basisOf returns the basis of a decision that is made now by the table, which may be nil.
func (r *Relayer) basisOf(table *router.Table) basis {
	if table == nil {
		return basis{}
	}

	decided := basis{table: table, newest: r.options.Catalog.State().Configuration.Version}
	decided.age, decided.known = table.Freshness.Age()

	if decided.isOlder() {
		r.decisions.byOlder.Add(1)
	}

	return decided
}

// isOlder reports whether the node had received a newer version than the table's.
func (b *basis) isOlder() bool {
	return b.newest > b.table.Version
}

// isCurrent reports whether the decision was made by a configuration that lacked nothing.
func (b *basis) isCurrent() bool {
	return b.known && b.age <= maxCurrentAge
}

// finalRefusal returns the refusal of what the configuration lacks. If that is too old, a newer one may have it: then the refusal says when to
// come back instead.
func (b *basis) finalRefusal(failure *classifier.Error) *classifier.Error {
	if b.isCurrent() {
		return failure
	}

	return classifier.New(classifier.SettingsUnavailable, "what the node knows is too old to say that %s", failure.Reason).After(jitteredRetryAfter())
}

// addTo adds the basis to a log line.
func (b *basis) addTo(event *zerolog.Event) *zerolog.Event {
	if b.table != nil {
		event = event.Int64("version", b.table.Version).Int64("newest_version", b.newest)
	}

	if b.known {
		event = event.Dur("configuration_age_ms", b.age)
	}

	return event
}

// DecisionCounts counts decisions on requests by what they were based on.
type DecisionCounts struct {
	// ByOlder counts those based on an older version of the configuration than the newest that the node had received.
	ByOlder int64 `json:"by_older"`
	// Traced counts the accepted requests of which a line was to be logged.
	Traced int64 `json:"traced"`
}

// decisionCounters are the counters behind DecisionCounts.
type decisionCounters struct {
	byOlder, traced atomic.Int64
}

// DecisionCounts returns the counts of decisions on requests.
func (r *Relayer) DecisionCounts() DecisionCounts {
	return DecisionCounts{ByOlder: r.decisions.byOlder.Load(), Traced: r.decisions.traced.Load()}
}

// decisionTrace selects the accepted requests that are logged: those right after the configuration changed or was confirmed
// again. An accepted request has no log line otherwise, so nothing would tell by what it was accepted. It is safe for concurrent use.
type decisionTrace struct {
	logger zerolog.Logger

	mu sync.Mutex
	// version is the version of the last decision, wasStale says whether it was made by a configuration older than staleAge.
	version  int64
	wasStale bool
	until    time.Time
}

// selects reports whether a request that was accepted now is logged.
func (t *decisionTrace) selects(decided *basis, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	isStale := !decided.known || decided.age > staleAge

	if decided.table.Version != t.version || t.wasStale && !isStale {
		t.until = now.Add(traceTime)
	}

	t.version, t.wasStale = decided.table.Version, isStale

	return now.Before(t.until) || decided.isOlder()
}

// traceAccepted logs an accepted request if it is selected.
func (r *Relayer) traceAccepted(request *request) {
	if !r.trace.selects(&request.decided, request.arrived) {
		return
	}

	r.decisions.traced.Add(1)
	request.decided.addTo(r.trace.logger.Info().Str("request_id", request.id)).
		Str("organisation", request.organisation).
		Str("route", request.route.Name).
		Str("service", request.service).
		Dur("age_ms", time.Since(request.arrived)).
		Msg("request_accepted")
}
