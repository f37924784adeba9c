// Package distributor brings every accepted version of the settings tree to all nodes.
//
// Two nodes of each failure domain watch the platform's store. All others
// learn from peers that a newer revision exists and pull the difference from
// one of them, so calls on the store grow with failure domains, not with nodes.
// A node never replaces its tree by one with a lower revision.
package distributor

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Store is the platform's store as watchers and starting nodes use it.
type Store interface {
	configurer.Reader
	Watch(ctx context.Context, prefix string, from int64) (<-chan storer.WatchEvents, error)
}

// Caller sends messages to other nodes by their names.
type Caller interface {
	// Call waits for the result.
	Call(ctx context.Context, peer, method string, params, result any) error
	// Notify expects none.
	Notify(ctx context.Context, peer, method string, params any) error
}

// Member is a node that is thought to be up.
type Member struct {
	Name          string
	FailureDomain string
}

// Members knows the nodes that are thought to be up; it may list this node or leave it out.
type Members interface {
	Live() []Member
}

// Options make a Distributor.
type Options struct {
	// Self is this node.
	Self Member
	// Store is nil when the node runs without the platform; the tree then stays Initial, or what peers have.
	Store   Store
	Caller  Caller
	Members Members
	// Initial is the snapshot until the first tree arrives; its revision is 0.
	Initial configurer.Snapshot
	Logger  zerolog.Logger
	// Seed fixes the choice of peers in tests; 0 means a random one.
	Seed uint64
}

const (
	// storeTimeout bounds one call of the store; pullTimeout and notifyTimeout one call of a peer.
	storeTimeout  = time.Second
	pullTimeout   = 500 * time.Millisecond
	notifyTimeout = 500 * time.Millisecond
	// roleInterval is the time between two looks at whether this node is a watcher, and
	// roleGrace how long it goes on watching after it no longer is.
	roleInterval = time.Second
	roleGrace    = 5 * time.Second
	// pollInterval is the mean time between two looks at the head beside a watch, and
	// silenceGrace how long the watch may then take to tell what was seen.
	pollInterval = 2 * time.Second
	silenceGrace = 250 * time.Millisecond
	// longestStorePause and longestPeerPause are the longest mean times between two tries.
	longestStorePause = 4 * time.Second
	longestPeerPause  = 2 * time.Second
	// pullPause is the mean time after a failed pull until another peer is asked.
	pullPause = 20 * time.Millisecond
	// sendWorkers bounds the announcements on their way at once.
	sendWorkers = 8
	// startPeers is the number of peers that a starting node asks.
	startPeers = 3
	// fanout is the number of peers that hear of a new revision in each round.
	fanout = 3
	// rings is the number of orders of the nodes in which each tells the next one; several times
	// fanout. Twice, so that a message lost in one round goes another way in the next.
	rings = 2 * fanout
)

// rounds are the times after a new revision at which peers are told of it. A message that is
// lost in one round is made good in the next; heartbeats do the rest.
var rounds = []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond}

// Distributor holds one node's tree and keeps it up to date.
//
// Lock order: applying, then mu. Subscribers are called under applying.
type Distributor struct {
	options  Options
	resolver *configurer.Resolver
	sends    pond.Pool
	// sending counts the tasks of sends. Stopping the pool would do as well, but borrows a
	// process-wide pool, which tests in virtual time can't use.
	sending  sync.WaitGroup
	counters counters

	table     atomic.Pointer[table]
	published atomic.Pointer[configurer.Snapshot]
	ready     chan struct{}
	readyOnce sync.Once

	// applying makes changes of table and published happen one after the other.
	applying    sync.Mutex
	subscribers []func(configurer.Snapshot)

	mu     sync.Mutex
	random *rand.Rand
	// heard holds peers that have a newer revision than this node.
	heard map[string]int64
	// told holds the last revision that a peer was told because it announced an older one.
	told map[string]int64

	pullWanted     chan struct{}
	announceWanted chan struct{}
}

