package follower

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	// announceInterval is the time between two attempts to list this node in the store.
	announceInterval = 2 * time.Second
	// announceBatchDelay is how long a node collects other nodes to list before it writes them. All nodes of a fleet
	// may start within a third of a second; without batching, each would cost a store call and change the registry on
	// all nodes.
	announceBatchDelay = 300 * time.Millisecond
	// maxAnnounceBatch limits the nodes that are listed in one write.
	maxAnnounceBatch = 32
	// announceAttempts is the number of attempts in a cycle. In the last one the node lists itself; in the earlier
	// ones it asks other nodes, which may still be starting.
	announceAttempts = 3
	// announceRetryInterval is the time between these attempts.
	announceRetryInterval = 400 * time.Millisecond
	// withdrawInterval is the time between two checks for departed nodes. A check costs the root node a comparison,
	// and the store one write for all that are found.
	withdrawInterval = time.Minute
)

// MethodAnnounce asks a peer to list the caller in the store, batched with others.
const MethodAnnounce = "catalog.announce"

// scheduleAnnouncement reports whether this node is due to be listed in the store, and which node should write it.
// The registry lacks this node if it was read before the first announcement, or if the announcement failed.
func (f *Follower) scheduleAnnouncement(t *tree) (string, bool) {
	now := f.options.Catalog.Now()
	registry := f.options.Catalog.State().Registry
	seeds := f.options.Seeds()

	f.mu.Lock()
	defer f.mu.Unlock()

	interval := announceInterval
	if f.failedAnnouncements%announceAttempts > 0 {
		interval = announceRetryInterval
	}

	if !registry.Position.IsKnown() || now-f.lastAnnouncementAt < interval || f.isListed(&registry) {
		return "", false
	}

	f.lastAnnouncementAt = now

	switch {
	case f.failedAnnouncements%announceAttempts == announceAttempts-1:
		return f.options.Self.Name, true
	case len(t.order) > 1:
		return t.order[0], true
	case len(seeds) > 0:
		return seeds[f.failedAnnouncements%len(seeds)], true
	default:
		return f.options.Self.Name, true
	}
}

// isListed reports whether the registry lists this node with its current entry.
func (f *Follower) isListed(registry *cataloguer.Registry) bool {
	listed, ok := registry.Nodes.Get(f.options.Self.Name)

	return ok && listed == f.options.Self
}

// announce asks a peer to list this node.
func (f *Follower) announce(ctx context.Context, peer string) {
	if peer == f.options.Self.Name {
		f.recordAnnouncement(true)
		f.addPendingNode(f.options.Self)

		return
	}

	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	err := f.options.Peers.Call(ctx, peer, MethodAnnounce, f.options.Self, nil)
	f.recordAnnouncement(err == nil)

	if err != nil {
		f.options.Logger.Debug().Err(err).Str("peer", peer).Msg("announce_failed")
	}
}

func (f *Follower) recordAnnouncement(accepted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if accepted {
		f.failedAnnouncements = 0
	} else {
		f.failedAnnouncements++
	}
}

// HandleAnnounce answers MethodAnnounce. Success doesn't mean that the caller is listed: it announces itself until it
// finds itself in the registry.
func (f *Follower) HandleAnnounce(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var node cataloguer.Node
	if err := json.Unmarshal(params, &node); err != nil {
		return nil, err
	}

	f.addPendingNode(node)

	return struct{}{}, nil
}

// addPendingNode adds a node to the next batch.
func (f *Follower) addPendingNode(node cataloguer.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if len(f.pendingNodes) == 0 {
		f.pendingSince = f.options.Catalog.Now()
	}

	f.pendingNodes[node.Name] = node
}

// takePendingNodes returns the batch of nodes to list now. Nodes beyond the limit go into the next batch.
func (f *Follower) takePendingNodes() []cataloguer.Node {
	now := f.options.Catalog.Now()

	f.mu.Lock()
	defer f.mu.Unlock()

	if len(f.pendingNodes) == 0 || now-f.pendingSince < announceBatchDelay && len(f.pendingNodes) < maxAnnounceBatch {
		return nil
	}

	names := slices.Sorted(maps.Keys(f.pendingNodes))
	names = names[:min(len(names), maxAnnounceBatch)]
	nodes := make([]cataloguer.Node, 0, len(names))

	for _, name := range names {
		nodes = append(nodes, f.pendingNodes[name])
		delete(f.pendingNodes, name)
	}

	return nodes
}

// writeNodes lists nodes in the store. If the write fails, the nodes announce themselves again.
func (f *Follower) writeNodes(ctx context.Context, nodes []cataloguer.Node) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	f.count(func(c *Counters) { c.AnnounceWrites++ })

	if err := f.options.Store.Announce(ctx, nodes); err != nil {
		f.options.Logger.Warn().Err(err).Int("nodes", len(nodes)).Msg("announce_failed")

		return
	}

	f.options.Logger.Info().Int("nodes", len(nodes)).Str("first", nodes[0].Name).Msg("nodes_announced")
}

// scheduleWithdrawal returns the nodes that this node should remove from the registry now. VMs are replaced daily;
// entries of departed ones would accumulate, and each node would probe them forever. The root node removes them. A
// live node that was removed announces itself again.
func (f *Follower) scheduleWithdrawal(rank int) []string {
	now := f.options.Catalog.Now()

	f.mu.Lock()
	due := rank == 0 && now-f.lastWithdrawalAt >= withdrawInterval

	if due {
		f.lastWithdrawalAt = now
	}
	f.mu.Unlock()

	if !due {
		return nil
	}

	departed := f.options.DepartedNodes()
	listed := f.options.Catalog.State().Registry.Nodes

	return slices.DeleteFunc(departed, func(name string) bool { return !listed.Contains(name) })
}

func (f *Follower) withdraw(ctx context.Context, names []string) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	if err := f.options.Store.Withdraw(ctx, names); err != nil {
		f.options.Logger.Warn().Err(err).Strs("nodes", names).Msg("withdraw_failed")

		return
	}

	f.options.Logger.Info().Strs("nodes", names).Msg("nodes_withdrawn")
}
