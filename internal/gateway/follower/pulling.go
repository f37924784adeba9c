package follower

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// takeQuestion chooses the peer to ask now: the parent, or anyone while the proof is old.
func (f *Follower) takeQuestion(order []string, rank int) (string, bool) {
	now := f.options.Catalog.Now()
	age, known := f.options.Catalog.Age()
	// The first node asks another one as soon as its own reads fail.
	stale := !known || age > patience || rank == 0 && age > storeInterval+storeTimeout/2

	interval := peerInterval
	if stale {
		interval /= 2
	}

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

	if rank == 0 && !stale || now-f.askedAt < interval {
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

	candidates := slices.Concat(order, f.options.Seeds())
	candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == f.options.Self.Name })

	if len(candidates) == 0 {
		return "", false
	}

	// Where one node in many reaches the store, asking at random would find it too seldom.
	f.turn++
	if f.fresh != "" && f.turn%2 == 0 {
		return f.fresh, true
	}

	return candidates[f.turn%len(candidates)], true
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

	f.noteFreshness(peer, answer)

	if answer.Version == 0 || answer.AgeMS < 0 {
		return
	}

	f.take(ctx, answer, begun)
}

// noteFreshness remembers a peer whose proof is fresh.
func (f *Follower) noteFreshness(peer string, answer pullAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()

	switch {
	case answer.AgeMS >= 0 && time.Duration(answer.AgeMS)*time.Millisecond < patience+patienceSteps*patienceStep:
		f.fresh = peer
	case f.fresh == peer:
		f.fresh = ""
	}
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
