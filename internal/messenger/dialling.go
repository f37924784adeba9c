package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// dialTimeout bounds a connect; within a region it takes a few milliseconds.
	dialTimeout = time.Second
	// helloTimeout bounds the proof of the credential, on both ends.
	helloTimeout = 2 * time.Second
	// redialWait is how long a peer that could not be dialled counts as unreachable.
	redialWait = 250 * time.Millisecond
)

var errLinkClosed = errors.New("the link is closed")

// connect returns the open connection or dials one, with a use begun. Only one dial runs at a time.
//
// The wait for a dial ends with ctx. Where a peer takes connections and is silent, a dial lasts for seconds; were it waited
// for under a lock, an ask that gives its holder 150 ms would wait for seconds, and a counter lookup with it.
func (l *link) connect(ctx context.Context) (*dialled, error) {
	if connection, err := l.known(); connection != nil || err != nil {
		return connection, err
	}

	select {
	case l.dialling <- struct{}{}:
	case <-ctx.Done():
		return nil, l.unreachable(ctx.Err())
	}

	// The dial that was waited for may have brought a connection, or failed.
	if connection, err := l.known(); connection != nil || err != nil {
		<-l.dialling

		return connection, err
	}

	results := make(chan dialResult)

	go func() {
		result := l.dialOnce(ctx)
		<-l.dialling

		select {
		case results <- result:
		case <-ctx.Done():
			if result.connection != nil {
				result.connection.end()
			}
		}
	}()

	select {
	case result := <-results:
		return result.connection, result.err
	case <-ctx.Done():
		return nil, l.unreachable(ctx.Err())
	}
}

// dialResult is a new connection with a use begun, or why there is none.
type dialResult struct {
	connection *dialled
	err        error
}

// dialOnce dials a connection and keeps it for the calls to come, also if ctx has ended meanwhile.
func (l *link) dialOnce(ctx context.Context) dialResult {
	paused := l.messenger.options.Paused()

	connection, err := l.dial(ctx)
	if err != nil && l.messenger.options.Paused() > paused {
		// The peer may have answered in time.
		return dialResult{err: l.unreachable(err)}
	}

	if err != nil {
		return dialResult{err: l.noteFailure(ctx, err)}
	}

	connection, err = l.keep(connection)

	return dialResult{connection: connection, err: err}
}

// known returns the open connection with a use begun, or why there is none; neither when one is to be dialled.
func (l *link) known() (*dialled, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.current != nil && l.current.begin() {
		return l.current, nil
	}

	l.current = nil

	if l.failedErr != nil && time.Since(l.failedAt) < redialWait {
		return nil, l.failedErr
	}

	return nil, nil
}

// keep makes a new connection the open one, unless the link was closed meanwhile.
func (l *link) keep(connection *dialled) (*dialled, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.closed {
		_ = connection.rpc.Close()

		return nil, l.unreachable(errLinkClosed)
	}

	l.failedErr = nil
	l.current = connection
	l.noteRegained()

	return connection, nil
}

// noteFailure returns the error of a dial, and remembers it if it says something about the peer: a call that gave up doesn't.
func (l *link) noteFailure(ctx context.Context, err error) error {
	failure := l.unreachable(err)
	if ctx.Err() != nil {
		return failure
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.failedAt = time.Now()
	l.failedErr = failure
	l.noteLost(lossNotDialled, err)

	return failure
}

// unreachable is the error of a call for which there is no connection.
func (l *link) unreachable(cause error) error {
	return errors.Mark(classifier.Wrap(cause, classifier.NodeUnreachable, "node %q can't be reached", l.peer), ErrNotSent)
}

// dial opens a connection and proves the credential. The proof outlives ctx: a peer that has many connections to take at once,
// as a seed when all nodes start, answers each of them later than one call waits. If every call gave up its connection and
// dialled another one, the peer would have the more to do the later it is, and answer none.
func (l *link) dial(ctx context.Context) (*dialled, error) {
	raw, err := l.messenger.options.Dial(ctx, l.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}

	raw, err = l.encrypt(raw)
	if err != nil {
		return nil, err
	}

	counted := newCountedConn(raw, l.messenger.traffic)
	stream := newStream(counted)
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, refuseAll{}, append(stream.options(), inEvents(l.messenger.options.Logger))...)
	connection := &dialled{rpc: rpc, conn: counted, paused: l.messenger.options.Paused, uses: 1}

	hello, cancel := context.WithTimeout(context.WithoutCancel(ctx), helloTimeout)
	defer cancel()

	if err := l.messenger.sayHello(hello, rpc); err != nil {
		_ = rpc.Close()

		return nil, err
	}

	connection.mu.Lock()
	defer connection.mu.Unlock()

	connection.heardAtUse = counted.heard.Load()
	connection.timer = time.AfterFunc(pingInterval, func() { l.tick(connection) })
	connection.watch()

	return connection, nil
}

// encrypt puts TLS on a connection where the settings ask for it.
func (l *link) encrypt(raw net.Conn) (net.Conn, error) {
	if l.messenger.options.ClientTLS == nil {
		return raw, nil
	}

	host, _, err := net.SplitHostPort(l.address)
	if err != nil {
		_ = raw.Close()

		return nil, errors.Wrap(err, "peer address")
	}

	config := l.messenger.options.ClientTLS()
	config.ServerName = host

	return tls.Client(raw, config), nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}

	return dialer.DialContext(ctx, "tcp", address)
}
