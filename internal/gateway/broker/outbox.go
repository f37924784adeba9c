package broker

import (
	"context"
	"sync"
	"time"

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
}

// report is one event of one request.
type report struct {
	Pool  string       `json:"s"`
	ID    string       `json:"i"`
	Begin *beginReport `json:"b,omitempty"`
	// First is set when the first event of the answer has arrived.
	First bool `json:"f,omitempty"`
	// Load is the load that the upstream reported with the first event.
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

// outbox batches reports and sends them to each node in order. It is safe for concurrent use.
type outbox struct {
	peers Peers
	wake  chan struct{}

	mu     sync.Mutex
	queues map[string][]report
	// sending holds the nodes to which a message is being sent. At most one is sent at a time, so that reports stay in order.
	sending map[string]bool
}

func newOutbox(peers Peers) *outbox {
	return &outbox{
		peers:   peers,
		wake:    make(chan struct{}, 1),
		queues:  make(map[string][]report),
		sending: make(map[string]bool),
	}
}

func (o *outbox) add(node string, r report) {
	o.mu.Lock()
	o.queues[node] = append(o.queues[node], r)

	if excess := len(o.queues[node]) - maxQueuedReports; excess > 0 {
		o.queues[node] = o.queues[node][excess:]
	}
	o.mu.Unlock()

	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run sends queued reports until ctx ends.
func (o *outbox) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		}

		select {
		case <-ctx.Done():
			return
		case <-time.After(flushInterval):
		}

		o.flush(ctx)
	}
}

func (o *outbox) flush(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()

	for node, queue := range o.queues {
		if len(queue) == 0 || o.sending[node] {
			continue
		}

		o.sending[node] = true
		o.queues[node] = nil

		go o.send(ctx, node, queue)
	}
}

func (o *outbox) send(ctx context.Context, node string, queue []report) {
	// Errors are ignored: a node that can't be reached has no use for the reports later.
	_ = o.peers.Notify(ctx, node, MethodReport, reportParams{Reports: queue})

	o.mu.Lock()
	delete(o.sending, node)
	pending := len(o.queues[node]) > 0

	if !pending {
		delete(o.queues, node)
	}
	o.mu.Unlock()

	if pending {
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
}
