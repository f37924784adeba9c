// Package balancer chooses the upstream of a request by the expected loss of each choice.
//
// The loss of a choice is the probability that the request misses its target there,
// plus the probability that streams already running there exceed their gap limit,
// plus a cost for the work itself. Work is counted in prompt tokens to prefill:
// requests differ a hundredfold in it, and counting requests queues short ones behind
// long ones. Prompt parts in the upstream's cache cost nothing.
//
// A Pool does no I/O; it is driven by events and timestamps. The node that holds the
// pool of a service decides for all nodes. The other nodes keep pools of the requests
// that they sent themselves, for when the holder doesn't answer.
package balancer

import "time"

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string `json:"i"`
	Tokens int    `json:"t"`
}

// Request describes a request to the balancer.
type Request struct {
	// ID is unique across all nodes.
	ID string `json:"id"`
	// Node is the node that sends the request. It isn't sent to other nodes, which know who asks or reports.
	Node string `json:"-"`
	// Priority is the priority of the request's class; 0 is the most urgent.
	Priority int `json:"p"`
	// OrganisationRank orders requests of the same priority; 0 goes first.
	OrganisationRank int `json:"r,omitempty"`
	// PromptParts are the parts of the prompt in order; empty for plain services.
	PromptParts []PromptPart `json:"c,omitempty"`
	// PromptTokens is the length of the whole prompt, at least the sum of PromptParts.
	PromptTokens int `json:"n,omitempty"`
	// OutputTokens is the maximum number of tokens to generate.
	OutputTokens int `json:"o,omitempty"`
	// LengthHint is the caller's estimate of the tokens to generate; 0 if it gave none.
	LengthHint int `json:"h,omitempty"`
	// Organisation is the name of the caller's organisation; empty if it showed no key.
	Organisation string `json:"o2,omitempty"`
	// Content identifies the request by its content, also when the caller sends it again; 0 if it isn't known.
	Content uint64 `json:"k,omitempty"`
	// Returned is set by the pool if it refused the request before and the caller came back when it was told to. It isn't
	// sent to other nodes: only the pool that gave the time can tell.
	Returned bool `json:"-"`
	// Resumed is set if the request goes on with a stream of which its caller has events.
	Resumed bool `json:"u,omitempty"`
	// Target is the time limit for the first event, or for the response if it isn't a stream.
	Target time.Duration `json:"t"`
	// GapLimit is the longest acceptable gap between events; 0 if the request isn't a stream.
	GapLimit time.Duration `json:"g,omitempty"`
	// TimeLimit is the time after which the request ends in any case.
	TimeLimit time.Duration `json:"l"`
	// AcceptAny is set once the request has waited so long that any upstream that meets
	// its target is better than waiting for the best one, and no more urgent request waits.
	AcceptAny bool `json:"-"`
	// Waited is the time that the request has spent in the queue.
	Waited time.Duration `json:"-"`
	// Excluded lists upstreams that failed the request before.
	Excluded []string `json:"x,omitempty"`
	// SoftwareVersion is the only version of the upstreams' software that may get the request; empty for any.
	SoftwareVersion string `json:"s,omitempty"`
	// ownFailuresOnly is set if servers that other nodes can't connect to are better than none.
	ownFailuresOnly bool
}

// hasWaited reports whether the caller has waited before. What it got until then is lost if the request is refused.
func (r *Request) hasWaited() bool {
	return r.Returned || r.Resumed
}

// accepts reports whether an upstream of the given software version may get the request.
func (r *Request) accepts(softwareVersion string) bool {
	return r.SoftwareVersion == "" || r.SoftwareVersion == softwareVersion
}

// tokens returns the most memory that the request may need, in tokens.
func (r *Request) tokens() int {
	return r.PromptTokens + r.OutputTokens
}

// Load is the load that a server reports in a response.
type Load struct {
	// Running and Waiting count the requests at the server, from all nodes.
	Running int `json:"r"`
	Waiting int `json:"w"`
	// Slots is the number of requests that the server runs at once; 0 if unknown.
	Slots int `json:"s,omitempty"`
	// WorkTime is how long work takes on the server's machine at the moment, in percent of the usual time; 0 if unknown.
	WorkTime float64 `json:"t,omitempty"`
}

// Outcome is how a request ended at its upstream.
type Outcome int

const (
	// Served means that the request was answered.
	Served Outcome = iota
	// Failed means that the request got an error or an incomplete response.
	Failed
	// Rejected means that the request did not run: the upstream was full, or another one answered.
	Rejected
	// Unreachable means that the upstream accepted no connection.
	Unreachable
	// Abandoned means that the request ended for a reason unrelated to the upstream.
	Abandoned
	// Replaced means that another server answers at the upstream's address.
	Replaced
	// Silent means that the upstream sent nothing for so long that the request was given up there. It may go on at any time.
	Silent
)

// String returns the name that is used in logs.
func (o Outcome) String() string {
	switch o {
	case Served:
		return "served"
	case Failed:
		return "failed"
	case Rejected:
		return "rejected"
	case Unreachable:
		return "unreachable"
	case Replaced:
		return "replaced"
	case Silent:
		return "silent"
	default:
		return "abandoned"
	}
}

// Upstream is one server of a pool.
type Upstream struct {
	ID      string
	Address string
	// Born identifies a start of the server, so that a restart under the same ID is noticed; 0 if unknown.
	Born     int64
	Slots    int
	Draining bool
	// SoftwareVersion is empty if it isn't known.
	SoftwareVersion string
}

// Engine holds the properties of a pool's engines. The zero Engine stands for a plain service.
type Engine struct {
	CacheTokens int
	EventTokens int
	// ReportsCache is set if the engines can be asked which prompt parts they have cached.
	ReportsCache bool
}
