package broker

import (
	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/throttler"
)

// chooseParams and the types below are the messages between nodes. Their JSON keys are short because of the volume.
type chooseParams struct {
	Pool string           `json:"s"`
	Work balancer.Request `json:"w"`
	// Forced requests a choice even from a holder that is still warming up, since no other one is ready.
	Forced bool `json:"f,omitempty"`
	// Limits are rate limits that the holder may not know yet.
	Limits []throttler.Limit `json:"l,omitempty"`
}

type chooseResult struct {
	Choice   balancer.Choice   `json:"c"`
	Decision balancer.Decision `json:"d"`
	// Unready is set if the holder is still warming up: it decided nothing, and other holders should be asked first.
	Unready bool `json:"u,omitempty"`
	// Late is set if the holder runs late, so that the standby should be asked for a while.
	Late bool `json:"l,omitempty"`
}

// report is one event of one request.
type report struct {
	Pool  string       `json:"s"`
	ID    string       `json:"i"`
	Begin *beginReport `json:"b,omitempty"`
	// First is set when the first event of the answer has arrived.
	First bool `json:"f,omitempty"`
	// Load is the load that the upstream reported with the first event, or with a response that isn't a stream.
	Load *balancer.Load `json:"l,omitempty"`
	// Leaving is the ID of an upstream that announced that it is leaving.
	Leaving string `json:"v,omitempty"`
	// Resting is the ID of an upstream that asked for a pause of RestMS.
	Resting string  `json:"z,omitempty"`
	RestMS  float64 `json:"t,omitempty"`
	// Limit is the rate limit of an upstream.
	Limit *throttler.Limit `json:"q,omitempty"`
	// Brittle says whether an upstream is brittle.
	Brittle *balancer.Brittleness `json:"x,omitempty"`
	// Pauses are sent with the end of a complete stream.
	Pauses *balancer.EventGaps `json:"p,omitempty"`
	End    *balancer.Outcome   `json:"e,omitempty"`
	// Grant is the result for a queued request of the receiver.
	Grant *balancer.Grant `json:"g,omitempty"`
}

type beginReport struct {
	Upstream string           `json:"u"`
	Work     balancer.Request `json:"w"`
	Answered bool             `json:"a,omitempty"`
	// Earlier is set if the request was reported to former holders when it was sent.
	Earlier bool `json:"r,omitempty"`
}

type reportParams struct {
	Reports []report `json:"r"`
}

// isUrgent reports whether a report may not be delayed for the standby: what an upstream says about itself, and requests sent to
// upstreams with a rate limit, which both holders count.
func (r *report) isUrgent() bool {
	return r.Leaving != "" || r.Resting != "" || r.Limit != nil || r.Brittle != nil
}
