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
	"encoding/json"
	"math/rand/v2"
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
	Seeds []string
	// Live returns the names of the nodes that answer, this one included, in any order.
	Live   func() []string
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

// takeRead says whether this node is to read the store now, and notes that it does.
func (f *Follower) takeRead(rank int) bool {
	now := f.options.Catalog.Now()
	age, known := f.options.Catalog.Age()

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.reading || now-f.readAt < storeInterval {
		return false
	}

	due := rank == 0 || !known || age > patienceOf(rank)+rand.N(patienceSpread)
	if !due {
		return false
	}

	f.reading, f.readAt = true, now

	return true
}

func patienceOf(rank int) time.Duration {
	return patience + time.Duration(min(max(rank-1, 0), patienceSteps))*patienceStep
}

// takeQuestion chooses the peer to ask now: the parent, or anyone while the proof is old.
func (f *Follower) takeQuestion(order []string, rank int) (string, bool) {
	now := f.options.Catalog.Now()
	age, known := f.options.Catalog.Age()
	// The first node asks another one as soon as its own reads fail.
	stale := !known || age > patience || rank == 0 && age > storeInterval+storeTimeout/2

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.asking {
		return "", false
	}

	if f.teller != "" {
		peer := f.teller
		f.teller, f.asking, f.askedAt = "", true, now

		return peer, true
	}

	if rank == 0 && !stale || now-f.askedAt < peerInterval {
		return "", false
	}

	peer, ok := f.choosePeer(order, rank, stale)
	if !ok {
		return "", false
	}

	f.asking, f.askedAt = true, now

	return peer, true
}

func (f *Follower) choosePeer(order []string, rank int, stale bool) (string, bool) {
	if !stale {
		return order[(rank-1)/fanOut], true
	}

	candidates := slices.Concat(order, f.options.Seeds)
	candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == f.options.Self.Name })

	if len(candidates) == 0 {
		return "", false
	}

	return candidates[rand.IntN(len(candidates))], true
}

// read reads the store once: the configuration, then the lists.
func (f *Follower) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	defer func() {
		f.mu.Lock()
		f.reading = false
		f.mu.Unlock()
	}()

	catalog := f.options.Catalog
	begun := catalog.Now()
	age, known := catalog.Age()
	// Nobody reached the store for a while: entries may have lapsed that come back.
	afterOutage := known && age > outageTime

	configuration, revision, err := f.options.Store.Configuration(ctx)
	if err != nil {
		f.noteStore(err)

		return
	}

	changed := false

	if configuration.Version > 0 {
		changed = catalog.Configure(configuration, begun)
	}

	if changed {
		f.logConfiguration("store", begun)
		f.spreadFromStore(ctx)
	}

	if state := catalog.State(); revision > 0 && revision <= state.Registry.Revision && state.Registry.Kept == 0 {
		f.noteSound()

		return
	}

	registry, err := f.options.Store.Registry(ctx)
	if err != nil {
		f.noteStore(err)

		return
	}

	f.noteSound()

	changed = catalog.Register(registry, afterOutage)
	if changed {
		f.logRegistry("store")
		f.spreadFromStore(ctx)
	}
}

// noteSound records a sound read.
func (f *Follower) noteSound() {
	now := f.options.Catalog.Now()

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.storeLost {
		f.storeLost = false
		f.options.Logger.Info().Dur("after_ms", now-f.soundAt).Msg("store_regained")
	}

	f.soundAt = now
}

func (f *Follower) noteStore(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if !f.storeLost {
		f.storeLost = true
		f.options.Logger.Warn().Err(err).Msg("store_lost")
	}
}

// takeAnnouncement says whether this node is to list itself in the store now. A registry without
// it was read before its first announcement, or its announcement failed.
func (f *Follower) takeAnnouncement() bool {
	now := f.options.Catalog.Now()
	registry := f.options.Catalog.State().Registry

	f.mu.Lock()
	defer f.mu.Unlock()

	if registry.Revision == 0 || now-f.announcedAt < announceInterval || slices.Contains(registry.Nodes, f.options.Self) {
		return false
	}

	f.announcedAt = now

	return true
}

func (f *Follower) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	if err := f.options.Store.Announce(ctx, f.options.Self); err != nil {
		f.options.Logger.Warn().Err(err).Msg("announce_failed")

		return
	}

	f.options.Logger.Info().Str("node", f.options.Self.Name).Msg("node_announced")
}

// pullParams are what the asker knows.
type pullParams struct {
	Version  int64 `json:"version"`
	Revision int64 `json:"revision"`
	// Kept is that of the asker's registry.
	Kept int `json:"kept,omitempty"`
}

