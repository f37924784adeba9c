package server

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/messenger"
)

func newMessages(settings loader.Settings, logger zerolog.Logger) *messenger.Messenger {
	peers := make(map[string]string, len(settings.Peers.Nodes))
	for _, peer := range settings.Peers.Nodes {
		peers[peer.Name] = peer.PeerAddress
	}

	return messenger.New(messenger.Options{
		Self:       settings.Node.Name,
		Credential: settings.Peers.Credential,
		Peers:      peers,
		Logger:     logger,
	})
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
