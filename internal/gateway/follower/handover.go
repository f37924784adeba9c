package follower

import (
	"context"
	"encoding/json"
	"time"
)

const (
	// handoverRankOffset is the distance in the order from a node that the store rejects to the node that it asks to
	// read.
	handoverRankOffset = linearSubstitutes + 1
	// maxHandoverRank bounds the ranks that are asked to read, since each call of the store is paid for.
	maxHandoverRank = 64
	// handoverReadAge is the configuration age at which a node that was asked reads. By then the first nine have
	// tried, unless they were served.
	handoverReadAge = substituteAge + linearSubstitutes*substituteAgeStep + readAgeJitter
	// handoverRetryInterval is the time between two such reads of one node while the store serves no node.
	handoverRetryInterval = 10 * time.Second
)

// MethodReadStore asks a peer to read the store, which rejects the caller.
const MethodReadStore = "catalog.read"

// requestHandover asks a node further down the order to read the store, which rejects this node but may serve that
// one. If the read took long, the store is unavailable, and more calls would not help.
func (f *Follower) requestHandover(ctx context.Context, elapsed, timeout time.Duration) {
	t := f.tree()
	next := t.rank + handoverRankOffset

	if elapsed >= timeout/2 || next >= min(len(t.order), maxHandoverRank) {
		return
	}

	f.count(func(c *Counters) { c.Handovers++ })

	go func() {
		if err := f.options.Peers.Notify(ctx, t.order[next], MethodReadStore, struct{}{}); err != nil {
			f.options.Logger.Debug().Err(err).Str("peer", t.order[next]).Msg("hand_over_failed")
		}
	}()
}

// HandleReadStore answers MethodReadStore.
func (f *Follower) HandleReadStore(_ context.Context, _ string, _ json.RawMessage) (any, error) {
	now := f.options.Catalog.Now()

	f.mu.Lock()
	f.handoverRequestedAt = now
	f.mu.Unlock()

	f.wakeLoop()

	return struct{}{}, nil
}

// isHandoverDueLocked reports whether another node asked this one to read the store, no node has read it since, and
// the nodes that read without being asked have tried. f.mu must be held.
func (f *Follower) isHandoverDueLocked(t *tree, now, age time.Duration) bool {
	freshAt := now - age
	if freshAt >= f.handoverRequestedAt || f.lastReadAt >= f.handoverRequestedAt {
		return false
	}

	return age > handoverReadAge+propagationLag(t) && (freshAt > f.lastReadAt || now-f.lastReadAt >= handoverRetryInterval)
}
