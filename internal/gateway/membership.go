package gateway

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/heartbeater"
	"quincepath.example/quincepath/internal/prober"
)

const (
	// maxEmptyListAge is the maximum age of an empty node list at which a node may record itself as the first one.
	maxEmptyListAge = 2 * time.Second
	// firstNodeTimeout limits the write that records the first node.
	firstNodeTimeout = 300 * time.Millisecond
)

// departureTime is how long a node must be dead before its entry is removed from the store. It is longer than any
// restart of a VM.
const departureTime = 10 * time.Minute

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

// updateMembers passes the listed nodes to the prober and the apportioner.
func (n *Node) updateMembers(nodes []cataloguer.Node) {
	vms := make([]prober.VM, 0, len(nodes))
	names := make([]string, 0, len(nodes))

	for _, node := range nodes {
		names = append(names, node.Name)
		vms = append(vms, prober.VM{
			Name:          node.Name,
			Address:       node.Address,
			PeerAddress:   node.Name,
			FailureDomain: node.FailureDomain,
		})
	}

	n.prober.SetListedNodes(time.Now(), vms)
	n.apportioner.Update(names)
}

// recordFirstNode records this node as the first one of its deployment if no node is or was listed. It can then use its
// share of the retry budget immediately. This happens before requests are accepted, since the first ones would otherwise
// have no retry budget.
func (n *Node) recordFirstNode(ctx context.Context, listed []cataloguer.Node) {
	age, known := n.catalog.RegistryAge()
	if len(listed) > 0 || !known || age > maxEmptyListAge {
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

// liveNodes returns the names of the nodes that respond and are not leaving, including this one.
func (n *Node) liveNodes() []string {
	names := []string{n.settings.Node.PeerListen}

	for _, member := range n.prober.Live(time.Now()) {
		if member.Name != names[0] && !member.Leaving {
			names = append(names, member.Name)
		}
	}

	return names
}

// leavingNodes returns the names of the other nodes that respond and are leaving.
func (n *Node) leavingNodes() []string {
	var names []string

	for _, member := range n.prober.Live(time.Now()) {
		if member.Name != n.settings.Node.PeerListen && member.Leaving {
			names = append(names, member.Name)
		}
	}

	return names
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
		if member.State == prober.Dead && now.Sub(member.Since) > departureTime {
			names = append(names, member.Name)
		}
	}

	return names
}

// strongNodes returns the live nodes with enough capacity to decide for others. A weak node that decides for a large
// pool responds late, and all others would wait for it before they continue alone.
func (n *Node) strongNodes() []string {
	live := n.liveNodes()
	strong, _ := cataloguer.SplitByCapacity(live, n.catalog.State().Registry.Nodes)

	// liveNodes always includes this node, also while it is leaving.
	if n.leavingFor() > 0 {
		strong = slices.DeleteFunc(strong, func(name string) bool { return name == n.settings.Node.PeerListen })
	}

	if len(strong) == 0 {
		return live
	}

	return strong
}

// entryAddresses returns the addresses that callers should use. It includes this node's own address while it is ready.
func (n *Node) entryAddresses() []string {
	var addresses []string

	if n.ready() {
		addresses = append(addresses, n.settings.Node.Advertise)
	}

	for _, member := range n.prober.Live(time.Now()) {
		if member.Name != n.settings.Node.PeerListen && !member.Leaving && member.State == prober.Live {
			addresses = append(addresses, member.Address)
		}
	}

	slices.Sort(addresses)

	return addresses
}

// joinFleet starts to serve peers and to exchange heartbeats with them until ctx is cancelled.
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

	go func() {
		if err := n.heartbeats.Run(ctx); err != nil {
			n.logger.Error().Err(err).Msg("heartbeats_failed")
		}
	}()

	go func() {
		if err := n.messages.Run(ctx, listener); err != nil {
			n.logger.Error().Err(err).Msg("peer_listener_failed")
		}
	}()

	return nil
}
