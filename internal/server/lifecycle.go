package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// idleTimeout is how long a caller's connection may rest between requests.
const idleTimeout = 2 * time.Minute

// startGrace is how long a starting node waits for the settings in force before it listens for callers.
const startGrace = 5 * time.Second

// run serves until ctx ends, then carries out the planned stop.
func (n *Node) run(ctx context.Context) error {
	defer n.stopWork()

	if err := n.joinFleet(ctx); err != nil {
		return err
	}

	n.waitReady(ctx)

	return n.serveCallers(ctx)
}

// joinFleet answers peers and operators and starts the work behind requests, all until the node has drained.
func (n *Node) joinFleet(ctx context.Context) error {
	if err := n.listenPeers(ctx); err != nil {
		return err
	}

	if err := n.listenOperators(ctx); err != nil {
		return err
	}

	if err := n.probePeers(ctx); err != nil {
		return err
	}

	go n.pauses.Run(n.work)
	go n.members.follow(n.work)
	go n.quarantine.Run(n.work)
	go n.quarantine.follow(n.work)
	go n.rateLimits.Run(n.work)
	go n.rateLimits.follow(n.work)
	go n.readList(n.work)
	go n.distributor.Run(n.work)
	go n.exchangeLimits(n.work)
	go n.pollLoads(n.work)
	go n.orderEngines(n.work)

	return nil
}

// serveCallers answers callers until ctx ends and the node has drained, or until the listener fails.
func (n *Node) serveCallers(ctx context.Context) error {
	listener, err := n.listenCallers(ctx)
	if err != nil {
		return err
	}

	server := &http.Server{
		Handler:           markServing(n.whileAccepting(n.callerRoutes())),
		ConnContext:       keepConn,
		ConnState:         followState,
		ReadHeaderTimeout: n.settings.Node.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	failed := make(chan error, 1)

	go func() { failed <- server.Serve(listener) }()

	n.logger.Info().Str("address", listener.Addr().String()).Msg("node_started")

	select {
	case err := <-failed:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}

	return n.stop(server)
}

// waitReady gives the node a moment to learn the settings in force before
// callers can reach it: a refused connection sends them to another entry at
// once, while a node that answers without settings could only turn them away.
func (n *Node) waitReady(ctx context.Context) {
	select {
	case <-n.distributor.Ready():
	case <-time.After(startGrace):
		n.logger.Warn().Msg("node_without_settings")
	case <-ctx.Done():
	}
}

func (n *Node) listenCallers(ctx context.Context) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", n.settings.Node.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}

	if n.certificates != nil {
		listener = tls.NewListener(listener, n.certificates.ServerConfig())
	}

	return callerListener{Listener: listener, node: n}, nil
}
