// Package acceptor accepts the connections of callers and limits their number, the time to read a request header, the memory that
// headers may take while they are read, and the time that connections may be idle.
//
// The timeouts of net/http's server are fixed, while operators can change them with each configuration, also for connections
// that are open.
package acceptor

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quincepath.example/quincepath/internal/headreader"
	"quincepath.example/quincepath/pkg/classifier"
)

// errClosing ends a read of a connection that is being closed. The server answers other errors than those of a read.
var errClosing = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Timeouts are the configured timeouts of a connection, both above zero.
type Timeouts struct {
	// Header is the maximum time from the first byte of a request to the end of its header.
	Header time.Duration
	// Idle is the maximum time that a connection is idle before its first byte and between two requests.
	Idle time.Duration
}

// Counters counts connections of callers.
type Counters struct {
	Open int `json:"open"`
	// ClosedIdle and ClosedHeader count connections that exceeded the idle timeout and the header timeout.
	ClosedIdle   int64 `json:"closed_idle"`
	ClosedHeader int64 `json:"closed_header"`
	// Evicted counts idle connections that were closed to make room for new ones. Rejected counts new connections that were
	// closed immediately because no connection was idle.
	Evicted  int64 `json:"closed_for_room"`
	Rejected int64 `json:"turned_away"`
	// Crossed counts requests that were read while their connection was being closed. They are not handled.
	Crossed int64 `json:"crossed_close"`
	// WaitedForMemory counts headers that had to wait until others were read, Refused those that were refused as there was no memory.
	WaitedForMemory int64 `json:"waited_for_memory"`
	Refused         int64 `json:"refused_for_memory"`
	// Postponed counts connections that exceeded a timeout while bytes that came in time weren't read yet. ClosedUnread counts those that
	// were closed while bytes of their caller lay unread in the socket, since these came after the timeout.
	Postponed    int64 `json:"close_postponed"`
	ClosedUnread int64 `json:"closed_unread"`
}

// Acceptor tracks the connections of one http.Server. It is safe for concurrent use.
//
// No other lock is taken while Acceptor.mu is held, and connections are closed without holding it.
type Acceptor struct {
	// OnRefusal, if not nil, is called for each request that is refused before its header was read. It is set before Serve.
	OnRefusal func(*classifier.Error)

	// maxConnections is the maximum number of open connections.
	maxConnections int
	timeouts       func() Timeouts
	// headMemory is the memory that long headers may take while they are read.
	headMemory *headreader.Memory

	mu          sync.Mutex
	connections map[*connection]struct{}
	// idle and headers hold the connections in the phases idle and readingHeader, the longest in its phase first.
	idle, headers *list.List
	// overdue holds the connections of both phases that exceeded their timeout and are looked at again before they are closed, the one
	// that is judged first at the front.
	overdue                *list.List
	idleLimit, headerLimit limit
	// listener is that of Serve; nil before.
	listener *trackingListener
	// isStopping is true from Shutdown on: connections may no longer be idle.
	isStopping bool
	// isSweeping is true while the server closes the connections that it takes for idle. They stay open.
	isSweeping bool
	// reaper runs at reapAt, or is not set if that is zero.
	reaper   *time.Timer
	reapAt   time.Time
	counters Counters
}

// phase is the state of a connection.
type phase int

const (
	// idle connections have no request.
	idle phase = iota
	// readingHeader connections have sent a part of a header.
	readingHeader
	// active connections have a request in progress.
	active
	// closed connections are closed, or are about to be, and handle no further request.
	closed
)

// connection is one caller's connection. Its fields other than Conn are guarded by Acceptor.mu.
type connection struct {
	net.Conn
	acceptor *Acceptor
	phase    phase
	// queue is the list of the acceptor that holds the connection as element. It is nil in other phases than idle and readingHeader, and
	// while a header waits for memory.
	queue   *list.List
	element *list.Element
	// enteredAt is when the current phase began.
	enteredAt time.Time
	// judgeAt is when a connection in Acceptor.overdue is judged again, busyLooks how often the server was found not to read from it
	// in this phase.
	judgeAt   time.Time
	busyLooks int
	// headBytesInTime is the number of bytes of a header that had come when the connection was first looked at to close it; 0 before that,
	// or if none had.
	headBytesInTime int
	// isReading is true while the server waits for bytes. It isn't guarded.
	isReading atomic.Bool
	// headBytes is the number of bytes that were read in the phase readingHeader, headMemory what they take of
	// Acceptor.headMemory.
	headBytes  int
	headMemory headreader.Reservation
}

// Read implements net.Conn. The server reports the start of a request only after its header is complete, so the first byte is
// detected here.
func (c *connection) Read(p []byte) (int, error) {
	c.isReading.Store(true)
	n, err := c.Conn.Read(p)
	c.isReading.Store(false)

	if n == 0 {
		return n, err
	}

	if !c.acceptor.startReading(c, n) {
		return 0, errClosing
	}

	reserved, open := c.acceptor.reserveHead(c)
	if !reserved {
		open = c.acceptor.awaitMemory(c, p)
	}

	if !open {
		return 0, errClosing
	}

	return n, err
}

// CloseWrite lets the server close the connection without a reset, which could discard the last bytes of an answer.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}

	return nil
}

