// Package messenger carries calls and notifications between nodes as JSON-RPC
// 2.0 over a few kept TCP connections.
//
// Each node dials one connection to each peer that it calls and answers on the
// connections that others dial. A connection that was unused for a while is closed by the
// end that dialled it, and dialled again for the next message. Both ends prove that they know the shared
// credential before any other method is taken.
package messenger

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// handlerWorkers is the number of calls from peers that are answered at once.
	handlerWorkers = 64
	// handlerQueue is the number of calls that may wait for a worker; more are refused.
	handlerQueue = 8192
)

// ErrNotSent marks calls of which no byte can have left this node.
var ErrNotSent = errors.New("the message was not sent")

// ErrSilent marks calls whose connection went silent; the peer may have taken the message.
var ErrSilent = errors.New("the connection to the peer went silent")

// Handler answers one method. It must return soon: notifications of one
// connection are handled in their order, one at a time.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Options are the fixed settings of a messenger.
type Options struct {
	// Self is the name of this node.
	Self string
	// Credential is shared by all nodes; never empty.
	Credential string
	// Peers maps the name of each node of the settings to its IP:port. It must not change any more.
	Peers map[string]string
	// Joined finds the IP:port of nodes that Peers lacks; nil means that there are none. It is called without locks.
	Joined func(node string) (string, bool)
	// ServerTLS encrypts the connections that peers dial; nil means plain TCP.
	ServerTLS *tls.Config
	// ClientTLS encrypts the connections that this node dials; nil means plain TCP.
	// It is asked for each connection, since the authorities in it can change.
	ClientTLS func() *tls.Config
	Logger    zerolog.Logger
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Paused returns for how long the process has stood still since its start; nil means that it never did.
	Paused func() time.Duration
}

// Messenger calls peers and answers them. It is safe for concurrent use.
//
// Lock order: Messenger.mu, link.mu, dialled.mu. None is held during calls or dials.
type Messenger struct {
	options  Options
	handlers map[string]Handler
	// inline holds the methods whose calls are answered by the goroutine that reads them.
	inline  map[string]bool
	traffic *traffic
	workers pond.Pool
	// stopWorkers ends the pool by its context; Stop of the library would start a task of its own.
	stopWorkers context.CancelFunc

	mu sync.Mutex
	// links holds one outgoing link for each peer called so far.
	links map[string]*link
}

// New returns a messenger that has no connection yet.
func New(options Options) *Messenger {
	if options.Dial == nil {
		options.Dial = dialTCP
	}

	if options.Paused == nil {
		options.Paused = func() time.Duration { return 0 }
	}

	work, stop := context.WithCancel(context.Background())

	return &Messenger{
		options:     options,
		handlers:    make(map[string]Handler),
		inline:      make(map[string]bool),
		traffic:     newTraffic(),
		workers:     pond.NewPool(handlerWorkers, pond.WithContext(work), pond.WithQueueSize(handlerQueue), pond.WithNonBlocking(true)),
		stopWorkers: stop,
		links:       make(map[string]*link),
	}
}

// Handle sets the handler of a method. All calls of Handle come before Run.
func (m *Messenger) Handle(method string, handler Handler) {
	m.handlers[method] = handler
}

// HandleInline sets the handler of a method that never waits, as Handle does. Its calls are answered one at a time for each
// connection, without the cost of a task each.
func (m *Messenger) HandleInline(method string, handler Handler) {
	m.handlers[method] = handler
	m.inline[method] = true
}

// address returns where a peer answers. The settings go first: they may name a
// way to the peer that it doesn't know itself.
func (m *Messenger) address(peer string) (string, bool) {
	if address, ok := m.options.Peers[peer]; ok {
		return address, true
	}

	if m.options.Joined == nil {
		return "", false
	}

	return m.options.Joined(peer)
}

// Run answers peers on the listener until ctx ends.
func (m *Messenger) Run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	context.AfterFunc(ctx, func() { _ = listener.Close() })

	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			m.close()

			return nil
		}

		if err != nil {
			return errors.Wrap(err, "accept peer")
		}

		m.serve(ctx, conn)
	}
}

// Call sends a request to a peer and waits for its answer. A numbered result
// of the peer comes back as a classifier.Error. An error wraps ErrNotSent when
// the peer surely did not get the request.
func (m *Messenger) Call(ctx context.Context, peer, method string, params, result any) error {
	if peer == m.options.Self {
		return m.callSelf(ctx, method, params, result)
	}

	link, err := m.linkTo(peer)
	if err != nil {
		return err
	}

	return link.call(ctx, method, params, result)
}

// Notify sends a message that has no answer. A nil error doesn't mean that the peer got it.
func (m *Messenger) Notify(ctx context.Context, peer, method string, params any) error {
	if peer == m.options.Self {
		return m.callSelf(ctx, method, params, nil)
	}

	link, err := m.linkTo(peer)
	if err != nil {
		return err
	}

	return link.notify(ctx, method, params)
}

// Traffic returns what was sent and received since the start.
func (m *Messenger) Traffic() Traffic {
	return m.traffic.snapshot()
}

// callSelf runs the handler in place, with the same encoding as over the network.
func (m *Messenger) callSelf(ctx context.Context, method string, params, result any) error {
	handler, ok := m.handlers[method]
	if !ok {
		return errors.Newf("unknown method %q", method)
	}

	data, err := json.Marshal(params)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode parameters"), ErrNotSent)
	}

	answer, err := handler(ctx, m.options.Self, data)
	if err != nil || result == nil {
		return err
	}

	encoded, err := json.Marshal(answer)
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}

	return errors.Wrap(json.Unmarshal(encoded, result), "decode answer")
}

func (m *Messenger) linkTo(peer string) (*link, error) {
	address, ok := m.address(peer)
	if !ok {
		unknown := classifier.New(classifier.NodeUnreachable, "node %q is not known", peer)

		return nil, errors.Mark(unknown, ErrNotSent)
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	existing, ok := m.links[peer]
	if ok && existing.address == address {
		return existing, nil
	}

	if ok {
		// Closing an encrypted connection may wait for a write; calls to other peers must not.
		go existing.close()
	}

	created := newLink(m, peer, address)
	m.links[peer] = created

	return created, nil
}

func (m *Messenger) close() {
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, link := range m.links {
		link.close()
	}

	m.stopWorkers()
}
