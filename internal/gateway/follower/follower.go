// Package follower keeps a node's catalog up to date, from the platform's store
// and from other nodes.
//
// All nodes stand in one tree that each computes from the live ones. The first
// reads the store; each other node asks its parent, which answers with what
// changed and with the age of its proof. When the first one can't read the store,
// the next ones try in turn, the later the more nodes stand before them, and the
// one that succeeds reads for all meanwhile. So the store gets as many calls from
// 300 nodes as from nine, also while it is away, a node that it turns away still
// learns all through its peers, and nobody has to be elected. A node that
// reaches no peer reads for itself.
//
// A peer's answer counts from the moment at which it was asked for: an answer
// that was held up on the way would else look fresher than it is.
package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/packer"
	"quincepath.example/quincepath/internal/quarantiner"
)

// tick is how often a node looks at what is due.
const tick = 100 * time.Millisecond

// ErrHistoryCompacted says that the store doesn't know any more what changed since a revision.
var ErrHistoryCompacted = errors.New("the store dropped that history")

// Store reads and writes the platform's store. Revision and Configuration are linearizable reads.
type Store interface {
	// Revision returns the store's revision, which each change moves. It is the cheapest read.
	Revision(ctx context.Context) (int64, error)
	// Configuration returns the configuration in force, version 0 if there is none, and the store's revision.
	Configuration(ctx context.Context) (cataloguer.Configuration, int64, error)
	// Registry returns the upstreams, the nodes and the requests in quarantine.
	Registry(ctx context.Context) (cataloguer.Registry, error)
	// Changes returns what changed after a revision, or ErrHistoryCompacted. It may lack the newest changes.
	Changes(ctx context.Context, after int64) (Changes, error)
	// Announce lists nodes in the registry.
	Announce(ctx context.Context, nodes []cataloguer.Node) error
	// Withdraw removes nodes from the registry.
	Withdraw(ctx context.Context, names []string) error
}

// Changes are what was written to the store after some revision.
type Changes struct {
	// Revision is that of the newest change among them; 0 if there is none.
	Revision int64
	// Configuration is nil if it was not written.
	Configuration *cataloguer.Configuration
	// Upstreams, Nodes and Quarantined were written, those in RemovedUpstreams, by id, RemovedNodes, by name, and RemovedQuarantines, by the
	// request's key, removed or overwritten by what can't be read. Nothing stands in both.
	Upstreams          []cataloguer.Upstream
	Nodes              []cataloguer.Node
	Quarantined        []quarantiner.Quarantine
	RemovedUpstreams   []string
	RemovedNodes       []string
	RemovedQuarantines []string
}

// Peers reaches other nodes.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
	Notify(ctx context.Context, peer, method string, params any) error
}

// Options are the parts of a Follower; all are required.
type Options struct {
	Catalog *cataloguer.Catalog
	Store   Store
	Peers   Peers
	// Self is how this node announces itself.
	Self cataloguer.Node
	// Seeds are peers to ask while no others are known; they may be gone.
	Seeds func() []string
	// LiveNodes returns the names of the nodes that answer, this one included, in any order.
	LiveNodes func() []string
	// DepartedNodes returns the names of listed nodes that were not reached for so long that they won't come back.
	DepartedNodes func() []string
	Logger        zerolog.Logger
}

