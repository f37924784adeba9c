package gateway

import (
	"context"
	"net"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/loader"
)

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// RunWithDial is Run without duties and with connections to upstreams that wrap opens. Its argument opens them as Run does.
func RunWithDial(ctx context.Context, settings loader.Settings, store Store, protocol Protocol, logger zerolog.Logger, wrap func(DialFunc) DialFunc) error {
	node := newNode(settings, store, protocol, logger)
	node.dialer.DialContext = wrap(node.dialer.DialContext)

	return node.run(ctx)
}
