// Package gauger measures what the nodes of a fleet spend on control: bytes and
// messages between nodes, calls on the platform, polls of upstreams, processor
// time and memory, at several numbers of nodes, so that slopes can be drawn.
//
// Everything runs on loopback before stand-ins. Messages are counted by relays
// that stand before each node's address for peers, so the nodes need no counters
// and are the same as in use. TLS would hide the messages; the fleet uses none.
package gauger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/sleeper"
)

// Serve runs one node until its context ends.
type Serve func(ctx context.Context, settings loader.Settings, logger zerolog.Logger) error

// Options describe one measurement.
type Options struct {
	Serve Serve
	// Nodes is the size of the fleet; at least 1.
	Nodes int
	// Duration is the length of each phase.
	Duration time.Duration
	// Rate is the number of requests a second that all callers together send under load.
	Rate float64
	// LimitFactor is how many times the requests that it sends an organisation may send; 0 means no limits.
	LimitFactor float64
	// TokenStep is the time of each of an answer's 16 tokens; 0 means 1 ms.
	TokenStep time.Duration
	// Upstreams is the number of upstreams of each of the four services; 0 means 4.
	Upstreams int
	// Changes is the number of settings changes made in the phase of changes.
	Changes int
	// Policy is how the nodes choose upstreams.
	Policy loader.Policy
	// Usage reads the processor time and memory of all nodes; nil reads those of this process.
	Usage func() (Usage, error)
}

// Phase names what happens while a figure is taken.
type Phase string

// Phases in their order.
const (
	PhaseIdle    Phase = "idle"
	PhaseLoad    Phase = "load"
	PhaseChanges Phase = "changes"
)

// Figures are what one phase cost. Rates are per second and per node, over the whole phase.
type Figures struct {
	Nodes  int           `json:"nodes"`
	Policy loader.Policy `json:"policy"`
	Phase  Phase         `json:"phase"`
	// Seconds is how long the phase lasted.
	Seconds float64 `json:"seconds"`
	// Ends counts the requests by their end: EndAnswered, the name of a result, or what broke.
	Ends    map[string]int64 `json:"ends"`
	Changes int              `json:"changes"`

	// PeerBytes are the bytes between nodes that a node sent and received, without headers of TCP, UDP and IP.
	PeerBytes    float64 `json:"peer_bytes_per_second"`
	PeerMessages float64 `json:"peer_messages_per_second"`
	// BusiestPeerBytes is the same for the node with the most.
	BusiestPeerBytes float64 `json:"busiest_peer_bytes_per_second"`
	// Links is the number of open connections that a node dialled to others or took from them.
	Links float64 `json:"links"`
	// Methods are the parts of PeerBytes by the method of the message; answers count with their calls.
	Methods map[string]Method `json:"methods"`

	// PlatformCalls are the calls of the whole fleet, not of one node, by kind.
	PlatformCalls map[string]float64 `json:"platform_calls_per_second"`
	// PlatformBytes are sent and received by a node on platform calls, with HTTP headers.
	PlatformBytes float64 `json:"platform_bytes_per_second"`
	// Polls are the load reports that a node fetched; PollBytes their size with HTTP headers, 0 when not measured.
	Polls     float64 `json:"polls_per_second"`
	PollBytes float64 `json:"poll_bytes"`

	// Cores is processor time divided by time and nodes; MemoryBytes is memory divided by nodes.
	Cores       float64 `json:"cores"`
	MemoryBytes float64 `json:"memory_bytes"`
}

// Method is the traffic of one method per second and node, sent and received.
type Method struct {
	Bytes    float64 `json:"bytes_per_second"`
	Messages float64 `json:"messages_per_second"`
}

// Answered is the number of requests that were answered whole, Failed that of all others.
func (f *Figures) Answered() (answered, failed int64) {
	for name, count := range f.Ends {
		if name == EndAnswered {
			answered = count
		} else {
			failed += count
		}
	}

	return answered, failed
}

// settle is the time before the first phase: nodes start, read the tree and find each other.
const settle = 3 * time.Second

// Gauge starts a fleet, measures its phases and stops it.
func Gauge(ctx context.Context, options Options) ([]Figures, error) {
	if options.Usage == nil {
		options.Usage = ownUsage
	}

	if options.TokenStep == 0 {
		options.TokenStep = defaultTokenStep
	}

	if options.Upstreams == 0 {
		options.Upstreams = defaultUpstreams
	}

	ctx, cancel := context.WithCancel(ctx)
	f := newFleet(options)

	defer func() {
		cancel()
		f.running.Wait()
	}()

	before, err := options.Usage()
	if err != nil {
		return nil, err
	}

	if err := f.start(ctx); err != nil {
		return nil, err
	}

	return f.phases(ctx, before)
}

func (f *fleet) phases(ctx context.Context, before Usage) ([]Figures, error) {
	if err := sleep(ctx, settle); err != nil {
		return nil, err
	}

	phases := []struct {
		phase Phase
		work  func(ctx context.Context, figures *Figures) error
	}{
		{PhaseIdle, func(ctx context.Context, _ *Figures) error { return sleep(ctx, f.options.Duration) }},
		{PhaseLoad, f.offer},
		{PhaseChanges, f.change},
	}

	var all []Figures

	for _, v := range phases {
		figures := Figures{Nodes: f.options.Nodes, Policy: f.options.Policy, Phase: v.phase}

		begun, err := f.observe()
		if err != nil {
			return nil, err
		}

		if err := v.work(ctx, &figures); err != nil {
			return nil, errors.Wrapf(err, "phase %s", v.phase)
		}

		ended, err := f.observe()
		if err != nil {
			return nil, err
		}

		figures.compare(begun, ended, before)
		all = append(all, figures)
	}

	return all, nil
}

// sleep returns the context's error if that ends before the time is over.
func sleep(ctx context.Context, length time.Duration) error {
	if !sleeper.Sleep(ctx, length) {
		return ctx.Err()
	}

	return nil
}