// Follower feeds one catalog. It is safe for concurrent use.
type Follower struct {
	options Options
	wake    chan struct{}
	// startedAt is when the follower was made, by the catalog's clock.
	startedAt time.Duration
	parcels   *parcels
	// pages holds the parcel that is coming in pages; only the one question under way uses it.
	pages packer.Assembler
	// stored is the registry as the store had it at the last read, without what the catalog keeps for lapsed entries; only the
	// one read under way uses it. Its revision is 0 before the first.
	stored cataloguer.Registry

	mu sync.Mutex
	// lastTree is over the nodes in lastLive and the registry with lastDigest. It isn't changed once made.
	lastTree   *tree
	lastLive   []string
	lastDigest uint64
	counters   Counters
	// random spreads nodes over time; its seed is the node's name.
	random *rand.Rand
	// readAt is when the last read of the store was begun, by the catalog's clock; negative before the first.
	readAt time.Duration
	// soundAt is when the last sound read of the store was begun; negative before the first.
	soundAt time.Duration
	// failedReads counts the reads that failed since the last sound one, or in the present outage.
	failedReads int
	// substitute says that this node reads in the place of the first one.
	substitute bool
	// reader is the node that read the newest proof from the store, at provenAt.
	reader   string
	provenAt time.Duration
	// heardAt is when the last question that a peer answered was begun; negative before the first.
	heardAt time.Duration
	// askedAt is when the last question to a peer was begun.
	askedAt time.Duration
	// failedAsks counts the questions to askedPeer that failed since it last answered.
	failedAsks int
	askedPeer  string
	// announcedAt is when this node last tried to list itself.
	announcedAt time.Duration
	// failedAnnouncements counts the tries that reached nobody since the last that did.
	failedAnnouncements int
	// arrivals are nodes that this one is to list, by their names; the first came at gatheredSince.
	arrivals      map[string]cataloguer.Node
	gatheredSince time.Duration
	// withdrawnAt is when this node last looked for nodes that are gone.
	withdrawnAt time.Duration
	// fresh is the peer that answered last with a fresh proof; empty if none did.
	fresh string
	// turn counts the questions of a stale node, so that it asks all others one after the other.
	turn int
	// teller is a node that said to have something new and was not asked yet.
	teller string
	// askedToReadAt is when a node that the store refuses asked this one to try; negative before the first did.
	askedToReadAt time.Duration
	// reading and asking say that a read or a question is under way.
	reading, asking bool
	// storeLost says that the last read of the store failed; it keeps the log at one line for each change.
	storeLost bool
}

// New returns a follower that has asked nobody yet.
func New(options Options) *Follower {
	return &Follower{
		options:       options,
		wake:          make(chan struct{}, 1),
		startedAt:     options.Catalog.Now(),
		random:        rand.New(rand.NewPCG(xxhash.Sum64String(options.Self.Name), 0)),
		parcels:       newParcels(options.Catalog),
		arrivals:      make(map[string]cataloguer.Node),
		readAt:        -time.Hour,
		soundAt:       -time.Hour,
		provenAt:      -time.Hour,
		heardAt:       -time.Hour,
		askedAt:       -time.Hour,
		askedToReadAt: -time.Hour,
		announcedAt:   -time.Hour,
		withdrawnAt:   -time.Hour,
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()

	for {
		f.step(ctx)

		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

// step begins what is due. Reads and questions run beside it, so that one that hangs delays no other.
func (f *Follower) step(ctx context.Context) {
	t := f.tree()

	if timeout, ok := f.takeRead(t); ok {
		go f.read(ctx, timeout)
	}

	if q, ok := f.takeQuestion(t); ok {
		go f.ask(ctx, q)
	}

	if gatherer, ok := f.takeAnnouncement(t); ok {
		go f.announce(ctx, gatherer)
	}

	if nodes := f.takeArrivals(); len(nodes) > 0 {
		go f.list(ctx, nodes)
	}

	if gone := f.takeWithdrawal(t.rank); len(gone) > 0 {
		go f.withdraw(ctx, gone)
	}
}

// tree returns the tree over the nodes that live now. It is made anew only when these or the registry change: it takes
// 0.1 ms of a core for 300 nodes, ten times a second.
func (f *Follower) tree() *tree {
	live := f.options.LiveNodes()
	state := f.options.Catalog.State()

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.lastTree == nil || f.lastDigest != state.Digest || !slices.Equal(f.lastLive, live) {
		f.lastTree = newTree(f.options.Self.Name, live, state.Registry.Nodes)
		f.lastLive, f.lastDigest = live, state.Digest
	}

	return f.lastTree
}

// age is how old the proof is; before the first one, how long the node waits for it.
func (f *Follower) age() time.Duration {
	if age, known := f.options.Catalog.ConfigurationAge(); known {
		return age
	}

	return f.options.Catalog.Now() - f.startedAt
}

// wakeUp makes the next step due at once.
func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
