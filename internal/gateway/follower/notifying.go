package follower

import (
	"context"
	"encoding/json"
)

// MethodChanged tells a peer that a change is available for pulling.
const MethodChanged = "catalog.changed"

// notifyChildren notifies the nodes that pull from this one of a change.
func (f *Follower) notifyChildren(ctx context.Context) {
	f.notify(ctx, f.tree().children)
}

// notifyStoreChange notifies peers of a change that this node read from the store. Unless this node is the root, the
// nodes above it in the tree don't know the change either, as the root may be cut off from the store.
func (f *Follower) notifyStoreChange(ctx context.Context) {
	t := f.tree()
	if t.rank > 0 {
		f.notify(ctx, t.order[:min(topNodes, len(t.order))])
	}

	f.notify(ctx, t.children)
}

func (f *Follower) notify(ctx context.Context, peers []string) {
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

// HandleChanged answers MethodChanged: it schedules an immediate pull from the peer.
func (f *Follower) HandleChanged(_ context.Context, peer string, _ json.RawMessage) (any, error) {
	hasState := f.hasState()

	f.mu.Lock()
	if hasState || !f.isTransferringLocked() {
		f.nextPeer = peer
	}
	f.mu.Unlock()

	f.wakeLoop()

	return struct{}{}, nil
}