// pullAnswer is what the peer knows beyond that.
type pullAnswer struct {
	// Version is the peer's; AgeMS the age of its proof, negative without one.
	Version       int64                     `json:"version"`
	AgeMS         int64                     `json:"age_ms"`
	Configuration *cataloguer.Configuration `json:"configuration,omitempty"`
	Registry      *cataloguer.Registry      `json:"registry,omitempty"`
}

// ask asks one peer for what it knows.
func (f *Follower) ask(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	defer func() {
		f.mu.Lock()
		f.asking = false
		waiting := f.teller != ""
		f.mu.Unlock()

		if waiting {
			f.wakeUp()
		}
	}()

	catalog := f.options.Catalog
	state := catalog.State()
	begun := catalog.Now()
	params := pullParams{Version: state.Configuration.Version, Revision: state.Registry.Revision, Kept: state.Registry.Kept}

	var answer pullAnswer
	if err := f.options.Peers.Call(ctx, peer, MethodPull, params, &answer); err != nil {
		f.options.Logger.Debug().Err(err).Str("peer", peer).Msg("pull_failed")

		return
	}

	if answer.Version == 0 || answer.AgeMS < 0 {
		return
	}

	f.take(ctx, answer, begun)
}

// take takes in a peer's answer to a question that was sent at begun.
func (f *Follower) take(ctx context.Context, answer pullAnswer, begun time.Duration) {
	catalog := f.options.Catalog
	at := begun - time.Duration(answer.AgeMS)*time.Millisecond
	changed := false

	if answer.Configuration != nil && catalog.Configure(*answer.Configuration, at) {
		f.logConfiguration("peer", begun)
		changed = true
	}

	catalog.Prove(answer.Version, at)

	if answer.Registry != nil && catalog.Register(*answer.Registry, false) {
		f.logRegistry("peer")
		changed = true
	}

	if changed {
		f.spread(ctx)
	}
}

// spread tells the nodes that ask this one that there is something new.
func (f *Follower) spread(ctx context.Context) {
	order := Order(f.options.Live())

	rank := slices.Index(order, f.options.Self.Name)
	if rank < 0 {
		return
	}

	first := min(rank*fanOut+1, len(order))
	last := min(first+fanOut, len(order))
	f.tell(ctx, order[first:last])
}

// spreadFromStore tells of a change that this node read itself. Unless it is the first one, those
// above it in the tree don't know it either: the first one may be cut off from the store.
func (f *Follower) spreadFromStore(ctx context.Context) {
	order := Order(f.options.Live())
	if slices.Index(order, f.options.Self.Name) <= 0 {
		f.spread(ctx)

		return
	}

	f.tell(ctx, order[:min(fanOut+1, len(order))])
	f.spread(ctx)
}

func (f *Follower) tell(ctx context.Context, peers []string) {
	for _, peer := range peers {
		if peer == f.options.Self.Name {
			continue
		}

		go func() {
			if err := f.options.Peers.Notify(ctx, peer, MethodChanged, struct{}{}); err != nil {
				f.options.Logger.Debug().Err(err).Str("peer", peer).Msg("spread_failed")
			}
		}()
	}
}

// HandlePull answers MethodPull.
func (f *Follower) HandlePull(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var asked pullParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}

	// The age is read first: what is known then can only be newer.
	answer := pullAnswer{AgeMS: -1}
	if age, known := f.options.Catalog.Age(); known {
		answer.AgeMS = age.Milliseconds() + 1
	}

	state := f.options.Catalog.State()
	answer.Version = state.Configuration.Version

	if state.Configuration.Version > asked.Version {
		answer.Configuration = &state.Configuration
	}

	if state.Registry.Newer(asked.Revision, asked.Kept) {
		answer.Registry = &state.Registry
	}

	return answer, nil
}

// HandleChanged answers MethodChanged: it asks the teller at once.
func (f *Follower) HandleChanged(_ context.Context, teller string, _ json.RawMessage) (any, error) {
	f.mu.Lock()
	f.teller = teller
	f.mu.Unlock()

	f.wakeUp()

	return struct{}{}, nil
}

// wakeUp makes the next step due at once.
func (f *Follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) logConfiguration(source string, begun time.Duration) {
	state := f.options.Catalog.State()
	f.options.Logger.Info().
		Int64("version", state.Configuration.Version).
		Int("routes", len(state.Configuration.Routes)).
		Str("source", source).
		Dur("took_ms", f.options.Catalog.Now()-begun).
		Msg("configuration_applied")
}

func (f *Follower) logRegistry(source string) {
	registry := f.options.Catalog.State().Registry
	f.options.Logger.Info().
		Int64("revision", registry.Revision).
		Int("upstreams", len(registry.Upstreams)).
		Int("nodes", len(registry.Nodes)).
		Str("source", source).
		Msg("registry_applied")
}
