package messenger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// sendTries bounds the connections on which a message is tried.
	sendTries = 2
	// unreadGrace is how much longer than its deadline a call waits if the process stood still meanwhile: what arrived then is read
	// in a few milliseconds.
	unreadGrace = 50 * time.Millisecond
)

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
	paused := l.messenger.options.Paused()

	connection, waiter, err := l.dispatch(ctx, func(rpc *jsonrpc2.Conn) (jsonrpc2.Waiter, error) {
		return rpc.DispatchCall(ctx, method, params)
	})
	if connection == nil {
		return err
	}

	defer connection.end()

	if err == nil {
		err = waiter.Wait(ctx, result)

		if errors.Is(ctx.Err(), context.DeadlineExceeded) && errors.Is(err, context.DeadlineExceeded) && l.messenger.options.Paused() > paused {
			err = waitForUnread(ctx, waiter, result)
		}
	}

	if err == nil {
		return nil
	}

	return l.callError(connection, err)
}

// waitForUnread waits for an answer that may have come before the deadline of ctx and not have been read.
func waitForUnread(ctx context.Context, waiter jsonrpc2.Waiter, result any) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), unreadGrace)
	defer cancel()

	return waiter.Wait(ctx, result)
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

	l.lose(connection, lossBroken, err)

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
		l.lose(connection, lossBroken, err)

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

	l.lose(connection, lossBroken, err)

	if connection.silent.Load() {
		err = errors.Mark(err, ErrSilent)
	}

	return classifier.Wrap(err, classifier.NodeUnreachable, "the connection to node %q broke", l.peer)
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
