// Package broker obtains an upstream for each request of this node and reports the outcome of the request.
//
// The upstreams of a service are divided into pools. One node, the holder of a pool, chooses the
// upstreams for all nodes, so that every choice is based on one complete view. A second node, the
// standby, receives the same reports and can take over at once. Nodes find both by rendezvous hashing
// over the live nodes. If the holder doesn't answer, a node asks the standby, and if that doesn't
// answer either, it decides from the requests that it knows of itself. Two holders for a short time do
// no harm, except to upstreams that name a rate limit: limitTerms says who may choose those.
package broker

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/batcher"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/estimator"
	"quincepath.example/quincepath/internal/throttler"
)

const (
	// chooseTimeout limits a call to a holder. A round trip between failure domains takes 3 ms; the
	// shortest latency targets are 100 ms.
	chooseTimeout = 50 * time.Millisecond
	// standbyDelay is how long reports for the standby are gathered. The standby decides only for nodes that have waited
	// chooseTimeout for the holder or doubt it, so what it knows then is as recent as without the delay.
	standbyDelay = chooseTimeout
	// holderBackoff is how long a holder isn't asked after it failed to answer.
	holderBackoff = 400 * time.Millisecond
	// maxDoubtDoublings limits the time without asking a holder that failed repeatedly, to 3.2 s.
	maxDoubtDoublings = 3
	// queuedRetryInterval is how long a queued request waits for a grant before the holders are asked again.
	queuedRetryInterval = 400 * time.Millisecond
	// grantInterval is the time between periodic attempts to grant queued requests an upstream.
	grantInterval = 50 * time.Millisecond
	// queueTimeFraction is the fraction of its time limit that a request may wait in a queue.
	queueTimeFraction = 0.6
	// liveCheckInterval is the minimum time between two checks of the live nodes.
	liveCheckInterval = 100 * time.Millisecond
	// holdersPerPool is the number of nodes that receive the reports about a pool: the holder and its standby.
	holdersPerPool = 2
	// holderCandidates is the number of nodes among which the holder of a pool is selected. There are fewer pools than nodes,
	// so nearly always one of the candidates holds less than its even share.
	holderCandidates = 8
	// choiceLifetime is how long after it was asked for a choice of an upstream with a rate limit may be used. A frozen node
	// would otherwise send requests that were admitted seconds ago.
	choiceLifetime = time.Second
	// maxEjectionLogsPerSecond limits the log lines about ejections.
	maxEjectionLogsPerSecond = 10
	// maxDoubtLogsPerSecond limits the log lines about holders that don't answer.
	maxDoubtLogsPerSecond = 10
)

// Methods of the messages between nodes.
const (
	// MethodChoose asks a holder to choose an upstream.
	MethodChoose = "pool.choose"
	// MethodReport sends reports about requests to a holder, and grants for queued requests to the nodes that sent them.
	MethodReport = "pool.report"
)

// Peers sends messages to other nodes.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
	Notify(ctx context.Context, peer, method string, params any) error
}

// Options configures a Broker. All fields up to Logger are required.
type Options struct {
	// Self is this node's name.
	Self string
	// Live returns the names of the live nodes that are not shutting down, this one included unless it is shutting down.
	Live func() []string
	// Leaving returns the names of the nodes that respond and are shutting down.
	Leaving func() []string
	// LimitShare returns the part of the upstreams' rate limits that this node and the nodes which it reaches may use, from
	// 0 to 1.
	LimitShare func() float64
	// Now returns a monotonic time that also advances while the system is suspended.
	Now    func() time.Duration
	Peers  Peers
	Logger zerolog.Logger
	// Scheduling selects the pools' optional decisions.
	Scheduling balancer.Options
	// SpreadHolders chooses holders in proportion to their capacity, has those that run late hand over, and doubts those that
	// fail repeatedly for longer.
	SpreadHolders bool
	// Capacity returns the capacity of a node relative to others, 0 if it isn't known. It is required with SpreadHolders.
	Capacity func(node string) float64
}

