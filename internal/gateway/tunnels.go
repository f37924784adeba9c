package gateway

import (
	"context"
	"net"

	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/gateway/tunneler"
)

// tunnelFraction is the fraction of the connections to upstreams that tunnels for other nodes may use. Each tunnel takes
// two of them.
const tunnelFraction = 0.5

// detour reaches upstreams through other nodes. It implements dialer.Detour.
type detour struct {
	node *Node
}

// newTunneler returns the tunneler, which makes the dialer use other nodes' tunnels.
func (n *Node) newTunneler() *tunneler.Tunneler {
	n.dialer.Detour = detour{node: n}

	return tunneler.New(tunneler.Options{
		Self:       n.settings.Node.PeerListen,
		Credential: n.settings.Peers.Credential,
		MaxTunnels: int(tunnelFraction / 2 * float64(maxConnections(n.settings.Gateway.Descriptors))),
		Dial:       n.dialer.OpenForPeer,
		DialPeer:   n.dialer.DialPeer,
		Accepted:   n.dialer.DetectBreaks,
		IsListed:   n.isListed,
		IsLeaving:  func() bool { return n.leavingFor() > 0 },
		Logger:     n.logger,
	})
}

// isListed reports whether the upstream is listed with its address.
func (n *Node) isListed(upstream dialer.Upstream) bool {
	listed, ok := n.catalog.State().Registry.Upstreams.Get(upstream.ID)

	return ok && listed.Address == upstream.Address
}

// Peers implements dialer.Detour.
func (d detour) Peers() (near, far []string) {
	members := d.node.currentRoster()

	return members.near, members.far
}

// Connect implements dialer.Detour. The name of a peer is its address.
func (d detour) Connect(ctx context.Context, peer string, upstream dialer.Upstream) (net.Conn, error) {
	return d.node.tunnels.Connect(ctx, peer, upstream)
}
