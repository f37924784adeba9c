// Package cataloguer holds a node's view of its deployment: the configuration in force, the upstreams, the other
// nodes, and how fresh that view is.
//
// It performs no I/O; package follower feeds it.
package cataloguer

import (
	"slices"
	"time"

	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/internal/throttler"
)

// Kind classifies requests by whether they may be repeated.
type Kind int

const (
	// NotRepeatable requests run at most once for each attempt of a caller.
	NotRepeatable Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with events; they are repeatable only if the route is resumable.
	Stream
)

// Share is the weight of one service in a route's traffic split.
type Share struct {
	Service string `json:"service"`
	// Weight is relative to the other shares of the route; never negative.
	Weight int `json:"weight"`
}

// Route maps requests to services and defines how they are handled.
type Route struct {
	Name string `json:"name"`
	// Host is matched without regard to case and port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"path_prefix"`
	Kind       Kind   `json:"kind"`
	// Timeout bounds the time that a caller waits; 0 means no bound.
	Timeout time.Duration `json:"timeout"`
	// Target is the target time to the response, or to the first event of a stream.
	Target time.Duration `json:"target"`
	// GapLimit is the longest pause between events of a stream that still counts as on time.
	GapLimit time.Duration `json:"gap_limit,omitempty"`
	// Priority 0 is the highest.
	Priority int     `json:"priority"`
	Shares   []Share `json:"shares"`
	// Attempts limits the upstreams on which one request may run; at least 1.
	Attempts int `json:"attempts"`
	// Anonymous routes need no key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Resumable streams may continue on another upstream.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// LeadsTo reports whether requests of the route may go to the service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// Services returns the services to which requests of the route may go, sorted.
func (r *Route) Services() []string {
	var services []string

	for _, share := range r.Shares {
		if share.Weight > 0 {
			services = append(services, share.Service)
		}
	}

	slices.Sort(services)

	return slices.Compact(services)
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string `json:"name"`
	// ConnectionLimit is the number of connections that one upstream accepts from all nodes together.
	ConnectionLimit int `json:"connection_limit"`
	// Engine is nil for services without language models.
	Engine *Engine `json:"engine,omitempty"`
	// Scaling is nil if upstreams of the service can't be ordered.
	Scaling *Scaling `json:"scaling,omitempty"`
}

// MaxSlots returns the largest number of requests that one upstream can run at once. Each takes a connection, and engines have batches.
func (s *Service) MaxSlots() int {
	most := maxSlots
	if s.ConnectionLimit > 0 {
		most = min(most, s.ConnectionLimit)
	}

	if s.Engine != nil && s.Engine.Slots > 0 {
		most = min(most, s.Engine.Slots)
	}

	return most
}

// Engine describes the language-model upstreams of a service.
type Engine struct {
	// Slots is the maximum number of requests in one batch.
	Slots int `json:"slots"`
	// CacheTokens is the memory for running requests and cached prompt prefixes, in tokens.
	CacheTokens int `json:"cache_tokens"`
	// EventTokens is the number of tokens in one event of a stream; at least 1.
	EventTokens int `json:"event_tokens"`
	// CacheCalls is the number of calls that one engine holds while they wait for changes of its cache; 0 if it reports none.
	CacheCalls int `json:"cache_calls,omitempty"`
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority overrides the route's priority; nil means no override.
	Priority *int `json:"priority,omitempty"`
}

// Limits bounds what callers may send. Zero means no bound.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Configuration is the complete configuration as written by the operators.
type Configuration struct {
	// Version increases with each change; 0 means that no configuration is known.
	Version       int64          `json:"version"`
	Routes        []Route        `json:"routes"`
	Services      []Service      `json:"services"`
	Organisations []Organisation `json:"organisations"`
	Limits        Limits         `json:"limits"`
}

const (
	// MaxStreamLifetime is the longest time for which a stream may be taken up.
	MaxStreamLifetime = time.Hour
	// takeUpMargin is how long after the time limit of its route a stream may be taken up: callers may wait longer than the route allows.
	takeUpMargin = time.Minute
)

// StreamLifetime returns for how long after a software version was last used streams from it may be taken up: twice as long as the
// longest stream and the margin, as the routes may have changed since it began.
func (c *Configuration) StreamLifetime() time.Duration {
	longest := time.Duration(0)

	for i := range c.Routes {
		route := &c.Routes[i]

		switch {
		case route.Kind != Stream || !route.Resumable:
		case route.Timeout == 0:
			return MaxStreamLifetime
		default:
			longest = max(longest, route.Timeout)
		}
	}

	// Without such a route nothing is known of the streams that there were.
	if longest == 0 {
		return MaxStreamLifetime
	}

	return min(2*(longest+takeUpMargin), MaxStreamLifetime)
}

// Upstream is one run of a server process.
type Upstream struct {
	// ID may be reused when the server restarts.
	ID string `json:"id"`
	// Born is the start time in Unix milliseconds, which distinguishes runs with the same ID; 0 if the server doesn't
	// report it.
	Born          int64  `json:"born,omitempty"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Draining upstreams get no new requests.
	Draining bool `json:"draining,omitempty"`
	// Spot upstreams cost less and may be reclaimed, all of a failure domain at once.
	Spot bool `json:"spot,omitempty"`
	// Slots is the number of requests that the upstream handles concurrently.
	Slots int `json:"slots"`
	// SoftwareVersion is the version of the upstream's software, in no order; empty if unknown. A stream may only be resumed at
	// the version that began it.
	SoftwareVersion string `json:"software_version,omitempty"`
}

// IsHeaderValue reports whether an upstream's ID may be sent as the value of a header: printable ASCII without spaces, and not empty.
func IsHeaderValue(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}

	return id != ""
}

// ServiceVersion is a software version of the upstreams of a service.
type ServiceVersion struct {
	Service string
	// SoftwareVersion is empty if it isn't known.
	SoftwareVersion string
}

// Version returns the service and software version of the upstream.
func (u *Upstream) Version() ServiceVersion {
	return ServiceVersion{Service: u.Service, SoftwareVersion: u.SoftwareVersion}
}

// Node is an entry VM as announced by itself.
type Node struct {
	// Name is the IP:port on which the node serves its peers.
	Name string `json:"name"`
	// Address is the IP:port for callers.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Capacity is the VM's capacity relative to others, by the scarcer of processor and link; 0 means unknown.
	Capacity float64 `json:"capacity,omitempty"`
}

// Listing lists the entries of a Registry. It is what the store and peers transfer.
type Listing struct {
	// Position, RetainedUpstreams and UnreadableEntries are those of the Registry.
	storer.Position

	Upstreams []Upstream `json:"upstreams"`
	Nodes     []Node     `json:"nodes"`
	// Quarantined are requests that no node may run.
	Quarantined []quarantiner.Quarantine `json:"quarantined,omitempty"`
	// Limits are the rate limits that upstreams named.
	Limits            []throttler.Limit `json:"rate_limits,omitempty"`
	RetainedUpstreams int               `json:"kept,omitempty"`
	UnreadableEntries int               `json:"unreadable,omitempty"`
}
