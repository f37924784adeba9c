// Package acceptor takes the connections of callers and bounds their number, the
// time for the header of a request, and the time for which they may rest.
//
// The server of net/http knows fixed times only, while operators change theirs
// with each configuration, also for connections that are open.
package acceptor

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Timeouts are the operators' bounds of a connection, both above zero.
type Timeouts struct {
	// Header is the time from the first byte of a request to the end of its header.
	Header time.Duration
	// Idle is the time for which a connection may rest before its first byte and between two requests.
	Idle time.Duration
}

// Counters count connections of callers.
type Counters struct {
	Open int `json:"open"`
	// ClosedIdle and ClosedHeader were closed because a time was over.
	ClosedIdle   int64 `json:"closed_idle"`
	ClosedHeader int64 `json:"closed_header"`
	// Evicted rested and made room for new ones; Rejected were closed at once since none rested.
	Evicted  int64 `json:"closed_for_room"`
	Rejected int64 `json:"turned_away"`
}

// Acceptor follows the connections of one http.Server. It is safe for concurrent use.
//
// Lock order: Acceptor.mu alone; connections are closed without it.
type Acceptor struct {
	// most is the largest number of connections.
	most  int
	times func() Timeouts

	mu          sync.Mutex
	connections map[*connection]struct{}
	// resting holds the connections without a request, the one that rests longest first.
	resting  *list.List
	counters Counters
}

// phase is what a connection is doing.
type phase int

const (
	// resting connections have no request.
	resting phase = iota
	// heading connections have part of a header.
	heading
	// busy connections have a request.
	busy
)

// connection is one caller's connection. Its fields beside Conn are guarded by Acceptor.mu.
type connection struct {
	net.Conn
	acceptor *Acceptor
	phase    phase
	// timer ends the present phase.
	timer *time.Timer
	// turn counts the phases; a timer of an earlier one says nothing.
	turn int
	// place is its element in Acceptor.resting, nil in other phases.
	place *list.Element
}

// Read implements net.Conn. The server tells that a request has begun only once its header is whole, so
// the first byte is noted here.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.acceptor.move(c, heading, func() bool { return c.phase == resting })
	}

	return n, err
}

// CloseWrite lets the server close without a reset that would take the answer's last bytes with it.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}

	return nil
}

// New returns an acceptor of so many connections at most. times tells the bounds in force.
func New(most int, times func() Timeouts) *Acceptor {
	return &Acceptor{most: most, times: times, connections: make(map[*connection]struct{}), resting: list.New()}
}

// Serve answers the listener's connections with the server until the listener or the server is closed.
// The server must not be used elsewhere.
func (a *Acceptor) Serve(server *http.Server, listener net.Listener) error {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
			a.move(c, busy, always)
		}

		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	server.ConnState = a.follow

	return server.Serve(&wrapper{Listener: listener, acceptor: a})
}

// Counters returns the counts since the start.
func (a *Acceptor) Counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()

	counters := a.counters
	counters.Open = len(a.connections)

	return counters
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// wrapper makes each connection of a listener one that the acceptor follows.
type wrapper struct {
	net.Listener
	acceptor *Acceptor
}

// Accept implements net.Listener.
func (w *wrapper) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &connection{Conn: c, acceptor: w.acceptor, phase: busy}, nil
}

// follow is the server's ConnState.
func (a *Acceptor) follow(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*connection)
	if !ok {
		return
	}

	switch state {
	case http.StateNew:
		a.add(c)
	case http.StateIdle:
		a.move(c, resting, always)
	case http.StateClosed, http.StateHijacked:
		a.mu.Lock()
		a.drop(c)
		a.mu.Unlock()
	case http.StateActive:
	}
}

// add takes in a new connection. Where there are too many, the one that rests longest makes room: its
// caller has no request on it and can open another one. Without a bound the process would run out of
// descriptors, and could then reach neither upstreams nor its peers.
func (a *Acceptor) add(c *connection) {
	a.mu.Lock()

	closing := a.makeRoom()
	if closing == nil && len(a.connections) >= a.most {
		closing = c
		a.counters.Rejected++
	}

	if closing != c {
		a.connections[c] = struct{}{}
		a.begin(c, resting)
	}
	a.mu.Unlock()

	if closing != nil {
		_ = closing.Close()
	}
}

// makeRoom drops the connection that rests longest if there are too many, and returns it to be closed; a.mu is held.
func (a *Acceptor) makeRoom() *connection {
	if len(a.connections) < a.most {
		return nil
	}

	oldest := a.resting.Front()
	if oldest == nil {
		return nil
	}

	c, _ := oldest.Value.(*connection)
	a.drop(c)
	a.counters.Evicted++

	return c
}

func always() bool { return true }

// move brings a connection to another phase if the condition holds.
func (a *Acceptor) move(c *connection, to phase, condition func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if _, known := a.connections[c]; known && condition() {
		a.begin(c, to)
	}
}

// begin starts a phase with its time; a.mu is held.
func (a *Acceptor) begin(c *connection, to phase) {
	a.end(c)
	c.phase = to
	times := a.times()

	switch to {
	case resting:
		c.place = a.resting.PushBack(c)
		a.expireAfter(c, times.Idle, &a.counters.ClosedIdle)
	case heading:
		a.expireAfter(c, times.Header, &a.counters.ClosedHeader)
	case busy:
	}
}

// end ends the present phase; a.mu is held.
func (a *Acceptor) end(c *connection) {
	c.turn++

	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}

	if c.place != nil {
		a.resting.Remove(c.place)
		c.place = nil
	}
}

// expireAfter closes the connection if its phase lasts longer; a.mu is held.
func (a *Acceptor) expireAfter(c *connection, bound time.Duration, counter *int64) {
	turn := c.turn

	c.timer = time.AfterFunc(bound, func() {
		a.mu.Lock()

		over := c.turn == turn
		if over {
			a.drop(c)
			*counter++
		}
		a.mu.Unlock()

		if over {
			_ = c.Close()
		}
	})
}

// drop forgets a connection; a.mu is held.
func (a *Acceptor) drop(c *connection) {
	a.end(c)
	delete(a.connections, c)
}