// Broker keeps the pools of all services. It is safe for concurrent use.
//
// Lock order: Broker.mu, then the lock of a pool. Neither is held during calls to other nodes.
type Broker struct {
	options Options
	outbox  *batcher.Batcher[report]
	// limits holds the rate limits that the upstreams name.
	limits *throttler.Table
	// ejectionLogger samples the log lines about ejections, which are many where one node reaches no upstream.
	ejectionLogger zerolog.Logger
	// doubtLogger samples the log lines about holders that don't answer: a starved holder would cause one for each request.
	doubtLogger zerolog.Logger

	mu sync.Mutex
	// registry is the registry that was last applied.
	registry cataloguer.Registry
	// services holds the services by name.
	services map[string]*serviceUpstreams
	// pools holds the pools that this node used lately, by name, which consists of service and partition. A large fleet has
	// hundreds of pools, of which a node decides for few.
	pools map[string]*usedPool
	// droppedAt is when unused pools were last looked for.
	droppedAt time.Time
	// nodeChooser chooses among the live nodes. It is nil before the first check of the live nodes.
	nodeChooser *chooser.Chooser
	// ranking holds the nodes among which the holder of each pool is selected.
	ranking   *chooser.Ranking
	liveNodes []string
	// liveCapacities are the capacities of liveNodes, nil unless holders are spread.
	liveCapacities []float64
	liveCheckedAt  time.Time
	// holders caches the holder and the standby of each pool. It is cleared when the live nodes or the partitions change.
	holders map[string][]string
	// tenures tracks by pool since when this node is its holder or standby. A new one does not decide for other nodes at once:
	// a restarted node would consider all upstreams idle and overload them, next to the node that held the pool meanwhile.
	tenures map[string]*throttler.Tenure
	// leavingNodes and limitShare are the values of Options.Leaving and Options.LimitShare at the last check of the live
	// nodes.
	leavingNodes []string
	limitShare   float64
	// backoffUntil maps nodes that did not answer to the time until which they aren't asked.
	backoffUntil map[string]time.Time
	// doubts counts the failures in a row of nodes that did not answer, up to maxDoubtDoublings; it is empty unless holders are
	// spread. lateUntil maps nodes that said that they run late to the time until which that holds.
	doubts    map[string]int
	lateUntil map[string]time.Time
	lateness  lateness
	// grantChannels maps the ids of this node's requests that may be queued to the channels for their grants.
	grantChannels map[string]chan balancer.Grant
	// running holds this node's running requests, which are reported to new holders.
	running        map[string]runningRequest
	brittle        BrittleCounters
	holderCounters HolderCounters
	// refusals is used by Utilisation.
	refusals refusalCounter
}

// runningRequest is a request that this node sent to an upstream.
type runningRequest struct {
	pool      string
	upstream  string
	work      balancer.Request
	answered  bool
	expiresAt time.Time
	// limitVersion is the version of the upstream's rate limit that was known when the request was sent.
	limitVersion int64
	// pauses is set once a stream is complete.
	pauses *balancer.EventGaps
	// load is what the upstream reported with a response that isn't a stream; nil if nothing.
	load *balancer.Load
}

// serviceUpstreams are the upstreams of one service.
type serviceUpstreams struct {
	engine balancer.Engine
	// maxSlots is the largest number of requests that one upstream can run at once, whatever its entry says.
	maxSlots int
	partitioning
}

// usedPool is a pool with the time of its last use.
type usedPool struct {
	*balancer.Pool
	usedAt time.Time
}

// New returns a Broker without services.
func New(options Options) *Broker {
	ranking := chooser.NewRanking(holderCandidates)
	if options.SpreadHolders {
		ranking = chooser.NewWeightedRanking(holderCandidates, options.Capacity)
	}

	return &Broker{
		options:        options,
		ejectionLogger: options.Logger.Sample(&zerolog.BurstSampler{Burst: maxEjectionLogsPerSecond, Period: time.Second}),
		doubtLogger:    options.Logger.Sample(&zerolog.BurstSampler{Burst: maxDoubtLogsPerSecond, Period: time.Second}),
		outbox: batcher.New(func(ctx context.Context, node string, batch []report) {
			// Errors are ignored: a node that can't be reached has no use for the reports later.
			_ = options.Peers.Notify(ctx, node, MethodReport, reportParams{Reports: batch})
		}),
		limits:        throttler.NewTable(),
		services:      make(map[string]*serviceUpstreams),
		pools:         make(map[string]*usedPool),
		ranking:       ranking,
		holders:       make(map[string][]string),
		tenures:       make(map[string]*throttler.Tenure),
		backoffUntil:  make(map[string]time.Time),
		doubts:        make(map[string]int),
		lateUntil:     make(map[string]time.Time),
		grantChannels: make(map[string]chan balancer.Grant),
		running:       make(map[string]runningRequest),
	}
}

// Run grants queued requests and sends reports until ctx ends.
func (b *Broker) Run(ctx context.Context) {
	go b.grantPeriodically(ctx)
	b.outbox.Run(ctx)
}

// Stats describes one pool as this node sees it.
type Stats struct {
	// Holder is the node that chooses the upstreams of the pool.
	Holder  string                  `json:"holder"`
	Waiting int                     `json:"waiting"`
	Figures estimator.Estimates     `json:"figures"`
	Servers []balancer.ServerReport `json:"servers"`
	// Admission is set if the pool shares scarce room by work.
	Admission *balancer.AdmissionCounters `json:"admission,omitempty"`
}

// Stats returns the state of all pools by name. Only those that this node used lately have more than a holder.
func (b *Broker) Stats(now time.Time) map[string]Stats {
	used := b.usedPools()
	stats := make(map[string]Stats)

	for _, name := range b.poolNames() {
		var s Stats
		if pool, ok := used[name]; ok {
			s = Stats{Waiting: pool.QueueLength(), Figures: pool.Estimates(), Servers: pool.Report(now), Admission: pool.AdmissionCounters()}
		}

		if holders := b.holdersOf(name); len(holders) > 0 {
			s.Holder = holders[0]
		}

		stats[name] = s
	}

	return stats
}
