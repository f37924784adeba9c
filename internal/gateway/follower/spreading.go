package follower

import (
	"context"
	"encoding/json"
)

// MethodChanged tells a peer that there is something to ask for.
const MethodChanged = "catalog.changed"

// spread tells the nodes that ask this one that there is something new.
func (f *Follower) spread(ctx context.Context) {
	f.tell(ctx, f.tree().children)
}

// spreadFromStore tells of a change that this node read itself. Unless it is the first one, those
// above it in the tree don't know it either: the first one may be cut off from the store.
func (f *Follower) spreadFromStore(ctx context.Context) {
	t := f.tree()
	if t.rank > 0 {
		f.tell(ctx, t.order[:min(firstPlaces, len(t.order))])
	}

	f.tell(ctx, t.children)
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

// HandleChanged answers MethodChanged: it asks the teller at once.
func (f *Follower) HandleChanged(_ context.Context, teller string, _ json.RawMessage) (any, error) {
	f.mu.Lock()
	f.teller = teller
	f.mu.Unlock()

	f.wakeUp()

	return struct{}{}, nil
}
