package gateway

import (
	"expvar"
	"net/http"
	"time"

	"quincepath.example/quincepath/internal/gateway/relayer"
	"quincepath.example/quincepath/internal/meter"
)

// MetricsPath is the path that returns all metrics as one JSON object.
const MetricsPath = "/debug/vars"

// catalogMetrics describes the node's view of the configuration, the registry and the fleet.
type catalogMetrics struct {
	// Version is the version of the configuration in force.
	Version int64 `json:"version"`
	// AgeMS is the time since the configuration was last confirmed as current; negative if it never was.
	AgeMS int64 `json:"age_ms"`
	// Era and Revision are the position of the registry in the store.
	Era       int64 `json:"era"`
	Revision  int64 `json:"revision"`
	Upstreams int   `json:"upstreams"`
	// StoreReturns counts the returns of the store from older copies that the node has noticed.
	StoreReturns int64 `json:"store_returns"`
	// RetainedUpstreams is the number of upstreams that are retained after a store outage although the store no longer lists them.
	RetainedUpstreams int `json:"kept"`
	// UnreadableEntries is the number of registry entries that could not be decoded.
	UnreadableEntries int `json:"unreadable"`
	Nodes             int `json:"nodes"`
	Live              int `json:"live"`
}

// configurationMetrics describes how the configuration is used.
type configurationMetrics struct {
	relayer.DecisionCounts

	// UseDelay is the time from the receipt of a version until it decides about requests.
	UseDelay meter.HistogramSnapshot `json:"use_delay"`
}

func (n *Node) metrics() http.Handler {
	parts := map[string]meter.CounterFunc{
		"beliefs":  func() any { return n.catalogMetrics() },
		"follower": func() any { return n.follower.Counters() },
		"attempts": func() any { return n.failedAttempts() },
		"configuration": func() any {
			return configurationMetrics{DecisionCounts: n.relayer.DecisionCounts(), UseDelay: n.useDelays.Snapshot()}
		},
		"avoided":     func() any { return n.relayer.AvoidedUpstreams() },
		"callers":     func() any { return n.acceptor.Counters() },
		"connections": func() any { return n.dialer.Counters() },
		"long_heads":  func() any { return n.dialer.HeadMemory.Counters() },
		"paths":       func() any { return n.dialer.PathCounters() },
		"pools":       func() any { return n.broker.Stats(time.Now()) },
		"quarantine":  func() any { return n.quarantine.Counters() },
		"retries":     func() any { return n.budget.Usage() },
		"streams":     func() any { return n.pins.Counters() },
		"resumes":     func() any { return n.relayer.ResumeCounts() },
		"rate_limits": func() any { return n.broker.LimitCounters() },
		"brittle":     func() any { return n.broker.BrittleCounters() },
		"holders":     func() any { return n.broker.HolderCounters() },
		"members":     func() any { return n.prober.Counters() },
		"tunnels":     func() any { return n.tunnels.Counters() },
		"messages":    func() any { return n.messages.Traffic() },
		"pauses":      func() any { return n.pauses.Counters() },
	}

	if n.caches != nil {
		parts["cache_calls"] = func() any { return n.caches.Counters() }
		parts["cache_reports"] = func() any { return n.broker.CacheCounters() }
	}

	if n.leader != nil {
		parts["duties"] = func() any { return n.leader.Status() }
	}

	return meter.Handler(n.meter, parts)
}

func (n *Node) catalogMetrics() catalogMetrics {
	state := n.catalog.State()
	age := -time.Millisecond

	if known, ok := state.ConfigurationFreshness.Age(); ok {
		age = known
	}

	return catalogMetrics{
		Version:           state.Configuration.Version,
		AgeMS:             age.Milliseconds(),
		Era:               state.Registry.Position.Era,
		Revision:          state.Registry.Position.Revision,
		StoreReturns:      state.StoreReturns,
		Upstreams:         state.Registry.Upstreams.Len(),
		RetainedUpstreams: state.Registry.RetainedUpstreams,
		UnreadableEntries: state.Registry.UnreadableEntries,
		Nodes:             state.Registry.Nodes.Len(),
		Live:              len(n.liveNodes()),
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
