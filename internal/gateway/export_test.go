package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/loader"
)

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// RunWithDial is Run without duties and with connections to upstreams that wrap opens. Its argument opens them as Run does.
func RunWithDial(ctx context.Context, settings loader.Settings, store Store, protocol Protocol, logger zerolog.Logger, wrap func(DialFunc) DialFunc) error {
	node := newNode(settings, store, DutyBackends{}, protocol, logger)
	node.dialer.DialContext = wrap(node.dialer.DialContext)

	return node.run(ctx)
}

// ServeAndDrain serves callers on a listener with a handler that takes the place of the relayer, and performs a planned stop
// once ctx ends.
func ServeAndDrain(ctx context.Context, settings loader.Settings, store Store, protocol Protocol, handler http.Handler, listener net.Listener) error {
	node := newNode(settings, store, DutyBackends{}, protocol, zerolog.Nop())
	defer node.peerServers.Wait()

	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()

	if err := node.joinFleet(work); err != nil {
		return err
	}

	server := &http.Server{Handler: handler}

	go func() { _ = node.acceptor.Serve(server, listener) }()

	<-ctx.Done()
	node.drain([]*http.Server{server})

	return nil
}

// NewCatalog returns the catalog of a node that doesn't run, and a function that returns the version that decides about requests, 0 if it has
// none.
func NewCatalog(settings loader.Settings, store Store, protocol Protocol) (catalog *cataloguer.Catalog, version func() int64) {
	node := newNode(settings, store, DutyBackends{}, protocol, zerolog.Nop())
	node.applyChanges(context.Background())

	return node.catalog, func() int64 {
		if table := node.table.Load(); table != nil {
			return table.Version
		}

		return 0
	}
}