// resetOnClose makes a close reset the connection. A response of HTTP 1.0 may end with its connection, so that a close would make one that
// was aborted look whole.
func (c *connection) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// The close follows either way.
		_ = tcp.SetLinger(0)
	}
}

// New returns an Acceptor of at most maxConnections connections. The timeouts function returns the current timeouts. Long headers
// share headMemory while they are read.
func New(maxConnections int, timeouts func() Timeouts, headMemory *headreader.Memory) *Acceptor {
	return &Acceptor{
		maxConnections: maxConnections, timeouts: timeouts, headMemory: headMemory,
		connections: make(map[*connection]struct{}), idle: list.New(), headers: list.New(), overdue: list.New(),
	}
}

// Serve serves the listener's connections with the server until the listener or the server is closed. It changes the server,
// which must not be used elsewhere.
func (a *Acceptor) Serve(server *http.Server, listener net.Listener) error {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionContextKey{}).(*connection)
		if ok && !a.startHandling(c) {
			panic(http.ErrAbortHandler)
		}

		aborted := true

		defer func() {
			if ok && aborted && !r.ProtoAtLeast(1, 1) {
				c.resetOnClose()
			}
		}()

		handler.ServeHTTP(w, r)

		aborted = false
	})
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionContextKey{}, c)
	}
	server.ConnState = a.trackState

	tracking := newTrackingListener(listener, a)

	a.mu.Lock()
	a.listener = tracking
	a.mu.Unlock()

	err := server.Serve(tracking)

	a.mu.Lock()
	defer a.mu.Unlock()

	if a.isStopping {
		return http.ErrServerClosed
	}

	return err
}

// Counters returns the number of open connections and the counts since the start.
func (a *Acceptor) Counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()

	counters := a.counters
	counters.Open = len(a.connections)

	return counters
}

// Busy returns the number of connections with a request, from the first byte of its header until its answer is written. After Shutdown,
// it is the number of all, since a request may still be read from those that look idle.
func (a *Acceptor) Busy() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.isStopping {
		return len(a.connections)
	}

	return len(a.connections) - a.idle.Len()
}

// connectionContextKey is the key of a request's connection in its context.
type connectionContextKey struct{}

// trackState is the ConnState hook of the server.
func (a *Acceptor) trackState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*connection)
	if !ok {
		return
	}

	switch state {
	case http.StateNew:
		a.admit(c)
	case http.StateIdle:
		a.startIdling(c)
	case http.StateClosed:
		a.mu.Lock()
		a.retire(c)
		a.mu.Unlock()

		// The server's own close may have been left to the reaper.
		_ = c.Conn.Close()
	case http.StateHijacked:
		a.mu.Lock()
		a.remove(c)
		a.mu.Unlock()
	case http.StateActive:
	}
}

// admit adds a new connection. At the maximum, it evicts the longest idle connection, whose caller has no request on it and
// can reconnect. Without a limit the process would run out of file descriptors, and could then reach neither upstreams nor
// its peers.
func (a *Acceptor) admit(c *connection) {
	a.mu.Lock()

	closing := a.evictIdle()
	if closing == nil && len(a.connections) >= a.maxConnections {
		closing = c
		a.counters.Rejected++
		a.retire(c)
	}

	if closing != c {
		a.connections[c] = struct{}{}
		a.enter(c, idle)
	}
	a.mu.Unlock()

	if closing != nil {
		_ = closing.Close()
	}
}

// startReading records that bytes were read, which begin a header if the connection was idle. It returns false if the connection is
// being closed.
func (a *Acceptor) startReading(c *connection, bytes int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	switch c.phase {
	case idle:
		a.enter(c, readingHeader)
	case closed:
		a.counters.Crossed++

		return false
	case readingHeader, active:
	}

	if c.phase == readingHeader {
		c.headBytes += bytes
	}

	return true
}

// startHandling records that a request's header is complete. It returns false if the connection is being closed: its caller
// would get no answer.
func (a *Acceptor) startHandling(c *connection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if c.phase == closed {
		a.counters.Crossed++

		return false
	}

	a.enter(c, active)

	return true
}

// startIdling records that a request was answered.
func (a *Acceptor) startIdling(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if c.phase != closed {
		a.enter(c, idle)
	}
}

// enter starts a phase and its timeout; a.mu must be held.
func (a *Acceptor) enter(c *connection, to phase) {
	a.leave(c)
	c.phase, c.enteredAt = to, time.Now()
	a.updateLimits(c.enteredAt)

	switch to {
	case idle:
		a.enqueue(c, a.idle)
	case readingHeader:
		a.enqueue(c, a.headers)
	case active, closed:
	}
}

// leave ends the current phase; a.mu must be held.
func (a *Acceptor) leave(c *connection) {
	a.dequeue(c)
	c.headBytes, c.headBytesInTime, c.busyLooks = 0, 0, 0
	c.headMemory.Release()
}

// retire stops tracking a connection that is closed, or is closed next without holding a.mu, which must be held. No further
// request on it is handled.
func (a *Acceptor) retire(c *connection) {
	a.remove(c)
	c.phase = closed
}

// remove stops tracking a connection; a.mu must be held.
func (a *Acceptor) remove(c *connection) {
	a.leave(c)
	delete(a.connections, c)
}
