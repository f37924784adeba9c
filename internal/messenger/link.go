package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	dialTimeout = time.Second
	// helloTimeout bounds the proof of the credential, on both ends.
	helloTimeout = 2 * time.Second
	// redialWait is how long a peer that could not be dialled counts as unreachable.
	redialWait = 250 * time.Millisecond
	// sendTries bounds the connections on which a message is tried.
	sendTries = 2
)

var errLinkClosed = errors.New("the link is closed")

// link is the outgoing connection to one peer; it is dialled when needed.
type link struct {
	messenger *Messenger
	peer      string
	address   string
	// dialling holds a value while a dial runs.
	dialling chan struct{}

	mu sync.Mutex
	// closed means that no connection is kept any more.
	closed bool
	// current is nil when there is no connection.
	current *dialled
	// failedAt is the time of the last dial that failed, and failedErr its error; nil after a dial that did not.
	failedAt  time.Time
	failedErr error
	// lostAt is when the peer's last connection was lost; zero once there is a new one.
	lostAt time.Time
}

func newLink(messenger *Messenger, peer, address string) *link {
	return &link{messenger: messenger, peer: peer, address: address, dialling: make(chan struct{}, 1)}
}

func (l *link) call(ctx context.Context, method string, params, result any) error {
	connection, waiter, err := l.dispatch(ctx, func(rpc *jsonrpc2.Conn) (jsonrpc2.Waiter, error) {
		return rpc.DispatchCall(ctx, method, params)
	})
	if connection == nil {
		return err
	}

	defer connection.end()

	if err == nil {
		err = waiter.Wait(ctx, result)
	}

	if err == nil {
		return nil
	}

	return l.callError(connection, err)
}

func (l *link) notify(ctx context.Context, method string, params any) error {
	connection, _, err := l.dispatch(ctx, func(rpc *jsonrpc2.Conn) (jsonrpc2.Waiter, error) {
		return jsonrpc2.Waiter{}, rpc.Notify(ctx, method, params)
	})
	if connection == nil {
		return err
	}

	defer connection.end()

	if err == nil {
		return nil
	}

	l.lose(connection, "broken", err)

	return errors.Wrapf(err, "notify %s", l.peer)
}

// dispatch sends a message on the open connection or a new one; the caller ends the use of
// the connection that it returns. It is nil when the message was surely not sent.
//
// The peer may end a kept connection at the moment at which it is used again, by a restart.
// The message is sent once more then, but only if the connection took no byte since before:
// a peer that got it may carry it out, and would do so twice.
func (l *link) dispatch(ctx context.Context, send func(*jsonrpc2.Conn) (jsonrpc2.Waiter, error)) (*dialled, jsonrpc2.Waiter, error) {
	for try := 1; ; try++ {
		connection, err := l.connect(ctx)
		if err != nil {
			return nil, jsonrpc2.Waiter{}, err
		}

		taken := connection.conn.taken.Load()

		waiter, err := send(connection.rpc)
		if err == nil || connection.conn.taken.Load() != taken {
			return connection, waiter, err
		}

		connection.end()
		l.lose(connection, "broken", err)

		if try == sendTries {
			unreachable := classifier.Wrap(err, classifier.NodeUnreachable, "the connection to node %q broke", l.peer)

			return nil, jsonrpc2.Waiter{}, errors.Mark(unreachable, ErrNotSent)
		}
	}
}

// callError turns an error of the library into one of ours and drops a connection that is of no more use.
func (l *link) callError(connection *dialled, err error) error {
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return decodeError(answered)
	}

	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errors.Wrapf(err, "call %s", l.peer)
	}

	l.lose(connection, "broken", err)

	if connection.silent.Load() {
		err = errors.Mark(err, ErrSilent)
	}

	return classifier.Wrap(err, classifier.NodeUnreachable, "the connection to node %q broke", l.peer)
}

