package server

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/messenger"
)

// newMessages joins the node to its peers and names what it answers them.
func (n *Node) newMessages() (*messenger.Messenger, error) {
	peers := make(map[string]string, len(n.settings.Peers.Nodes))
	for _, peer := range n.settings.Peers.Nodes {
		peers[peer.Name] = peer.PeerAddress
	}

	options := messenger.Options{
		Self:       n.settings.Node.Name,
		Credential: n.settings.Peers.Credential,
		Peers:      peers,
		Joined:     n.members.peerAddress,
		Logger:     n.logger,
		Paused:     n.pauses.Paused,
	}

	if n.checksPeers() {
		server, err := n.certificates.PeerServerConfig()
		if err != nil {
			return nil, err
		}

		options.ServerTLS = server
		options.ClientTLS = n.certificates.PeerClientConfig
	}

	messages := messenger.New(options)
	messages.Handle(methodRequestStatus, n.handleRequestStatus)

	return messages, nil
}

// listenPeers answers other nodes until the node has drained.
func (n *Node) listenPeers(ctx context.Context) error {
	if n.settings.Node.PeerListen == "" {
		return nil
	}

	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", n.settings.Node.PeerListen)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}

	go func() {
		if err := n.messages.Run(n.work, listener); err != nil {
			n.logger.Error().Err(err).Msg("peer_listener_failed")
		}
	}()

	return nil
}
