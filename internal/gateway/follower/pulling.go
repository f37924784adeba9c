package follower

import (
	"context"
	"slices"
	"time"
)

const (
	// pullInterval is the time between two pulls from the parent.
	pullInterval = 400 * time.Millisecond
	// peerTimeout bounds the first pull from a peer. The timeout doubles for the next pull from the same peer, which
	// may only have been slow: a response that times out is requested again.
	peerTimeout = 300 * time.Millisecond
	// startTimeout bounds each of the first pulls of a node that has just started. Seeds that don't run, or start as well, don't answer,
	// and all requests wait for the first state.
	startTimeout = 60 * time.Millisecond
	// maxTimeoutDoublings limits the timeout to 1.2 s, which is below the time after which a silent connection is
	// closed.
	maxTimeoutDoublings = 2
	// topNodes is the number of nodes at the top of the order that a stale node pulls from more often than from
	// others. Nodes that read in place of the root are nearly always among them.
	topNodes = 8
)

// duePull is a pull from a peer that is due.
type duePull struct {
	peer    string
	timeout time.Duration
}

// schedulePull selects the peer to pull from now: the parent, or any node while the configuration is stale.
func (f *Follower) schedulePull(t *tree) (duePull, bool) {
	now := f.options.Catalog.Now()
	age := f.age()
	known := f.hasState()
	// The root pulls from another node as soon as its own reads fail.
	stale := !known || isStale(t, age) || t.rank == 0 && age > storeReadInterval+storeTimeout/2

	interval := pullInterval
	if stale {
		interval /= 2
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.pulling {
		return duePull{}, false
	}

	if !known && !f.hasAskedSeedsLocked() {
		interval = 0
	} else if !known && len(t.order) == 1 {
		// Nodes that know only the seeds must not overwhelm them.
		interval <<= min(f.unansweredPulls, maxTimeoutDoublings)
	}

	if f.nextPeer != "" {
		peer := f.nextPeer
		f.nextPeer = ""

		return f.newPullLocked(peer, now), true
	}

	parent := f.parentLocked(t)
	if parent == "" && !stale || now-f.lastPullAt < interval {
		return duePull{}, false
	}

	if !known && f.isTransferringLocked() {
		// A page was lost. The rest comes from the same peer, as others may send another state.
		return f.newPullLocked(f.transferPeer, now), true
	}

	if now < f.retryAt {
		return duePull{}, false
	}

	peer, ok := f.choosePeer(t, parent, stale)
	if !ok {
		return duePull{}, false
	}

	return f.newPullLocked(peer, now), true
}

// newPullLocked records that a pull from the peer starts. f.mu must be held.
func (f *Follower) newPullLocked(peer string, now time.Duration) duePull {
	if peer != f.lastPulledPeer {
		f.lastPulledPeer, f.failedPulls = peer, 0
	}

	f.pulling, f.lastPullAt = true, now
	f.counters.Pulls++

	if !f.hasState() && !f.hasAskedSeedsLocked() {
		return duePull{peer: peer, timeout: startTimeout}
	}

	return duePull{peer: peer, timeout: peerTimeout << min(f.failedPulls, maxTimeoutDoublings)}
}

// parentLocked returns the peer to pull from while the configuration is not stale; empty if there is none. The root
// pulls from the node that reads in its place, so that all others still update through the tree. f.mu must be held.
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
	top := slices.DeleteFunc(slices.Clone(t.order[:min(topNodes, len(t.order))]), isSelf)
	everyone := slices.DeleteFunc(slices.Concat(t.order, f.options.Seeds()), isSelf)

	if len(everyone) == 0 {
		return "", false
	}

	// If few nodes reach the store, random selection would find them too rarely.
	f.stalePulls++

	switch round := f.stalePulls / 2; {
	case f.stalePulls%2 == 0 && f.freshPeer != "":
		return f.freshPeer, true
	case round%3 == 0 && len(top) > 0:
		return top[round/3%len(top)], true
	case round%3 == 1 && parent != "":
		return parent, true
	default:
		return everyone[f.stalePulls%len(everyone)], true
	}
}

// isStale reports whether a configuration is older than it becomes in normal operation.
func isStale(t *tree, age time.Duration) bool {
	return age > substituteAge+propagationLag(t)
}

