// Package broker asks for the upstream of each request and tells what became of it.
//
// One node holds the pool of a service and decides for all, so that the choice
// rests on one exact view. A second one, the standby, is told the same and takes
// over at once. Nodes find both by hashing over the live nodes. A node whose holder doesn't
// answer asks the standby, and else decides by its own sends: the holder is an
// efficiency, and two of them for a moment break nothing.
package broker

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/estimator"
)

const (
	// askTimeout bounds a question to a holder. A way and back takes 3 ms between failure domains; the
	// shortest targets are 100 ms.
	askTimeout = 50 * time.Millisecond
	// doubtTime is how long a holder that did not answer isn't asked.
	doubtTime = 400 * time.Millisecond
	// askAgain is how long a queued request waits before its holder is asked again.
	askAgain = 400 * time.Millisecond
	// grantInterval is the time between two looks for room without another reason.
	grantInterval = 50 * time.Millisecond
	// waitPart is the part of its time that a request may wait in a queue.
	waitPart = 0.6
	// placeInterval is the time between two looks at the live nodes.
	placeInterval = 100 * time.Millisecond
	// flushInterval is how long reports are gathered.
	flushInterval = 4 * time.Millisecond
	// reportQueue bounds the reports that wait for one node; older ones are dropped.
	reportQueue = 4096
	// warmUp is how long a node knows of a pool before it decides for others: until then the other nodes learn that
	// it lives and tell it what they have running. A node that came back would else take all upstreams for idle,
	// and fill them beside the one that held the pool meanwhile. News of a node take some two seconds to reach all.
	warmUp = 2500 * time.Millisecond
	// holders is the number of nodes that know a pool: the one that decides and its standby.
	holders = 2
	// holderCandidates is the number of nodes among which the holder of a pool is found. Holders are few
	// beside nodes, so one of them nearly always holds less than its part.
	holderCandidates = 8
)

// Methods between nodes.
const (
	// MethodChoose asks a holder for an upstream.
	MethodChoose = "pool.choose"
	// MethodReport tells a holder what became of requests, and a node which upstream its request got that waited.
	MethodReport = "pool.report"
)

// Peers reaches other nodes.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
	Notify(ctx context.Context, peer, method string, params any) error
}

// Options are the parts of a Broker; all are required.
type Options struct {
	// Self is this node's name.
	Self string
	// Live returns the names of the nodes that answer and stay, this one included unless it leaves.
	Live   func() []string
	Peers  Peers
	Logger zerolog.Logger
}

// Broker keeps one pool for each service. It is safe for concurrent use.
//
// Lock order: Broker.mu, then that of a pool. Neither is held during calls.
type Broker struct {
	options Options
	out     *outbox

	mu sync.Mutex
	// pools are named by service and part.
	pools map[string]*balancer.Pool
	// layouts holds for each service how its upstreams are parted.
	layouts map[string]layout
	// nodes chooses among the live nodes; nil before the first look.
	nodes    *chooser.Chooser
	live     []string
	placedAt time.Time
	// holders caches the choice for each service; it is emptied when the nodes change.
	holders map[string][]string
	// knownSince is when this node became one of those that know a pool.
	knownSince map[string]time.Time
	// doubted maps nodes that did not answer to the time until which they aren't asked.
	doubted map[string]time.Time
	// waiting maps this node's requests that wait in a pool's queue to where their grant goes.
	waiting map[string]chan balancer.Grant
	// running holds this node's own requests, to tell a new holder of them.
	running map[string]running
}

// running is a request that this node sent.
type running struct {
	pool     string
	upstream string
	work     balancer.Request
	answered bool
	until    time.Time
	// pauses is set once a stream has come whole.
	pauses *balancer.EventGaps
}

// New returns a broker without services.
func New(options Options) *Broker {
	return &Broker{
		options: options,
		out:     newOutbox(options.Peers),
		pools:   make(map[string]*balancer.Pool),
		layouts: make(map[string]layout),
		holders: make(map[string][]string),

		knownSince: make(map[string]time.Time),
		doubted:    make(map[string]time.Time),
		waiting:    make(map[string]chan balancer.Grant),
		running:    make(map[string]running),
	}
}

// Run sends reports until ctx ends.
func (b *Broker) Run(ctx context.Context) {
	go b.grantRegularly(ctx)
	b.out.run(ctx)
}

// Update takes in the services and upstreams of a state.
func (b *Broker) Update(state *cataloguer.State) {
	upstreams := make(map[string][]balancer.Upstream)

	for _, upstream := range state.Registry.Upstreams {
		upstreams[upstream.Service] = append(upstreams[upstream.Service], balancer.Upstream{
			ID:       upstream.ID,
			Address:  upstream.Address,
			Born:     upstream.Born,
			Slots:    upstream.Slots,
			Draining: upstream.Draining,
		})
	}

	now := time.Now()
	named := make(map[string]bool)

	for _, service := range state.Configuration.Services {
		engine := balancer.Engine{}
		if service.Engine != nil {
			engine = balancer.Engine{CacheTokens: service.Engine.CacheTokens, EventTokens: service.Engine.EventTokens}
		}

		parts := split(upstreams[service.Name])
		b.setLayout(service.Name, newLayout(parts))

		for i, part := range parts {
			name := poolName(service.Name, i)
			named[name] = true
			b.pool(name).SetUpstreams(now, part, engine)
		}
	}

	b.dropOthers(named)
	b.grantAll(now)
}

func (b *Broker) setLayout(service string, l layout) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if len(b.layouts[service].weights) != len(l.weights) {
		clear(b.holders)
	}

	b.layouts[service] = l
}

func (b *Broker) dropOthers(named map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	maps.DeleteFunc(b.pools, func(name string, _ *balancer.Pool) bool { return !named[name] })
}

// poolOf returns the name of the pool for a request: the same one for requests of one session.
func (b *Broker) poolOf(service string, work *balancer.Request) string {
	b.mu.Lock()
	l := b.layouts[service]
	b.mu.Unlock()

	return poolName(service, l.part(work))
}

func (b *Broker) pool(service string) *balancer.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()

	pool, ok := b.pools[service]
	if !ok {
		pool = balancer.NewPool()
		b.pools[service] = pool
	}

	return pool
}

// Stats describes one pool as this node sees it.
type Stats struct {
	// Holder is the node that decides for the pool.
	Holder  string                  `json:"holder"`
	Waiting int                     `json:"waiting"`
	Figures estimator.Estimates     `json:"figures"`
	Servers []balancer.ServerReport `json:"servers"`
}

// Stats returns the state of all pools by service.
func (b *Broker) Stats(now time.Time) map[string]Stats {
	b.mu.Lock()
	services := slices.Collect(maps.Keys(b.pools))
	b.mu.Unlock()

	stats := make(map[string]Stats, len(services))

	for _, service := range services {
		pool := b.pool(service)
		s := Stats{Waiting: pool.QueueLength(), Figures: pool.Estimates(), Servers: pool.Report(now)}

		if held := b.holdersOf(service); len(held) > 0 {
			s.Holder = held[0]
		}

		stats[service] = s
	}

	return stats
}
