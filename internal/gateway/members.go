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
	// emptyListAge is the greatest age of an empty list of nodes by which a node may be the first one.
	emptyListAge = 2 * time.Second
	// firstTimeout bounds the write that makes it so.
	firstTimeout = 300 * time.Millisecond
)

// goneTime is how long a node is dead before its entry is removed from the store: longer than any restart of a VM.
const goneTime = 10 * time.Minute

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
	options.Fill = func() prober.Digest {
		return prober.Digest{Leaving: n.leaving() > 0, Revision: n.catalog.State().Configuration.Version}
	}

	return prober.New(options)
}

// listMembers tells the prober which nodes may exist.
func (n *Node) listMembers(nodes []cataloguer.Node) {
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

	n.prober.List(time.Now(), vms)
	n.apportioner.Update(names)
}

// becomeFirst makes this node the first one of its deployment if nobody is or was listed. It may then use its part of what nodes
// share at once. That is settled before requests are taken, since the first ones would else do without.
func (n *Node) becomeFirst(ctx context.Context, listed []cataloguer.Node) {
	age, known := n.catalog.RegistryAge()
	if len(listed) > 0 || !known || age > emptyListAge {
		return
	}

	// One of them is enough; hundreds of nodes that start together would else make as many writes.
	if seeds := n.current.Load().Gateway.Seeds; len(seeds) > 0 && !slices.Contains(seeds, n.settings.Node.PeerListen) {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, firstTimeout)
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

// live returns the names of the nodes that answer and stay, this one included.
func (n *Node) live() []string {
	names := []string{n.settings.Node.PeerListen}

	for _, member := range n.prober.Live(time.Now()) {
		if member.Name != names[0] && !member.Leaving {
			names = append(names, member.Name)
		}
	}

	return names
}

// gone returns the names of nodes that have been dead for so long that they won't come back. A node that
// reaches nobody knows of none.
func (n *Node) gone() []string {
	now := time.Now()
	if n.prober.Isolated(now) {
		return nil
	}

	var names []string

	for _, member := range n.prober.Members() {
		if member.State == prober.Dead && now.Sub(member.Since) > goneTime {
			names = append(names, member.Name)
		}
	}

	return names
}

// holders returns the live nodes that are strong enough to decide for others. A weak node that decides
// for a large pool answers late, and all others would wait for it before they go on alone.
func (n *Node) holders() []string {
	live := n.live()
	strong, _ := cataloguer.SplitByCapacity(live, n.catalog.State().Registry.Nodes)

	// One that leaves is not live but still counts itself.
	if n.leaving() > 0 {
		strong = slices.DeleteFunc(strong, func(name string) bool { return name == n.settings.Node.PeerListen })
	}

	if len(strong) == 0 {
		return live
	}

	return strong
}

// entries returns the addresses that callers should use, this node's own among them unless it leaves.
func (n *Node) entries() []string {
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

// joinFleet answers peers and probes them until ctx ends.
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
