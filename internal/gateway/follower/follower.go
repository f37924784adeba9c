// Package follower keeps a node's catalog up to date, from the platform's store
// and from other nodes.
//
// All nodes stand in one order that each computes from the live ones. The first
// reads the store; each other node asks a node before it in a tree of that order,
// which answers with what changed and with the age of its proof. A node whose
// proof gets too old reads the store itself, and asks any peer if that fails. So
// the store is read by one node while all is well, a node that the store turns
// away still learns all through its peers, and nobody has to be elected.
//
// A peer's answer counts from the moment at which it was asked for: an answer
// that was held up on the way would else look fresher than it is.
package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	// tick is how often a node looks at what is due.
	tick = 100 * time.Millisecond
	// storeInterval is the time between two reads of the first node. Changes are in force after
	// it, a call and the way through the tree: well within the two seconds that operators get.
	storeInterval = 600 * time.Millisecond
	// peerInterval is the time between two questions to the parent.
	peerInterval = 400 * time.Millisecond
	// patience is the age of the proof at which the second node reads the store itself. It is above what
	// the first node's interval and the question to it add up to while all is well.
	patience = 1050 * time.Millisecond
	// patienceStep is added for each further place, up to patienceSteps: the nodes after the first one
	// replace it one by one and not all at once.
	patienceStep  = 120 * time.Millisecond
	patienceSteps = 5
	// patienceSpread parts the nodes of the same patience.
	patienceSpread = 100 * time.Millisecond
	// storeTimeout bounds one read. A read that takes longer is begun anew on another connection.
	storeTimeout = 700 * time.Millisecond
	// peerTimeout bounds one question to a peer.
	peerTimeout = 300 * time.Millisecond
	// fanOut is the number of nodes that ask the same parent. Three levels reach 4,000 nodes.
	fanOut = 16
	// announceInterval is the time between two tries to list this node in the store.
	announceInterval = 2 * time.Second
	// withdrawInterval is the time between two looks for nodes that are gone for good. It costs the first
	// node a comparison, and the store one write for all that are found.
	withdrawInterval = time.Minute
	// outageTime is the time without a sound read after which entries may have lapsed in the store.
	outageTime = 2500 * time.Millisecond
)

// Methods between nodes.
const (
	// MethodPull asks a peer for what it knows beyond the asker's versions.
	MethodPull = "catalog.pull"
	// MethodChanged tells a peer that there is something to ask for.
	MethodChanged = "catalog.changed"
)

// Store reads the platform's store. Each call is one linearizable read.
type Store interface {
	// Configuration returns the configuration in force, version 0 if there is none, and the store's revision.
	Configuration(ctx context.Context) (cataloguer.Configuration, int64, error)
	// Registry returns the upstreams and nodes.
	Registry(ctx context.Context) (cataloguer.Registry, error)
	// Announce lists this node in the registry.
	Announce(ctx context.Context, node cataloguer.Node) error
	// Withdraw removes nodes from the registry.
	Withdraw(ctx context.Context, names []string) error
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
	// Live returns the names of the nodes that answer, this one included, in any order.
	Live func() []string
	// Gone returns the names of listed nodes that were not reached for so long that they won't come back.
	Gone   func() []string
	Logger zerolog.Logger
}

// Follower feeds one catalog. It is safe for concurrent use.
type Follower struct {
	options Options
	wake    chan struct{}

	mu sync.Mutex
	// readAt is when the last read of the store was begun, by the catalog's clock; negative before the first.
	readAt time.Duration
	// soundAt is when the last read of the store succeeded; negative before the first.
	soundAt time.Duration
	// askedAt is when the last question to a peer was begun.
	askedAt time.Duration
	// announcedAt is when this node last tried to list itself.
	announcedAt time.Duration
	// withdrawnAt is when this node last looked for nodes that are gone.
	withdrawnAt time.Duration
	// fresh is the peer that answered last with a fresh proof; empty if none did.
	fresh string
	// turn counts the questions of a stale node, so that it asks all others one after the other.
	turn int
	// teller is a node that said to have something new and was not asked yet.
	teller string
	// reading and asking say that a read or a question is under way.
	reading, asking bool
	// storeLost says that the last read of the store failed; it keeps the log at one line for each change.
	storeLost bool
}

// New returns a follower that has asked nobody yet.
func New(options Options) *Follower {
	return &Follower{
		options:     options,
		wake:        make(chan struct{}, 1),
		readAt:      -time.Hour,
		soundAt:     -time.Hour,
		askedAt:     -time.Hour,
		announcedAt: -time.Hour,
		withdrawnAt: -time.Hour,
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
	order := Order(f.options.Live())
	rank := max(slices.Index(order, f.options.Self.Name), 0)

	if f.takeRead(rank) {
		go f.read(ctx)
	}

	if peer, ok := f.takeQuestion(order, rank); ok {
		go f.ask(ctx, peer)
	}

	if f.takeAnnouncement() {
		go f.announce(ctx)
	}

	if gone := f.takeWithdrawal(rank); len(gone) > 0 {
		go f.withdraw(ctx, gone)
	}
}

// Order sorts nodes so that all nodes agree on it without a message and a name says nothing of the place.
func Order(nodes []string) []string {
	order := slices.Clone(nodes)

	slices.SortFunc(order, func(a, b string) int {
		left, right := xxhash.Sum64String(a), xxhash.Sum64String(b)

		switch {
		case left < right:
			return -1
		case left > right:
			return 1
		default:
			return 0
		}
	})

	return order
}
