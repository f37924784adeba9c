// Package cataloguer keeps what a node believes about its deployment: the
// configuration in force, the upstreams, the other nodes, and how fresh that is.
//
// It is plain code over events and time. Package follower feeds it.
package cataloguer

import (
	"slices"
	"time"

	"quincepath.example/quincepath/internal/quarantiner"
)

// Kind says what may be repeated of a request.
type Kind int

const (
	// NotRepeatable requests run at most once for each attempt of a caller.
	NotRepeatable Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by events; they are repeatable only where the route is resumable.
	Stream
)

// Share is one service of a route with its part of the requests.
type Share struct {
	Service string `json:"service"`
	// Weight is relative to the other shares of the route; never negative.
	Weight int `json:"weight"`
}

// Route says where requests go and under which terms.
type Route struct {
	Name string `json:"name"`
	// Host is compared without regard to case and port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"path_prefix"`
	Kind       Kind   `json:"kind"`
	// Timeout is the longest time that a caller is kept waiting; 0 means no bound.
	Timeout time.Duration `json:"timeout"`
	// Target is the time to the answer, for streams to the first event.
	Target time.Duration `json:"target"`
	// GapLimit is the longest pause between events that still counts as on time; streams only.
	GapLimit time.Duration `json:"gap_limit,omitempty"`
	// Priority is the rank, 0 first.
	Priority int     `json:"priority"`
	Shares   []Share `json:"shares"`
	// Attempts bounds the upstreams on which one request may run; at least 1.
	Attempts int `json:"attempts"`
	// Anonymous routes need no key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Resumable streams may go on at another upstream.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name string `json:"name"`
	// ConnectionLimit is what one upstream accepts from all nodes together.
	ConnectionLimit int `json:"connection_limit"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
	// Scaling is nil where the number of upstreams can't be ordered.
	Scaling *Scaling `json:"scaling,omitempty"`
}

// Engine describes the language-model upstreams of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int `json:"slots"`
	// CacheTokens is the memory for running requests and cached prompt parts.
	CacheTokens int `json:"cache_tokens"`
	// EventTokens is the number of tokens in one event of a stream; at least 1.
	EventTokens int `json:"event_tokens"`
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority goes before that of the route; nil means that the route's holds.
	Priority *int `json:"priority,omitempty"`
}

// Limits bound what callers may send. Zero means no bound.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Configuration is what the operators wrote, in full.
type Configuration struct {
	// Version grows with each change; 0 means that none is known.
	Version       int64          `json:"version"`
	Routes        []Route        `json:"routes"`
	Services      []Service      `json:"services"`
	Organisations []Organisation `json:"organisations"`
	Limits        Limits         `json:"limits"`
}

// Upstream is one start of a server.
type Upstream struct {
	// ID may stay when the server is started again.
	ID string `json:"id"`
	// Born is the Unix millisecond of the start, which tells two starts of one ID apart; 0 if the server doesn't tell.
	Born          int64  `json:"born,omitempty"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Draining upstreams get nothing new.
	Draining bool `json:"draining,omitempty"`
	// Spot upstreams cost less and may be taken away, all of a failure domain at once.
	Spot bool `json:"spot,omitempty"`
	// Slots is the number of requests that it works on at once.
	Slots int `json:"slots"`
}

// Node is one entry VM as it announced itself.
type Node struct {
	// Name is the IP:port at which the node answers its peers.
	Name string `json:"name"`
	// Address is the IP:port for callers.
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Capacity compares the VM with others, by the scarcer of processor and link; 0 means unknown.
	Capacity float64 `json:"capacity,omitempty"`
}

// Registry is what the store lists beside the configuration.
type Registry struct {
	// Revision is the store's revision when the list was begun; it never falls.
	Revision  int64      `json:"revision"`
	Upstreams []Upstream `json:"upstreams"`
	Nodes     []Node     `json:"nodes"`
	// Quarantined are requests that no node may run.
	Quarantined []quarantiner.Quarantine `json:"quarantined,omitempty"`
	// RetainedUpstreams is the number of upstreams that are listed although the store lacks them after an
	// outage. It only falls while the revision stays.
	RetainedUpstreams int `json:"kept,omitempty"`
	// UnreadableEntries is the number of entries that named nobody.
	UnreadableEntries int `json:"unreadable,omitempty"`
}

// IsNewerThan says whether the registry goes before one with the given revision and number of kept upstreams.
func (r *Registry) IsNewerThan(revision int64, kept int) bool {
	return r.Revision > revision || r.Revision == revision && r.RetainedUpstreams < kept
}

// sameEntries says whether both list the same.
func (r *Registry) sameEntries(other *Registry) bool {
	return slices.Equal(r.Upstreams, other.Upstreams) && slices.Equal(r.Nodes, other.Nodes) && slices.Equal(r.Quarantined, other.Quarantined)
}
