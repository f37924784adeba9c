package gateway

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/tunneler"
	"quincepath.example/quincepath/internal/heartbeater"
	"quincepath.example/quincepath/internal/prober"
)

const (
	// maxEmptyListAge is the maximum age of an empty node list at which a node may record itself as the first one.
	maxEmptyListAge = 2 * time.Second
	// firstNodeTimeout limits the write that records the first node.
	firstNodeTimeout = 300 * time.Millisecond
)

const (
	// departureTime is how long a node must be dead before its entry is removed from the store. It is longer than any
	// restart of a VM.
	departureTime = 10 * time.Minute
	// plannedDepartureTime is that time for a node that announced its stop. It is longer than a restart of its process. While it is
	// listed, its share of limits is left unused; a node that returns later is listed again.
	plannedDepartureTime = time.Minute
)

func (n *Node) newProber() *prober.Prober {
	node := n.settings.Node
	options := prober.DefaultOptions()
	options.Self = prober.VM{
		Name:          node.PeerListen,
		Address:       node.Advertise,
		PeerAddress:   node.PeerListen,
		FailureDomain: node.FailureDomain,
	}
	options.Incarnation = time.Now().UnixMilli()
	options.Seed = xxhash.Sum64String(node.PeerListen) ^ uint64(time.Now().UnixNano())
	options.LocalDigest = func() prober.Digest {
		return prober.Digest{Leaving: n.leavingFor() > 0, Revision: n.catalog.State().Configuration.Version}
	}

	return prober.New(options)
}

// updateMembers passes the listed nodes to the prober and sets memberNames.
func (n *Node) updateMembers(nodes *cataloguer.Index[cataloguer.Node]) {
	vms := make([]prober.VM, 0, nodes.Len())
	n.memberNames = make([]string, 0, nodes.Len())

	for node := range nodes.All() {
		n.memberNames = append(n.memberNames, node.Name)
		vms = append(vms, prober.VM{
			Name:          node.Name,
			Address:       node.Address,
			PeerAddress:   node.Name,
			FailureDomain: node.FailureDomain,
		})
	}

	n.prober.SetListedNodes(time.Now(), vms)
}

// recordFirstNode records this node as the first one of its deployment if no node is or was listed. It can then use its
// share of the retry budget immediately. This happens before requests are accepted, since the first ones would otherwise
// have no retry budget.
func (n *Node) recordFirstNode(ctx context.Context, state *cataloguer.State) {
	age, known := state.RegistryFreshness.Age()
	if state.Registry.Nodes.Len() > 0 || !known || age > maxEmptyListAge {
		return
	}

	// Only seeds try; otherwise hundreds of nodes that start together would make as many writes.
	if seeds := n.current.Load().Gateway.Seeds; len(seeds) > 0 && !slices.Contains(seeds, n.settings.Node.PeerListen) {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, firstNodeTimeout)
	defer cancel()

	first, err := n.store.RecordFirstNode(ctx, n.settings.Node.PeerListen)
	if err != nil {
		n.logger.Warn().Err(err).Msg("first_node_not_recorded")

		return
	}

	if first {
		n.apportioner.SetFirstNode()
		n.logger.Info().Msg("first_node")
	}
}

// liveNodes returns the names of the nodes that respond and are not leaving, this one first. They must not be modified.
func (n *Node) liveNodes() []string {
	return n.currentRoster().live
}

// leavingNodes returns the names of the other nodes that respond and are leaving.
func (n *Node) leavingNodes() []string {
	return n.currentRoster().departing
}

// absentNodes returns the number of listed nodes that are known to be dead or leaving.
func (n *Node) absentNodes() int {
	return n.currentRoster().absent
}

// departedNodes returns the names of nodes that have been dead for so long that they are not expected to return. An
// isolated node returns none, since all others appear dead to it.
func (n *Node) departedNodes() []string {
	now := time.Now()
	if n.prober.Isolated(now) {
		return nil
	}

	var names []string

	for _, member := range n.prober.Members() {
		if hasDeparted(&member, now) {
			names = append(names, member.Name)
		}
	}

	return names
}

// hasDeparted reports whether a node has been dead for so long that it isn't expected to return.
func hasDeparted(member *prober.Member, now time.Time) bool {
	limit := departureTime
	if member.Leaving {
		limit = plannedDepartureTime
	}

	return member.State == prober.Dead && now.Sub(member.Since) > limit
}

// strongNodes returns the live nodes with enough capacity to decide for others, sorted by name.
func (n *Node) strongNodes() []string {
	return n.currentRoster().strong
}

// joinFleet starts to serve peers and to exchange heartbeats with them until ctx is cancelled; n.peerServers then waits until
// their addresses have been released.
func (n *Node) joinFleet(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", n.settings.Node.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}

	codec, err := prober.NewCodec(n.settings.Peers.Credential)
	if err != nil {
		return err
	}

	n.heartbeats, err = heartbeater.Listen(ctx, heartbeater.Options{
		Name:   n.settings.Node.PeerListen,
		Listen: n.settings.Node.PeerListen,
		Codec:  codec,
		Prober: n.prober,
		Logger: n.logger,
	})
	if err != nil {
		return err
	}

	messages, tunnels := tunneler.Split(listener)

	n.peerServers.Go(func() {
		if err := n.heartbeats.Run(ctx); err != nil {
			n.logger.Error().Err(err).Msg("heartbeats_failed")
		}
	})

	n.peerServers.Go(func() {
		if err := n.messages.Run(ctx, messages); err != nil {
			n.logger.Error().Err(err).Msg("peer_listener_failed")
		}
	})

	n.peerServers.Go(func() {
		if err := n.tunnels.Run(ctx, tunnels); err != nil {
			n.logger.Error().Err(err).Msg("tunnel_listener_failed")
		}
	})

	return nil
}
