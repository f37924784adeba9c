package bencher

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/placer"
	"quincepath.example/quincepath/internal/tracer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Request is one ask of a caller at an entry node.
type Request struct {
	// ID is unique in the run; a caller that asks again gets a new one.
	ID    string
	Event tracer.Event
	// Node is the entry node's index, 0 to nodes-1.
	Node    int
	Service configurer.Service
	Class   configurer.Class
	// Arrived is the time at which the entry node got the request.
	Arrived time.Duration
	// Exclude names the servers that failed this request.
	Exclude []string
	// Progress is the number of tokens that the caller has.
	Progress int
	// Prefixes are sampled hashes of the prompt's prefixes; nil where engines don't cache.
	Prefixes []uint64

	caller *caller
	// number counts the attempts from 1.
	number int
	// history is what the ended attempts left behind.
	history dispatcher.History
	// queued is true from asking for a slot to its grant or refusal.
	queued  bool
	attempt *attempt
	// over is true after the final answer.
	over bool
}

func (r *Request) classKey() classKey {
	return classKey{service: r.Service.Name, class: r.Class.Name}
}

// ask returns what the entry node tells a policy.
func (r *Request) ask(now time.Duration) dispatcher.SlotRequest {
	return dispatcher.SlotRequest{
		RequestID:    r.ID,
		Service:      r.Service.Name,
		Class:        r.Class.Name,
		Organisation: r.Event.Organisation,
		Exclude:      r.Exclude,
		Waited:       now - r.Arrived,
		Progress:     r.Progress,
		Repeatable:   !r.Event.NotRepeatable,
		Prefixes:     r.Prefixes,
	}
}

// dispatched returns what a judge of attempts sees of the request.
func (r *Request) dispatched() dispatcher.Request {
	return dispatcher.Request{
		ID:           r.ID,
		Service:      r.Service,
		Class:        r.Class,
		Organisation: r.Service.Organisations[r.Event.Organisation],
		Repeatable:   !r.Event.NotRepeatable,
	}
}

// Answerer takes the decisions of a policy.
type Answerer interface {
	// Grant lets the request run on a server.
	Grant(r *Request, slot dispatcher.Slot)
	// Refuse gives the request up.
	Refuse(r *Request, reason *classifier.Error)
	// Preempt takes a granted slot back; the policy gets a Release for it.
	Preempt(r *Request)
}

// Policy decides about slots for all nodes of a run. Every Acquire is answered
// once through the Answerer, now or later, unless Abandon comes first; every
// granted slot is released once.
type Policy interface {
	Name() string
	// Entry chooses the entry node that a caller of the service connects to.
	Entry(service string, random int) int
	Acquire(r *Request)
	// Abandon says that the caller of a queued request left.
	Abandon(r *Request)
	Release(r *Request, slot dispatcher.Slot, outcome dispatcher.Outcome)
	// Report brings a load report, which is as old as the scenario says, to every node.
	Report(upstream configurer.Upstream, load placer.Load)
	Traffic() Traffic
}

// Traffic is what a policy sent between nodes about slots.
type Traffic struct {
	// Messages and Bytes are sent by each node, by its index. Bytes count an estimate of the TCP and IP headers.
	Messages [nodes]int
	Bytes    [nodes]int
}

func (t *Traffic) add(node, bytes int) {
	t.Messages[node]++
	t.Bytes[node] += bytes
}
