package follower

import (
	"context"
	"slices"
	"time"
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

// question is a question to a peer that is due.
type question struct {
	peer    string
	timeout time.Duration
}

// takeQuestion chooses the peer to ask now: the parent, or anyone while the proof is old.
func (f *Follower) takeQuestion(t *tree) (question, bool) {
	now := f.options.Catalog.Now()
	age, known := f.options.Catalog.ConfigurationAge()
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
	f.counters.Pulls++

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
	return age > substituteAge+lag(t)
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
		Kept:     state.Registry.RetainedUpstreams,
		Digest:   state.Digest,
		Held:     f.pages.Progress(),
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
		f.counters.FailedPulls++

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
	case answer.AgeMS >= 0 && answer.age() < aloneReadAge:
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
	if f.substitute && answer.age() < substituteAge && t.isBefore(answer.Reader, f.options.Self.Name) {
		f.substitute = false
	}
}
