package follower

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/packer"
)

const (
	// peerInterval is the time between two questions to the parent.
	peerInterval = 400 * time.Millisecond
	// peerTimeout bounds the first question to a peer. The next one to the same peer has twice the time: it may only
	// have been slow, and an answer that is given up is asked for again.
	peerTimeout = 300 * time.Millisecond
	// mostPeerDoublings bounds that at 1.2 s, below the time in which a silent connection is given up.
	mostPeerDoublings = 2
	// firstPlaces is the number of nodes at the top of the tree that a stale node asks beside all others. Nodes that
	// read in the place of the first one are nearly always among them.
	firstPlaces = 8
)

// MethodPull asks a peer for what it knows beyond the asker's versions.
const MethodPull = "catalog.pull"

// question is a question to a peer that is due.
type question struct {
	peer    string
	timeout time.Duration
}

// takeQuestion chooses the peer to ask now: the parent, or anyone while the proof is old.
func (f *Follower) takeQuestion(t *tree) (question, bool) {
	now := f.options.Catalog.Now()
	age, known := f.options.Catalog.Age()
	// The first node asks another one as soon as its own reads fail.
	stale := !known || isStale(t, age) || t.rank == 0 && age > storeInterval+storeTimeout/2

	interval := peerInterval
	if stale {
		interval /= 2
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.asking {
		return question{}, false
	}

	if f.teller != "" {
		peer := f.teller
		f.teller = ""

		return f.questionLocked(peer, now), true
	}

	parent := f.parentLocked(t)
	if parent == "" && !stale || now-f.askedAt < interval {
		return question{}, false
	}

	peer, ok := f.choosePeer(t, parent, stale)
	if !ok {
		return question{}, false
	}

	return f.questionLocked(peer, now), true
}

// questionLocked notes that a peer is asked; f.mu is held.
func (f *Follower) questionLocked(peer string, now time.Duration) question {
	if peer != f.askedPeer {
		f.askedPeer, f.failedAsks = peer, 0
	}

	f.asking, f.askedAt = true, now
	f.counters.Questions++

	return question{peer: peer, timeout: peerTimeout << min(f.failedAsks, mostPeerDoublings)}
}

// parentLocked is the peer to ask while all is well; empty if there is none. The first node asks the one that reads in
// its place, so that all others still learn through the tree; f.mu is held.
func (f *Follower) parentLocked(t *tree) string {
	if t.parent == "" && f.failedReads > 0 && f.reader != f.options.Self.Name {
		return f.reader
	}

	return t.parent
}

func (f *Follower) choosePeer(t *tree, parent string, stale bool) (string, bool) {
	if !stale {
		return parent, true
	}

	isSelf := func(name string) bool { return name == f.options.Self.Name }
	first := slices.DeleteFunc(slices.Clone(t.order[:min(firstPlaces, len(t.order))]), isSelf)
	everyone := slices.DeleteFunc(slices.Concat(t.order, f.options.Seeds()), isSelf)

	if len(everyone) == 0 {
		return "", false
	}

	// Where few nodes reach the store, asking at random would find them too seldom.
	f.turn++

	switch round := f.turn / 2; {
	case f.turn%2 == 0 && f.fresh != "":
		return f.fresh, true
	case round%3 == 0 && len(first) > 0:
		return first[round/3%len(first)], true
	case round%3 == 1 && parent != "":
		return parent, true
	default:
		return everyone[f.turn%len(everyone)], true
	}
}

// isStale says whether a proof is older than it gets while all is well.
func isStale(t *tree, age time.Duration) bool {
	return age > patience+lag(t)
}

// pullParams are what the asker knows.
type pullParams struct {
	Version int64 `json:"version"`
	// Revision, Kept and Digest are those of the asker's registry.
	Revision int64  `json:"revision"`
	Kept     int    `json:"kept,omitempty"`
	Digest   uint64 `json:"digest,omitempty"`
	// Held is what the asker has of a parcel that is coming in pages.
	Held packer.Part `json:"held,omitzero"`
}

// offer is a page of a parcel.
type offer struct {
	// Base is the version or digest that the parcel changes; 0 if it is whole.
	Base uint64 `json:"base,omitempty"`
	packer.Page
}

// pullAnswer is what the peer knows beyond that.
type pullAnswer struct {
	// Version is the peer's; AgeMS the age of its proof, negative without one.
	Version int64 `json:"version"`
	AgeMS   int64 `json:"age_ms"`
	// Reader is the node that read that proof from the store.
	Reader string `json:"reader,omitempty"`
	// Revision, Kept and Digest are those of the peer's registry.
	Revision int64  `json:"revision,omitempty"`
	Kept     int    `json:"kept,omitempty"`
	Digest   uint64 `json:"digest,omitempty"`
	// Configuration goes before Registry: that one is left out until the first has come whole, since keys and
	// routes bind more than upstreams that come.
	Configuration *offer `json:"configuration,omitempty"`
	Registry      *offer `json:"registry,omitempty"`
}

// age is that of the peer's proof; there must be one.
func (a *pullAnswer) age() time.Duration {
	return time.Duration(a.AgeMS) * time.Millisecond
}

// ask asks one peer for what it knows.
func (f *Follower) ask(ctx context.Context, q question) {
	// What is told to others when the answer is in must not end with the question.
	asking, cancel := context.WithTimeout(ctx, q.timeout)
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
	wasStale := isStale(f.tree(), f.age())
	params := pullParams{
		Version:  state.Configuration.Version,
		Revision: state.Registry.Revision,
		Kept:     state.Registry.Kept,
		Digest:   state.Digest,
		Held:     f.pages.Held(),
	}

	var answer pullAnswer

	err := f.options.Peers.Call(asking, q.peer, MethodPull, params, &answer)
	f.noteAnswer(q.peer, answer, begun, err)

	if err != nil {
		f.options.Logger.Debug().Err(err).Str("peer", q.peer).Msg("pull_failed")

		return
	}

	if answer.Version == 0 || answer.AgeMS < 0 {
		return
	}

	more, err := f.take(ctx, answer, begun)
	if err != nil {
		f.options.Logger.Warn().Err(err).Str("peer", q.peer).Msg("pull_unreadable")

		return
	}

	if more {
		f.askNext(q.peer)
	}

	// The nodes below can't tell that asking is of use again.
	if t := f.tree(); wasStale && !isStale(t, f.age()) {
		f.tell(ctx, t.children)
	}
}

// askNext makes a peer the next to be asked.
func (f *Follower) askNext(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.teller == "" {
		f.teller = peer
	}
}

// noteAnswer remembers whether a peer answers and whether its proof is fresh.
func (f *Follower) noteAnswer(peer string, answer pullAnswer, begun time.Duration, err error) {
	t := f.tree()

	f.mu.Lock()
	defer f.mu.Unlock()

	if err != nil {
		f.failedAsks++
		f.counters.FailedQuestions++

		return
	}

	f.failedAsks, f.heardAt = 0, begun

	for _, page := range []*offer{answer.Configuration, answer.Registry} {
		if page != nil {
			f.counters.Pages++
			f.counters.PageBytes += int64(len(page.Data))
		}
	}

	switch {
	case answer.AgeMS >= 0 && answer.age() < alonePatience:
		f.fresh = peer
	case f.fresh == peer:
		f.fresh = ""
	}

	if answer.AgeMS < 0 {
		return
	}

	if at := begun - answer.age(); at > f.provenAt {
		f.provenAt, f.reader = at, answer.Reader
	}

	// One that goes before this node reads the store again, so one of them is enough.
	if f.substitute && answer.age() < patience && t.isBefore(answer.Reader, f.options.Self.Name) {
		f.substitute = false
	}
}

// take takes in a peer's answer to a question that was sent at begun. It reports whether more of it is to come.
func (f *Follower) take(ctx context.Context, answer pullAnswer, begun time.Duration) (bool, error) {
	catalog := f.options.Catalog
	at := begun - answer.age()
	more, changed := false, false

	if answer.Configuration != nil {
		configuration, whole, err := f.unpackConfiguration(*answer.Configuration)
		if err != nil {
			return false, err
		}

		if whole && catalog.Configure(configuration, at) {
			f.logConfiguration("peer", begun)

			changed = true
		}

		more = !whole
	}

	catalog.Prove(answer.Version, at)

	// A registry that is newer than the configuration would hide the changes between them from the next read of the store.
	if catalog.State().Configuration.Version >= answer.Version {
		catalog.Confirm(answer.Digest, answer.Revision, answer.Kept)

		if answer.Registry != nil {
			registry, whole, err := f.unpackRegistry(*answer.Registry)
			if err != nil {
				return false, err
			}

			if whole && catalog.Register(registry, false) {
				f.logRegistry("peer")

				changed = true
			}

			more = more || !whole
		}
	}

	if changed {
		f.spread(ctx)
	}

	return more, nil
}

// unpackConfiguration takes in a page; it returns the configuration once that is whole.
func (f *Follower) unpackConfiguration(page offer) (cataloguer.Configuration, bool, error) {
	parcel, whole, err := f.pages.Add(page.Page)
	if err != nil || !whole {
		return cataloguer.Configuration{}, false, err
	}

	if page.Base == 0 {
		var configuration cataloguer.Configuration

		return configuration, true, parcel.Unpack(&configuration)
	}

	base := f.options.Catalog.State().Configuration
	if uint64(base.Version) != page.Base {
		// Another answer was faster; the next question says so.
		return cataloguer.Configuration{}, false, nil
	}

	var change cataloguer.ConfigurationChange
	if err := parcel.Unpack(&change); err != nil {
		return cataloguer.Configuration{}, false, err
	}

	return change.Apply(&base), true, nil
}

// unpackRegistry takes in a page; it returns the registry once that is whole.
func (f *Follower) unpackRegistry(page offer) (cataloguer.Registry, bool, error) {
	parcel, whole, err := f.pages.Add(page.Page)
	if err != nil || !whole {
		return cataloguer.Registry{}, false, err
	}

	if page.Base == 0 {
		var registry cataloguer.Registry

		return registry, true, parcel.Unpack(&registry)
	}

	state := f.options.Catalog.State()
	if state.Digest != page.Base {
		return cataloguer.Registry{}, false, nil
	}

	var change cataloguer.RegistryChange
	if err := parcel.Unpack(&change); err != nil {
		return cataloguer.Registry{}, false, err
	}

	return change.Apply(&state.Registry), true, nil
}

// HandlePull answers MethodPull.
func (f *Follower) HandlePull(_ context.Context, asker string, params json.RawMessage) (any, error) {
	var asked pullParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}

	// The age is read first: what is known then can only be newer.
	answer := pullAnswer{AgeMS: -1}
	if age, known := f.options.Catalog.Age(); known {
		answer.AgeMS = age.Milliseconds() + 1
	}

	f.mu.Lock()
	answer.Reader = f.reader
	f.mu.Unlock()

	state := f.options.Catalog.State()
	answer.Version = state.Configuration.Version
	answer.Revision, answer.Kept, answer.Digest = state.Registry.Revision, state.Registry.Kept, state.Digest

	if state.Configuration.Version > asked.Version {
		parcel, base, err := f.parcels.configuration(state, asked.Version)
		if err != nil {
			return nil, errors.Wrap(err, "pack the configuration")
		}

		answer.Configuration = &offer{Base: base, Page: parcel.Page(asked.Held)}
	}

	if state.Configuration.Version < asked.Version {
		// A seed that the store turns away at its start knows nobody yet: it learns from those that ask it.
		f.askNext(asker)
		f.wakeUp()
	}

	configured := answer.Configuration == nil || answer.Configuration.Last()

	if configured && state.Digest != asked.Digest && state.Registry.Newer(asked.Revision, asked.Kept) {
		parcel, base, err := f.parcels.registry(state, asked.Digest)
		if err != nil {
			return nil, errors.Wrap(err, "pack the registry")
		}

		answer.Registry = &offer{Base: base, Page: parcel.Page(asked.Held)}
	}

	return answer, nil
}
