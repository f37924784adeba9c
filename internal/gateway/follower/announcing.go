package follower

import (
	"context"
	"slices"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

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

// takeWithdrawal returns the nodes that this node is to remove from the registry now. VMs are replaced
// daily; entries of those that are gone would pile up, and each node would probe them for good. The first
// node removes them. One that was removed although it lives lists itself again.
func (f *Follower) takeWithdrawal(rank int) []string {
	now := f.options.Catalog.Now()

	f.mu.Lock()
	due := rank == 0 && now-f.withdrawnAt >= withdrawInterval

	if due {
		f.withdrawnAt = now
	}
	f.mu.Unlock()

	if !due {
		return nil
	}

	gone := f.options.Gone()
	listed := f.options.Catalog.State().Registry.Nodes

	return slices.DeleteFunc(gone, func(name string) bool {
		return !slices.ContainsFunc(listed, func(n cataloguer.Node) bool { return n.Name == name })
	})
}

func (f *Follower) withdraw(ctx context.Context, gone []string) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	if err := f.options.Store.Withdraw(ctx, gone); err != nil {
		f.options.Logger.Warn().Err(err).Strs("nodes", gone).Msg("withdraw_failed")

		return
	}

	f.options.Logger.Info().Strs("nodes", gone).Msg("nodes_withdrawn")
}
