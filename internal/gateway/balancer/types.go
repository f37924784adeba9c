// Package balancer chooses the upstream of a request by what each choice is
// expected to lose.
//
// The loss of a choice is the chance that the request misses its target there,
// plus the chance that streams already running there stall over their gap limit,
// plus a price for the work itself. Work is counted in milliseconds of prompt
// reading, since requests differ a hundredfold in it and counting requests sends
// short ones behind long ones. Prompt parts that the upstream read before cost nothing.
//
// A Pool is plain code over events and time. The node that holds the pool of a
// service decides for all; other nodes keep pools of their own sends for the time
// when the holder doesn't answer.
package balancer

import "time"

// PromptPart is one shared part of a prompt.
type PromptPart struct {
	ID     string `json:"i"`
	Tokens int    `json:"t"`
}

// Request is a request as the balancer sees it.
type Request struct {
	// ID is unique among the requests of all nodes.
	ID string `json:"id"`
	// Priority is that of the request's class, 0 first.
	Priority int `json:"p"`
	// OrganisationRank decides among requests of one priority, 0 first.
	OrganisationRank int `json:"r,omitempty"`
	// PromptParts are the prompt's parts in their order; empty for plain services.
	PromptParts []PromptPart `json:"c,omitempty"`
	// PromptTokens counts all of the prompt; at least the sum of Parts.
	PromptTokens int `json:"n,omitempty"`
	// OutputTokens is the largest number of tokens to generate.
	OutputTokens int `json:"o,omitempty"`
	// Target is the time to the first event or the answer.
	Target time.Duration `json:"t"`
	// GapLimit is the longest pause between events; 0 for requests that aren't streams.
	GapLimit time.Duration `json:"g,omitempty"`
	// TimeLimit is the time after which the request is over in any case.
	TimeLimit time.Duration `json:"l"`
	// AcceptAny says that the request has waited so long that any upstream in time is better than more waiting.
	AcceptAny bool `json:"-"`
	// Waited is how long it has waited in the pool.
	Waited time.Duration `json:"-"`
	// Excluded are upstreams that failed the request before.
	Excluded []string `json:"x,omitempty"`
}

// tokens is the memory that the request may come to take up.
func (r *Request) tokens() int {
	return r.PromptTokens + r.OutputTokens
}

// Load is what a server tells of itself in an answer.
type Load struct {
	// Running and Waiting are the numbers of requests there, from all nodes.
	Running int `json:"r"`
	Waiting int `json:"w"`
}

// Outcome is how a request ended at its upstream.
type Outcome int

const (
	// Served requests were answered.
	Served Outcome = iota
	// Failed requests got an error or a broken answer.
	Failed
	// Rejected requests were not run: the upstream was full or is another one.
	Rejected
	// Unreachable upstreams took no connection.
	Unreachable
	// Abandoned requests ended for a reason that says nothing of the upstream.
	Abandoned
	// Replaced upstreams are gone: another server answers at their address.
	Replaced
)

// Upstream is one server of a pool.
type Upstream struct {
	ID      string
	Address string
	// Born tells two starts of one ID apart; 0 if it isn't known.
	Born     int64
	Slots    int
	Draining bool
}

// Engine is what is known of a pool's engines; the zero Engine stands for a plain service.
type Engine struct {
	CacheTokens int
	EventTokens int
}
