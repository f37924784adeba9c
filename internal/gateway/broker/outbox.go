package broker

import (
	"context"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// chooseParams and the types below are the messages between nodes.
type chooseParams struct {
	Pool string           `json:"s"`
	Work balancer.Request `json:"w"`
	// Forced asks for a choice also from a holder that isn't ready: no other one is.
	Forced bool `json:"f,omitempty"`
}

type chooseAnswer struct {
	Choice   balancer.Choice   `json:"c"`
	Decision balancer.Decision `json:"d"`
	// Unready says that another holder is to be asked first, and that nothing was decided.
	Unready bool `json:"u,omitempty"`
}

// report tells one thing about one request.
type report struct {
	Pool  string `json:"s"`
	ID    string `json:"i"`
	Begin *begin `json:"b,omitempty"`
	// First says that the first event came.
	First bool `json:"f,omitempty"`
	// Load is what the upstream told with it.
	Load *balancer.Load `json:"l,omitempty"`
	// Leaving is an upstream that said that it leaves.
	Leaving string `json:"v,omitempty"`
	// Pauses come with the end of a whole stream.
	Pauses *balancer.EventGaps `json:"p,omitempty"`
	End    *balancer.Outcome   `json:"e,omitempty"`
	// Grant is what became of a waiting request of the receiver.
	Grant *balancer.Grant `json:"g,omitempty"`
}

type begin struct {
	Upstream string           `json:"u"`
	Work     balancer.Request `json:"w"`
	Answered bool             `json:"a,omitempty"`
}

type reportParams struct {
	Reports []report `json:"r"`
}

// outbox gathers reports and sends them to each node in order. It is safe for concurrent use.
type outbox struct {
	peers Peers
	wake  chan struct{}

	mu      sync.Mutex
	waiting map[string][]report
	// sending marks nodes to which a message is on its way, so that reports keep their order.
	sending map[string]bool
}

func newOutbox(peers Peers) *outbox {
	return &outbox{
		peers:   peers,
		wake:    make(chan struct{}, 1),
		waiting: make(map[string][]report),
		sending: make(map[string]bool),
	}
}

func (o *outbox) add(node string, r report) {
	o.mu.Lock()
	o.waiting[node] = append(o.waiting[node], r)

	if over := len(o.waiting[node]) - reportQueue; over > 0 {
		o.waiting[node] = o.waiting[node][over:]
	}
	o.mu.Unlock()

	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run sends what waits until ctx ends.
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

	for node, queue := range o.waiting {
		if len(queue) == 0 || o.sending[node] {
			continue
		}

		o.sending[node] = true
		o.waiting[node] = nil

		go o.send(ctx, node, queue)
	}
}

func (o *outbox) send(ctx context.Context, node string, queue []report) {
	// A node that is gone learns nothing; the reports are of no use to it later.
	_ = o.peers.Notify(ctx, node, MethodReport, reportParams{Reports: queue})

	o.mu.Lock()
	delete(o.sending, node)
	more := len(o.waiting[node]) > 0

	if !more {
		delete(o.waiting, node)
	}
	o.mu.Unlock()

	if more {
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
}