// connect returns the open connection or dials one, with a use begun. Only one dial runs at a time.
//
// The wait for another call's dial ends with ctx as well. Where a peer takes connections and
// is silent, a dial lasts as long as its call lets it; were it waited for under a lock, an ask
// that gives its holder 150 ms would wait for seconds, and a counter lookup with it.
func (l *link) connect(ctx context.Context) (*dialled, error) {
	if connection, err := l.known(); connection != nil || err != nil {
		return connection, err
	}

	select {
	case l.dialling <- struct{}{}:
	case <-ctx.Done():
		return nil, l.unreachable(ctx.Err())
	}

	defer func() { <-l.dialling }()

	// The dial that was waited for may have brought a connection, or failed.
	if connection, err := l.known(); connection != nil || err != nil {
		return connection, err
	}

	connection, err := l.dial(ctx)
	if err != nil {
		return nil, l.noteFailure(ctx, err)
	}

	return l.keep(connection)
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
	l.noteLost("not_dialled", err)

	return failure
}

// unreachable is the error of a call for which there is no connection.
func (l *link) unreachable(cause error) error {
	return errors.Mark(classifier.Wrap(cause, classifier.NodeUnreachable, "node %q can't be reached", l.peer), ErrNotSent)
}

// dial opens a connection and proves the credential. It outlives ctx, which only bounds the wait.
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
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(counted), refuseAll{})
	connection := &dialled{rpc: rpc, conn: counted, uses: 1}

	hello, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()

	if err := l.messenger.sayHello(hello, rpc); err != nil {
		_ = rpc.Close()

		return nil, err
	}

	connection.mu.Lock()
	defer connection.mu.Unlock()

	connection.heard = counted.heard.Load()
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

// tick closes a connection that is watched and brings nothing, and one that is long unused.
//
// Open connections can go silent for good while new ones work. Without the look at
// silence every call on such a connection would run into its own deadline, one
// after the other; with it the next call dials a new connection.
func (l *link) tick(connection *dialled) {
	switch connection.state() {
	case stateUnused:
	case stateEnded:
		l.drop(connection)
	case stateSilent:
		connection.silent.Store(true)
		l.lose(connection, "silent", nil)
	case stateUsed:
		l.ping(connection)
	}
}

// ping asks for a sign of life. It doesn't wait for the answer: the next tick looks at what came.
func (l *link) ping(connection *dialled) {
	if _, err := connection.rpc.DispatchCall(context.Background(), methodPing, struct{}{}); err != nil {
		l.lose(connection, "broken", err)

		return
	}

	connection.timer.Reset(pingInterval)
}

// drop closes a connection that was unused.
func (l *link) drop(connection *dialled) {
	l.mu.Lock()
	if l.current == connection {
		l.current = nil
	}
	l.mu.Unlock()

	_ = connection.rpc.Close()
}

// lose closes a connection that doesn't work any more.
func (l *link) lose(connection *dialled, reason string, cause error) {
	l.mu.Lock()
	if l.current == connection {
		l.noteLost(reason, cause)
	}
	l.mu.Unlock()

	l.drop(connection)
}

// noteLost logs that the peer can't be reached, once until it can. The caller holds l.mu.
func (l *link) noteLost(reason string, cause error) {
	if !l.lostAt.IsZero() {
		return
	}

	l.lostAt = time.Now()
	l.messenger.options.Logger.Warn().Str("peer", l.peer).Str("reason", reason).AnErr("cause", cause).Msg("peer_connection_lost")
}

// noteRegained logs the first connection after a loss. The caller holds l.mu.
func (l *link) noteRegained() {
	if l.lostAt.IsZero() {
		return
	}

	l.messenger.options.Logger.Info().Str("peer", l.peer).Dur("lost_ms", time.Since(l.lostAt)).Msg("peer_connection_regained")
	l.lostAt = time.Time{}
}

func (l *link) close() {
	l.mu.Lock()
	connection := l.current
	l.current = nil
	l.closed = true
	l.mu.Unlock()

	if connection != nil {
		_ = connection.rpc.Close()
	}
}

// refuseAll answers requests that come in on an outgoing connection.
type refuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (refuseAll) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Notif {
		return
	}

	// The peer's own deadline covers an answer that can't be sent.
	_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods here"})
}
