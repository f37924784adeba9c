package gateway

import (
	"expvar"
	"net/http"
	"time"

	"quincepath.example/quincepath/internal/meter"
)

// MetricsPath answers all counters as one JSON object.
const MetricsPath = "/debug/vars"

// beliefs tell what the node holds for true and since when.
type beliefs struct {
	// Version is that of the configuration in force.
	Version int64 `json:"version"`
	// AgeMS is the age of the proof that it is the newest; negative without one.
	AgeMS int64 `json:"age_ms"`
	// Revision is that of the registry.
	Revision  int64 `json:"revision"`
	Upstreams int   `json:"upstreams"`
	// Kept is the number of upstreams that are believed in after an outage although the store lacks them.
	Kept int `json:"kept"`
	// Unreadable is the number of entries of the registry that named nobody.
	Unreadable int `json:"unreadable"`
	Nodes      int `json:"nodes"`
	Live       int `json:"live"`
}

func (n *Node) metrics() http.Handler {
	parts := map[string]meter.Part{
		"beliefs":     func() any { return n.beliefs() },
		"follower":    func() any { return n.follower.Counters() },
		"attempts":    func() any { return n.failedAttempts() },
		"avoided":     func() any { return n.relayer.AvoidedUpstreams() },
		"callers":     func() any { return n.acceptor.Counters() },
		"connections": func() any { return n.dialer.Counters() },
		"pools":       func() any { return n.broker.Stats(time.Now()) },
		"quarantine":  func() any { return n.quarantine.Counters() },
		"retries":     func() any { return n.budget.Usage() },
		"members":     func() any { return n.prober.Counters() },
		"messages":    func() any { return n.messages.Traffic() },
	}

	if n.leader != nil {
		parts["duties"] = func() any { return n.leader.Status() }
	}

	return meter.Handler(n.meter, parts)
}

func (n *Node) beliefs() beliefs {
	state := n.catalog.State()
	age := -time.Millisecond

	if known, ok := n.catalog.ConfigurationAge(); ok {
		age = known
	}

	return beliefs{
		Version:    state.Configuration.Version,
		AgeMS:      age.Milliseconds(),
		Revision:   state.Registry.Revision,
		Upstreams:  len(state.Registry.Upstreams),
		Kept:       state.Registry.RetainedUpstreams,
		Unreadable: state.Registry.UnreadableEntries,
		Nodes:      len(state.Registry.Nodes),
		Live:       len(n.live()),
	}
}

func (n *Node) failedAttempts() map[string]int64 {
	counts := make(map[string]int64)
	n.attempts.Do(func(v expvar.KeyValue) {
		if count, ok := v.Value.(*expvar.Int); ok {
			counts[v.Key] = count.Value()
		}
	})

	return counts
}