// pull pulls from one peer and applies the response.
func (f *Follower) pull(ctx context.Context, p duePull) {
	// Notifications sent after the response must not be cancelled with the call, so they use ctx.
	callCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()

	defer func() {
		f.mu.Lock()
		f.pulling = false
		hasNext := f.nextPeer != ""

		if !f.hasState() {
			f.startPulls++
			// The next seed is asked, or the store read, at once.
			hasNext = true
		}
		f.mu.Unlock()

		if hasNext {
			f.wakeLoop()
		}
	}()

	catalog := f.options.Catalog
	state := catalog.State()
	startedAt := catalog.Now()
	wasStale := isStale(f.tree(), f.age())
	params := pullParams{
		Version:           state.Configuration.Version,
		Position:          state.Registry.Position,
		RetainedUpstreams: state.Registry.RetainedUpstreams,
		Digest:            state.Digest,
		Progress:          f.assembler.Progress(),
		Departures:        catalog.HeldDepartures(),
	}

	var response pullResponse

	err := f.options.Peers.Call(callCtx, p.peer, MethodPull, params, &response)
	f.recordPull(p.peer, response, startedAt, err)

	if err == nil && response.RetryMS > 0 {
		f.recordTurnedAway(response)
	}

	if err != nil {
		f.options.Logger.Debug().Err(err).Str("peer", p.peer).Msg("pull_failed")

		return
	}

	if response.Version == 0 || response.AgeMS < 0 {
		return
	}

	catalog.AddDepartures(response.Departures)

	more, err := f.applyPull(ctx, response, startedAt)
	if err != nil {
		f.options.Logger.Warn().Err(err).Str("peer", p.peer).Msg("pull_unreadable")

		return
	}

	if more {
		f.recordTransfer(p.peer)
		f.setNextPeer(p.peer)
	}

	f.takeOver(ctx, response.Delegated)

	// The children can't tell that pulling is useful again.
	if t := f.tree(); wasStale && !isStale(t, f.age()) {
		f.notify(ctx, t.children)
	}
}

// recordTurnedAway records that a peer has nothing for this node now.
func (f *Follower) recordTurnedAway(response pullResponse) {
	now := f.options.Catalog.Now()
	delay := min(milliseconds(response.RetryMS), maxRetryDelay)

	f.mu.Lock()
	defer f.mu.Unlock()

	f.retryAt = now + delay/2 + f.jitterLocked(delay)
	f.waitingNodes = max(f.waitingNodes, response.Waiting)
}

// recordTransfer records that a peer has sent a page and has more.
func (f *Follower) recordTransfer(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.transferPeer, f.transferredAt = peer, f.options.Catalog.Now()
}

// setNextPeer makes a peer the next one to pull from, unless another is already set.
func (f *Follower) setNextPeer(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.nextPeer == "" {
		f.nextPeer = peer
	}
}

// recordPull records whether a peer answered and whether its state is fresh.
func (f *Follower) recordPull(peer string, response pullResponse, startedAt time.Duration, err error) {
	t, paused := f.tree(), f.paused()

	f.mu.Lock()
	defer f.mu.Unlock()

	if err != nil {
		f.failedPulls++
		f.unansweredPulls++
		f.counters.FailedPulls++

		return
	}

	f.failedPulls, f.unansweredPulls, f.lastAnsweredPullAt = 0, 0, startedAt

	if response.AbsentNodes > f.heardAbsent.nodes {
		f.heardAbsent = heardAbsent{nodes: response.AbsentNodes, from: peer}
	}

	for _, page := range []*payloadPage{response.Configuration, response.Registry} {
		if page != nil {
			f.counters.Pages++
			f.counters.PageBytes += int64(len(page.Data))
		}
	}

	switch {
	case response.AgeMS >= 0 && response.age() < isolatedReadAge:
		f.freshPeer = peer
	case f.freshPeer == peer:
		f.freshPeer = ""
	}

	f.peerLacksEra = response.Era == 0 && response.IsKnown() && f.options.Catalog.State().Registry.Position.Era > 0

	if response.AgeMS < 0 {
		return
	}

	f.statefulPeerAt = startedAt

	if freshAt := startedAt - response.age(); freshAt > f.freshAt {
		f.freshAt, f.reader = freshAt, response.Reader
		f.contact.confirm(freshAt, paused)
	}

	// A node with a lower rank reads the store again, and one reader is enough.
	if f.isSubstitute && response.age() < substituteAge && t.precedes(response.Reader, f.options.Self.Name) {
		f.isSubstitute = false
	}
}
