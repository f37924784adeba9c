package follower

import (
	"context"
	"encoding/json"
	"slices"
	"time"
)

const (
	// maxTransfers is the number of nodes to which a node sends a whole state at once. Fewer finish sooner over the same
	// link, and each that has finished sends the state to others.
	maxTransfers = 2
	// transferTimeout is the time without a pull after which a transfer counts as given up.
	transferTimeout = time.Second
	// waitingTimeout is the time after which a node that was turned away no longer counts as waiting.
	waitingTimeout = 10 * time.Second
	// pullsPerSecond is the rate of pulls from waiting nodes that a node asks for: a weak VM answers a thousand a second at
	// most.
	pullsPerSecond = 200
	// minRetryDelay and maxRetryDelay bound the time that a node that was turned away is asked to wait.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 3 * time.Second
	// maxDelegated limits the waiting nodes that a node leaves to another one at once.
	maxDelegated = 512
)

// MethodInvite tells a waiting peer that it may pull the whole state from the caller now.
const MethodInvite = "catalog.invite"

// inviteResponse is the response to MethodInvite.
type inviteResponse struct {
	// Accepted is false if the peer needs nothing, or receives the state from another node.
	Accepted bool `json:"accepted"`
}

// transfers limits the nodes to which a node sends its whole state at once, and keeps those that wait for it. It is not
// safe for concurrent use.
//
// When all nodes of a fleet start at once, they know nobody but the seeds. Without the limit, each seed sends the state of
// the whole fleet to a third of it, which takes a time that grows with the square of the fleet, and nobody finishes before
// most have. With it, a node that has received the state takes over half of the nodes that wait, so that the number of
// nodes that send it doubles again and again.
type transfers struct {
	// active holds the nodes that are receiving the state, or were invited to, and the times of their last pulls.
	active map[string]time.Duration
	// waiting holds the nodes that were turned away, those that wait longest first.
	waiting []waitingNode
}

// waitingNode is a node that was turned away.
type waitingNode struct {
	name  string
	since time.Duration
}

func newTransfers() *transfers {
	return &transfers{active: make(map[string]time.Duration)}
}

// expire drops transfers that were given up and nodes that waited too long.
func (t *transfers) expire(now time.Duration) {
	for peer, at := range t.active {
		if now-at > transferTimeout {
			delete(t.active, peer)
		}
	}

	for len(t.waiting) > 0 && now-t.waiting[0].since > waitingTimeout {
		t.waiting = t.waiting[1:]
	}
}

// admit reports whether the peer may receive the whole state now. One that has begun to receive it may go on.
func (t *transfers) admit(peer string, continues bool, now time.Duration) bool {
	t.expire(now)

	if _, ok := t.active[peer]; !ok && !continues && len(t.active) >= maxTransfers {
		return false
	}

	t.active[peer] = now
	t.stopWaiting(peer)

	return true
}

// turnAway records a peer that gets nothing now, and returns how long it should wait before it asks again.
func (t *transfers) turnAway(peer string, now time.Duration) time.Duration {
	t.expire(now)
	t.wait(peer, now)

	delay := time.Duration(len(t.waiting)) * time.Second / pullsPerSecond

	return min(max(delay, minRetryDelay), maxRetryDelay)
}

func (t *transfers) wait(peer string, now time.Duration) {
	if !slices.ContainsFunc(t.waiting, func(w waitingNode) bool { return w.name == peer }) {
		t.waiting = append(t.waiting, waitingNode{name: peer, since: now})
	}
}

func (t *transfers) stopWaiting(peer string) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w waitingNode) bool { return w.name == peer })
}

// finish records that the peer needs nothing more. If it has just received the whole state, finish returns half of the
// waiting nodes, which the peer takes over.
func (t *transfers) finish(peer string, received bool) []string {
	delete(t.active, peer)
	t.stopWaiting(peer)

	if !received {
		return nil
	}

	var delegated []string

	kept := make([]waitingNode, 0, len(t.waiting))

	for i, w := range t.waiting {
		if i%2 == 1 && len(delegated) < maxDelegated {
			delegated = append(delegated, w.name)
		} else {
			kept = append(kept, w)
		}
	}

	t.waiting = kept

	return delegated
}

// invite returns the waiting nodes that may receive the state now, and reserves their places.
func (t *transfers) invite(now time.Duration) []string {
	t.expire(now)

	var invited []string

	for len(t.active) < maxTransfers && len(t.waiting) > 0 {
		name := t.waiting[0].name
		t.waiting = t.waiting[1:]
		t.active[name] = now
		invited = append(invited, name)
	}

	return invited
}

// inviteWaiting invites waiting nodes as far as there are places. A node invites nobody before it has the whole state.
func (f *Follower) inviteWaiting(ctx context.Context) {
	if !f.hasState() {
		return
	}

	f.mu.Lock()
	invited := f.transfers.invite(f.options.Catalog.Now())
	f.mu.Unlock()

	for _, peer := range invited {
		go f.invite(ctx, peer)
	}
}

func (f *Follower) invite(ctx context.Context, peer string) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	var response inviteResponse

	err := f.options.Peers.Call(callCtx, peer, MethodInvite, struct{}{}, &response)
	if err == nil && response.Accepted {
		return
	}

	f.mu.Lock()
	f.transfers.finish(peer, false)
	f.mu.Unlock()

	f.inviteWaiting(ctx)
}

// HandleInvite answers MethodInvite: a node that lacks the state pulls it from the peer at once.
func (f *Follower) HandleInvite(_ context.Context, peer string, _ json.RawMessage) (any, error) {
	if f.hasState() {
		return inviteResponse{}, nil
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.transferPeer != peer && f.isTransferringLocked() {
		return inviteResponse{}, nil
	}

	f.nextPeer = peer
	// An invitation is accepted once: a second one would take a place that nobody uses.
	f.transferPeer, f.transferredAt = peer, f.options.Catalog.Now()
	f.wakeLoop()

	return inviteResponse{Accepted: true}, nil
}

// isTransferringLocked reports whether a peer is sending the whole state to this node. f.mu must be held.
func (f *Follower) isTransferringLocked() bool {
	return f.transferPeer != "" && f.options.Catalog.Now()-f.transferredAt < transferTimeout
}

// takeOver adds the nodes that wait at a peer to those that wait here.
func (f *Follower) takeOver(ctx context.Context, names []string) {
	if len(names) == 0 {
		return
	}

	now := f.options.Catalog.Now()

	f.mu.Lock()
	for _, name := range names {
		if name != f.options.Self.Name {
			f.transfers.wait(name, now)
		}
	}
	f.mu.Unlock()

	f.inviteWaiting(ctx)
}
