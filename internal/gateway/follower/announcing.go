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
	// announceInterval is the time between two tries to list this node in the store.
	announceInterval = 2 * time.Second
	// gatherTime is how long a node collects others that want to be listed. All nodes of a fleet may start within a third of a
	// second; each write would else be a call, and each moves the registry on all nodes.
	gatherTime = 300 * time.Millisecond
	// mostArrivals is the number of nodes that are listed in one write.
	mostArrivals = 32
	// announceTries is how often a node asks others to list it before it writes itself; they may be starting too.
	announceTries = 3
	// announcePause is the time between these tries.
	announcePause = 400 * time.Millisecond
	// withdrawInterval is the time between two looks for nodes that are gone for good. It costs the first
	// node a comparison, and the store one write for all that are found.
	withdrawInterval = time.Minute
)

// MethodAnnounce asks a peer to list the caller in the store together with others.
const MethodAnnounce = "catalog.announce"

// takeAnnouncement says whether this node is to be listed in the store now, and by whom. A registry without
// it was read before its first announcement, or its announcement failed.
func (f *Follower) takeAnnouncement(t *tree) (string, bool) {
	now := f.options.Catalog.Now()
	registry := f.options.Catalog.State().Registry
	seeds := f.options.Seeds()

	f.mu.Lock()
	defer f.mu.Unlock()

	pause := announceInterval
	if f.failedAnnouncements%announceTries > 0 {
		pause = announcePause
	}

	if registry.Revision == 0 || now-f.announcedAt < pause || slices.Contains(registry.Nodes, f.options.Self) {
		return "", false
	}

	f.announcedAt = now

	switch {
	case f.failedAnnouncements%announceTries == announceTries-1:
		return f.options.Self.Name, true
	case len(t.order) > 1:
		return t.order[0], true
	case len(seeds) > 0:
		return seeds[f.failedAnnouncements%len(seeds)], true
	default:
		return f.options.Self.Name, true
	}
}

// announce asks a node to list this one.
func (f *Follower) announce(ctx context.Context, gatherer string) {
	if gatherer == f.options.Self.Name {
		f.noteAnnouncement(true)
		f.gather(f.options.Self)

		return
	}

	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	err := f.options.Peers.Call(ctx, gatherer, MethodAnnounce, f.options.Self, nil)
	f.noteAnnouncement(err == nil)

	if err != nil {
		f.options.Logger.Debug().Err(err).Str("peer", gatherer).Msg("announce_failed")
	}
}

func (f *Follower) noteAnnouncement(taken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if taken {
		f.failedAnnouncements = 0
	} else {
		f.failedAnnouncements++
	}
}

// HandleAnnounce answers MethodAnnounce. That the node is listed shows in the registry; it asks again until then.
func (f *Follower) HandleAnnounce(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var node cataloguer.Node
	if err := json.Unmarshal(params, &node); err != nil {
		return nil, err
	}

	f.gather(node)

	return struct{}{}, nil
}

// gather notes a node that is to be listed.
func (f *Follower) gather(node cataloguer.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if len(f.arrivals) == 0 {
		f.gatheredSince = f.options.Catalog.Now()
	}

	f.arrivals[node.Name] = node
}

// takeArrivals returns the nodes to list now. Those that don't fit in one write come with the next.
func (f *Follower) takeArrivals() []cataloguer.Node {
	now := f.options.Catalog.Now()

	f.mu.Lock()
	defer f.mu.Unlock()

	if len(f.arrivals) == 0 || now-f.gatheredSince < gatherTime && len(f.arrivals) < mostArrivals {
		return nil
	}

	names := slices.Sorted(maps.Keys(f.arrivals))
	names = names[:min(len(names), mostArrivals)]
	nodes := make([]cataloguer.Node, 0, len(names))

	for _, name := range names {
		nodes = append(nodes, f.arrivals[name])
		delete(f.arrivals, name)
	}

	return nodes
}

// list writes nodes to the store. Those of a write that failed announce themselves again.
func (f *Follower) list(ctx context.Context, nodes []cataloguer.Node) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	f.count(func(c *Counters) { c.AnnounceWrites++ })

	if err := f.options.Store.Announce(ctx, nodes); err != nil {
		f.options.Logger.Warn().Err(err).Int("nodes", len(nodes)).Msg("announce_failed")

		return
	}

	f.options.Logger.Info().Int("nodes", len(nodes)).Str("first", nodes[0].Name).Msg("nodes_announced")
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

	gone := f.options.DepartedNodes()
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
