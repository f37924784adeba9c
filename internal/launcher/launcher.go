// Package launcher finds addresses for nodes that run in this process, and
// waits until they take connections.
package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and lastPort bound the ports that are tried. They lie below those
	// that the system gives to outgoing connections: a node that started later
	// would else find its port taken by another's connection.
	firstPort = 12000
	lastPort  = 32000
	// startLimit bounds the wait for nodes to take connections.
	startLimit = time.Minute
	// lookInterval is the pause between two looks at a node that starts.
	lookInterval = 10 * time.Millisecond
)

// Addresses hands out loopback addresses, each once. It is not safe for concurrent use.
type Addresses struct {
	// next is the offset from firstPort of the port to try next.
	next int
	// left is the number of ports not tried yet.
	left int
}

// NewAddresses begins at a random port, so that programs side by side seldom try the same.
func NewAddresses() *Addresses {
	return &Addresses{next: rand.IntN(lastPort - firstPort), left: lastPort - firstPort}
}

// Next returns an IP:port that nothing listens on at the moment, by TCP or by UDP.
func (a *Addresses) Next(ctx context.Context) (string, error) {
	for ; a.left > 0; a.left-- {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+a.next)
		a.next = (a.next + 1) % (lastPort - firstPort)

		if isFree(ctx, address) {
			a.left--

			return address, nil
		}
	}

	return "", errors.Newf("no port from %d to %d is free", firstPort, lastPort)
}

func isFree(ctx context.Context, address string) bool {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()

	datagrams, err := new(net.ListenConfig).ListenPacket(ctx, "udp", address)
	if err != nil {
		return false
	}

	return datagrams.Close() == nil
}

// Await returns when each address takes connections, or with the first error
// of failed, or when they take too long.
func Await(ctx context.Context, addresses []string, failed <-chan error) error {
	limited, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()

	for _, address := range addresses {
		if err := awaitOne(limited, address, failed); err != nil {
			return err
		}
	}

	return nil
}

func awaitOne(ctx context.Context, address string, failed <-chan error) error {
	for {
		connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err == nil {
			return connection.Close()
		}

		select {
		case failure := <-failed:
			return failure
		case <-ctx.Done():
			return errors.Wrapf(err, "a node did not start at %s", address)
		case <-time.After(lookInterval):
		}
	}
}