// New returns a Distributor that does nothing before Run.
func New(options Options) *Distributor {
	seed := options.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}

	d := &Distributor{
		options:        options,
		resolver:       configurer.NewResolver(),
		sends:          pond.NewPool(sendWorkers),
		ready:          make(chan struct{}),
		random:         rand.New(rand.NewPCG(seed, xxhash.Sum64String(options.Self.Name))),
		heard:          map[string]int64{},
		told:           map[string]int64{},
		pullWanted:     make(chan struct{}, 1),
		announceWanted: make(chan struct{}, 1),
	}
	d.table.Store(newTable())
	d.published.Store(&options.Initial)

	return d
}

// Run works until ctx ends. Call it once.
func (d *Distributor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, work := range []func(context.Context){d.start, d.keepRole, d.pullLoop, d.announceLoop} {
		wg.Go(func() { work(ctx) })
	}

	wg.Wait()
	d.sending.Wait()
}

// Snapshot returns the tree in force; Initial before the first one. It never blocks.
func (d *Distributor) Snapshot() configurer.Snapshot {
	return *d.published.Load()
}

// Subscribe has f called with every later snapshot, in order. Call it before Run; f must return quickly.
func (d *Distributor) Subscribe(f func(configurer.Snapshot)) {
	d.subscribers = append(d.subscribers, f)
}

// Ready is closed once the node may serve. That is when the store has told the tree; or when
// the store was asked and didn't answer, each of up to three peers has answered or failed, at
// least one that is ready itself has answered, and no peer is known to have a newer tree than
// the highest of these answers.
func (d *Distributor) Ready() <-chan struct{} {
	return d.ready
}

// IsReady reports whether the node may serve.
func (d *Distributor) IsReady() bool {
	select {
	case <-d.ready:
		return true
	default:
		return false
	}
}

func (d *Distributor) becomeReady(by string) {
	d.readyOnce.Do(func() {
		close(d.ready)
		d.options.Logger.Info().Str("event", "tree_ready").Str("by", by).Int64("revision", d.table.Load().revision).Send()
		signal(d.announceWanted)
	})
}

// Revision returns the revision to send with heartbeats: that of the tree held, or 0 before the node is ready.
func (d *Distributor) Revision() int64 {
	if !d.IsReady() {
		return 0
	}

	return d.table.Load().revision
}

// PeerRevision takes the revision that came with a peer's heartbeat. It never blocks on the network.
func (d *Distributor) PeerRevision(peer string, revision int64) {
	if revision <= d.table.Load().revision || peer == d.options.Self.Name {
		return
	}

	d.mu.Lock()
	d.heard[peer] = max(d.heard[peer], revision)
	d.mu.Unlock()
	signal(d.pullWanted)
}

// apply takes an update from the store or a peer and reports whether it brought something newer.
func (d *Distributor) apply(u update, source string) bool {
	d.applying.Lock()
	defer d.applying.Unlock()

	next, newer := d.table.Load().apply(u)
	if !newer {
		d.counters.ignored.Add(1)
		return false
	}

	d.publish(next, source)
	d.table.Store(next)
	signal(d.announceWanted)

	return true
}

// publish puts the services of a tree in force. A tree that breaks a rule can only have been
// written past the editor; the last good one stays in force, and the revision still
// moves on, else the node would pull the same tree again and again.
func (d *Distributor) publish(next *table, source string) {
	snapshot, err := d.resolver.Resolve(next.sorted())
	if err != nil {
		d.counters.rejected.Add(1)
		d.options.Logger.Error().Str("event", "tree_rejected").Int64("revision", next.revision).
			Str("reason", classifier.From(err).Reason).Send()

		return
	}

	snapshot.Revision = next.revision
	d.published.Store(&snapshot)
	d.counters.applied.Add(1)
	d.options.Logger.Info().Str("event", "tree_applied").Int64("revision", next.revision).Str("source", source).Send()

	for _, f := range d.subscribers {
		f(snapshot)
	}
}

func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}
