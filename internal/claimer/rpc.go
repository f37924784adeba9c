package claimer

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/pkg/classifier"
)

// MethodWrite is the method by which a node asks a shard's holder to write for it.
const MethodWrite = "claim.write"

// WriteRequest is one operation on the claim of the node that asks.
type WriteRequest struct {
	// Kind is "claim", "done" or "void".
	Kind string `json:"kind"`
	// ID is the claim's id and begins with the asking node's name.
	ID string `json:"id"`
	// Key is the hash that selects the shard. Body and Request belong to "claim", Result to "done".
	Key     []byte  `json:"key"`
	Body    []byte  `json:"body,omitempty"`
	Request string  `json:"request,omitempty"`
	Result  *Result `json:"result,omitempty"`
}

// WriteReply is what became of a WriteRequest.
type WriteReply struct {
	// Settled says that the journal decided; otherwise the node that asks writes
	// by itself. Unsettled says that the holder's write may still take effect.
	Settled   bool `json:"settled"`
	Unsettled bool `json:"unsettled,omitempty"`
	// Run, Replay with RequestID, and Code exclude each other.
	Run bool `json:"run,omitempty"`
	// Replay may lack its body, which then stands in the segment numbered Stored, beside ReplayID.
	Replay       *Result `json:"replay,omitempty"`
	RequestID    string  `json:"request_id,omitempty"`
	ReplayID     string  `json:"replay_id,omitempty"`
	Stored       int64   `json:"stored,omitempty"`
	Code         int     `json:"code,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

// HandleWrite writes for another node. It never voids a claim by itself: only the claim's maker may.
func (c *Claimer) HandleWrite(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var request WriteRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidRequest, "decode the parameters of %s", MethodWrite)
	}

	o, err := request.operation(from)
	if err != nil {
		return nil, err
	}

	ctx, cancel := context.WithTimeout(ctx, c.options.ForwardTimeout)
	defer cancel()

	s := c.shards[shardOf(o.key)]
	s.submit(o)
	a := s.wait(ctx, o)

	return a.reply(s.unsettled(o)), nil
}

func (r WriteRequest) operation(from string) (*operation, error) {
	if !strings.HasPrefix(r.ID, from+".") {
		return nil, classifier.New(classifier.Forbidden, "the claim %q is not one of node %q", r.ID, from)
	}

	o := newOperation(kind(r.Kind), r.ID)

	o.key, o.body, o.request, o.result, o.foreign = string(r.Key), string(r.Body), r.Request, r.Result, true
	switch {
	case o.kind == kindClaim || o.kind == kindVoid || o.kind == kindDone && o.result != nil:
		return o, nil
	default:
		return nil, classifier.New(classifier.InvalidRequest, "no operation of kind %q", r.Kind)
	}
}

func (a answer) reply(unsettled bool) WriteReply {
	if a.failure == nil {
		reply := WriteReply{Settled: true, Run: a.run}
		if r := a.replay; r != nil {
			reply.Replay, reply.RequestID, reply.ReplayID, reply.Stored = r.result, r.requestID, r.id, r.stored
		}

		return reply
	}

	return WriteReply{
		Settled:      a.failure.Code != classifier.ClaimUnavailable,
		Unsettled:    unsettled,
		Code:         int(a.failure.Code),
		Reason:       a.failure.Reason,
		RetryAfterMS: a.failure.RetryAfter.Milliseconds(),
	}
}

func (r WriteReply) answer() answer {
	switch {
	case r.Code == 0 && r.Replay != nil:
		return answer{replay: &replay{result: r.Replay, requestID: r.RequestID, id: r.ReplayID, stored: r.Stored}}
	case r.Code == 0:
		return answer{run: r.Run}
	}

	failure := classifier.New(classifier.Code(r.Code), "%s", r.Reason)

	return answer{failure: failure.After(time.Duration(r.RetryAfterMS) * time.Millisecond)}
}

// holder returns the node that writes a shard for this one, or "" when this node writes it.
func (c *Claimer) holder(shard int) string {
	if c.options.Holders == nil || c.options.Caller == nil {
		return ""
	}

	holder := c.options.Holders.Holder(shard)
	if holder == c.options.Node {
		return ""
	}

	return holder
}

// forwardClaim lets the shard's holder write a claim. When it reports false the
// claim is to be written here, under the same id: whichever write takes effect, it is this node's claim.
func (c *Claimer) forwardClaim(ctx context.Context, s *shard, o *operation) (answer, bool) {
	holder := c.holder(s.number)
	if holder == "" || s.refusing() {
		return answer{}, false
	}

	request := WriteRequest{Kind: string(o.kind), ID: o.id, Key: []byte(o.key), Body: []byte(o.body), Request: o.request}

	reply, err := c.forward(ctx, holder, request)
	if err == nil && reply.Settled {
		return reply.answer(), true
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	o.attempted = err != nil || reply.Unsettled

	return answer{}, false
}

// refusing says whether this node would refuse a claim without trying the store.
func (s *shard) refusing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.failures > 0 && time.Now().Before(s.down)
}

// forwardEnd lets the shard's holder write a claim's end; false means that it is to be written here.
// Both may write it: the first record counts.
func (c *Claimer) forwardEnd(ctx context.Context, s *shard, o *operation) (answer, bool) {
	holder := c.holder(s.number)
	if holder == "" {
		return answer{}, false
	}

	request := WriteRequest{Kind: string(o.kind), ID: o.id, Key: []byte(o.key), Result: o.result}
	reply, err := c.forward(ctx, holder, request)

	return reply.answer(), err == nil && reply.Settled
}

func (c *Claimer) forward(ctx context.Context, holder string, request WriteRequest) (WriteReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ForwardTimeout)
	defer cancel()

	c.stats.forwarded.Add(1)

	var reply WriteReply
	if err := c.options.Caller.Call(ctx, holder, MethodWrite, request, &reply); err != nil {
		c.stats.forwardsFailed.Add(1)

		return WriteReply{}, errors.Wrapf(err, "call holder %s", holder)
	}

	return reply, nil
}
