// Package dialer sends HTTP/1.1 requests to upstreams over a pool of persistent
// connections, and reports whether a failed request may have reached the upstream.
//
// It manages its own connections because the retries of the net/http client can't
// be disabled: when a reused connection breaks, the client resends a GET by itself,
// and it takes a late duplicate response for the response to the next request.
// net/http still encodes the requests and parses the responses.
package dialer

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/breakdetector"
	"quincepath.example/quincepath/internal/headreader"
)

const (
	// dialTimeout bounds a TCP connect. Within a region a connect takes a few milliseconds; a lost SYN is only
	// retransmitted after a second.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout bounds the timeout from a Keep-Alive header. In a large fleet, many seconds pass between the
	// requests of one node to one upstream; a shorter bound would force a new connection for most of them.
	maxIdleTimeout = 30 * time.Second
	// tunnelIdleTimeout is how long an idle connection through a peer is kept. Few nodes may carry the connections of many, and
	// each takes two places there.
	tunnelIdleTimeout = 2 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 48
	// bufferBytes is the size of a connection's read buffer and of its write buffer.
	bufferBytes = 4 << 10
	// maxInlineBodyBytes is the largest request body that is written before the response is read; a larger one is
	// written concurrently.
	maxInlineBodyBytes = 2 << 10
	// maxStaleResponses bounds the skipped responses to earlier requests on a connection.
	maxStaleResponses = 2
	// maxStaleResponseBytes bounds the body of a skipped response.
	maxStaleResponseBytes = 256 << 10
	// defaultHeadMemory is the number of bytes that long response heads may take together.
	defaultHeadMemory = 4 << 20
)

var (
	// ErrNotSent marks failures before any byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrTooManyConnections is returned when the process has reached its connection limit and none is idle.
	ErrTooManyConnections = errors.New("connection limit reached: all connections to upstreams are in use")
	// ErrConnectionLost marks failures after which the upstream may have run the request.
	ErrConnectionLost = errors.New("connection to the upstream was lost")
)

// Upstream identifies the server that a request is sent to.
type Upstream struct {
	// ID distinguishes upstreams that used the same address one after the other.
	ID      string
	Address string
}

// Dialer manages the connections to upstreams. It is safe for concurrent use.
//
// Lock order: only Dialer.mu, which is not held during I/O.
type Dialer struct {
	// DialContext opens TCP connections to upstreams. It must not be changed once the Dialer is in use.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Detour reaches upstreams that this node doesn't reach itself; nil means that there is no other way. It must not be
	// changed once the Dialer is in use.
	Detour Detour
	// Paused returns for how long the process has stood still since its start; nil means that it never did. It must not be changed
	// once the Dialer is in use.
	Paused func() time.Duration
	// HeadMemory is the memory that long response heads may take together. It must not be changed once the Dialer is in use.
	HeadMemory *headreader.Memory
	// direct opens TCP connections; DialContext may be replaced.
	direct *net.Dialer
	// paths is what is known of the ways to upstreams.
	paths *paths
	// maxOpen is the maximum number of connections, including those being established.
	maxOpen int

	mu   sync.Mutex
	idle map[string][]*conn
	// open is the current number of connections, at most maxOpen.
	open int
	// opened counts established connections, reused the requests sent on an idle one.
	opened, reused int64
}

// Counters are connection statistics: Opened and Reused count since the start, Idle and Open are current numbers.
type Counters struct {
	Opened int64 `json:"opened"`
	Reused int64 `json:"reused"`
	Idle   int64 `json:"idle"`
	Open   int64 `json:"open"`
}

type conn struct {
	net.Conn
	dialer *Dialer
	// peer carries the connection; empty for a direct one.
	peer        string
	releaseOnce sync.Once
	// head bounds the response heads that reader reads from the connection.
	head   *headreader.Reader
	reader *bufio.Reader
	// idleUntil is when the idle connection must no longer be reused, as the upstream may close it.
	idleUntil time.Time
	// breaks reads and writes a direct connection. Through a peer, frames tell the end of the stream.
	breaks breakdetector.Detector
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.peer != "" {
		return c.Conn.Read(p)
	}

	return c.breaks.Read(c.Conn, p)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.peer != "" {
		return c.Conn.Write(p)
	}

	return c.breaks.Write(c.Conn, p)
}

// Close implements net.Conn and releases the connection's place under maxOpen.
func (c *conn) Close() error {
	c.releaseOnce.Do(c.dialer.release)

	return c.Conn.Close()
}

// newConn returns a connection that a peer carries, or a direct one if peer is empty.
func (d *Dialer) newConn(raw net.Conn, peer string) *conn {
	c := &conn{Conn: raw, dialer: d, peer: peer}
	c.head = headreader.New(c, headreader.MaxBytes, d.HeadMemory)
	c.reader = bufio.NewReaderSize(c.head, bufferBytes)

	return c
}

// buffered returns the number of received bytes that were not read.
func (c *conn) buffered() int {
	buffered := c.reader.Buffered()
	if tunnel, ok := c.Conn.(interface{ Buffered() int }); ok {
		buffered += tunnel.Buffered()
	}

	return buffered
}

// New returns a dialer that opens at most maxOpen connections.
func New(maxOpen int) *Dialer {
	direct := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig(exchangeProbes), Control: controlSocket}

	return &Dialer{
		DialContext: direct.DialContext,
		HeadMemory:  headreader.NewMemory(defaultHeadMemory),
		direct:      direct,
		paths:       newPaths(),
		maxOpen:     maxOpen,
		idle:        make(map[string][]*conn),
	}
}

// SetLogger sets where changes of paths are logged. It must not be called once the Dialer is in use.
func (d *Dialer) SetLogger(logger zerolog.Logger) {
	d.paths.logger = logger.Sample(&zerolog.BurstSampler{Burst: maxPathLogsPerSecond, Period: time.Second})
}

// DialPeer opens a connection to a peer, with the same detection of broken connections as to upstreams.
func (d *Dialer) DialPeer(ctx context.Context, address string) (net.Conn, error) {
	return d.direct.DialContext(ctx, "tcp", address)
}

// DetectBreaks makes a connection that was accepted detect a broken path like those to upstreams.
func (d *Dialer) DetectBreaks(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}

	// A connection without these options only takes longer to be found broken.
	_ = tcp.SetKeepAliveConfig(d.direct.KeepAliveConfig)

	if raw, err := tcp.SyscallConn(); err == nil {
		_ = d.direct.Control("", "", raw)
	}
}

// PathCounters returns the statistics of the ways to upstreams.
func (d *Dialer) PathCounters() PathCounters {
	return d.paths.snapshot()
}

// Counters returns the connection statistics.
func (d *Dialer) Counters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()

	counters := Counters{Opened: d.opened, Reused: d.reused, Open: int64(d.open)}
	for _, conns := range d.idle {
		counters.Idle += int64(len(conns))
	}

	return counters
}

// Exchange sends the request and reads the response header. Cancelling ctx aborts the exchange,
// also while the response body is read. Errors are marked with ErrNotSent or ErrConnectionLost.
func (d *Dialer) Exchange(ctx context.Context, upstream Upstream, request *Request) (*Response, error) {
	c, err := d.getConn(ctx, upstream)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}

	stopWatching := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })

	response, err := d.exchange(c, request)
	if err != nil {
		c.head.Release()
		stopWatching()
		_ = c.Close()

		if errors.Is(err, ErrNotSent) {
			return nil, err
		}

		return nil, errors.Mark(err, ErrConnectionLost)
	}

	response.conn, response.dialer, response.upstream, response.stopWatching = c, d, upstream, stopWatching
	response.Body = &bodyReader{response: response, body: response.Body}

	return response, nil
}

func (d *Dialer) exchange(c *conn, request *Request) (*Response, error) {
	outgoing, err := request.httpRequest()
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}

	written := make(chan error, 1)
	fullyWritten := func() bool {
		select {
		case err := <-written:
			written <- err

			return err == nil
		default:
			return false
		}
	}

	if len(request.Body) <= maxInlineBodyBytes {
		written <- writeRequest(c, outgoing)
		if !fullyWritten() {
			return nil, errors.Wrap(<-written, "send request")
		}
	} else {
		// The upstream may respond before it has read the whole body; writing first would block both ends when the
		// TCP window is full.
		go func() { written <- writeRequest(c, outgoing) }()
	}

	response, err := c.readResponse(outgoing, request) //nolint:bodyclose // Response.Close closes or reuses the connection.
	if err != nil {
		return nil, err
	}

	if c.peer == "" {
		d.paths.recordAnswer()
	}

	return &Response{Response: response, requestPending: func() bool { return !fullyWritten() }}, nil
}

// getConn returns an idle connection that is still usable, or opens a new one.
func (d *Dialer) getConn(ctx context.Context, upstream Upstream) (*conn, error) {
	for {
		c := d.popIdle(upstream.ID)
		if c == nil {
			break
		}

		if time.Now().Before(c.idleUntil) && c.buffered() == 0 && isIdle(c.Conn) && limitProbes(c.Conn, exchangeProbes) == nil {
			d.mu.Lock()
			d.reused++
			d.mu.Unlock()

			return c, nil
		}

		_ = c.Close()
	}

	return d.openConn(ctx, upstream)
}

// IsDown reports whether the upstream accepts no new connection, neither from this node nor from peers, or an error if that
// can't be determined. silent is set if it refuses none either, as while it is only silent. It opens a new connection because an
// idle one doesn't show that an upstream lost power.
func (d *Dialer) IsDown(ctx context.Context, upstream Upstream) (down, silent bool, err error) {
	mark := d.markPause()
	c, err := d.openConn(ctx, upstream)

	switch {
	case err == nil:
		d.keepIdle(upstream.ID, c, defaultIdleTimeout)

		return false, false, nil
	case mark.isInconclusive(err):
		return false, false, err
	case errors.Is(err, ErrTooManyConnections), errors.Is(err, ErrPathLost), errors.Is(err, context.Canceled):
		return false, false, err
	default:
		return true, isTimeout(err), nil
	}
}

// reserve reserves a place for a new connection, evicting an idle one at the limit. Without a limit,
// a process that runs out of file descriptors could reach neither its peers nor the store.
func (d *Dialer) reserve() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.open >= d.maxOpen && !d.evictIdle() {
		return false
	}

	d.open++

	return true
}

// evictIdle closes one idle connection and releases its place, and reports whether there was one. The caller
// holds d.mu.
func (d *Dialer) evictIdle() bool {
	for id, conns := range d.idle {
		if len(conns) == 0 {
			continue
		}

		victim := conns[0]
		d.idle[id] = conns[1:]
		d.open--
		victim.releaseOnce.Do(func() {})

		go func() { _ = victim.Conn.Close() }()

		return true
	}

	return false
}

func (d *Dialer) release() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.open--
}

func (d *Dialer) popIdle(id string) *conn {
	d.mu.Lock()
	defer d.mu.Unlock()

	conns := d.idle[id]
	if len(conns) == 0 {
		return nil
	}

	last := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	d.idle[id] = conns[:len(conns)-1]

	return last
}

// keepIdle makes a connection available to other requests for the given time.
func (d *Dialer) keepIdle(id string, c *conn, timeout time.Duration) {
	if c.peer != "" {
		timeout = min(timeout, tunnelIdleTimeout)
	}

	c.idleUntil = time.Now().Add(timeout)
	d.putIdle(id, c)
}

func (d *Dialer) putIdle(id string, c *conn) {
	if limitProbes(c.Conn, idleProbes) != nil {
		_ = c.Close()

		return
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	if len(d.idle[id]) >= maxIdlePerUpstream {
		go func() { _ = c.Close() }()

		return
	}

	d.idle[id] = append(d.idle[id], c)
}

// CloseStale closes the idle connections that have expired, those to upstreams that are no longer listed, and those through
// peers that are gone or leaving.
func (d *Dialer) CloseStale(listed func(id string) bool) {
	now := time.Now()
	carriers := d.carriers()

	d.closeIdle(func(id string, c *conn) bool {
		return !listed(id) || !now.Before(c.idleUntil) || c.peer != "" && !carriers[c.peer]
	})
	d.paths.forgetUnlisted(listed, now)
}

// carriers returns the peers that may carry connections.
func (d *Dialer) carriers() map[string]bool {
	carriers := make(map[string]bool)

	if d.Detour != nil && d.paths.snapshot().Lost > 0 {
		near, far := d.Detour.Peers()
		for _, peer := range slices.Concat(near, far) {
			carriers[peer] = true
		}
	}

	return carriers
}

// closeIdle closes the idle connections for which isStale returns true.
func (d *Dialer) closeIdle(isStale func(id string, c *conn) bool) {
	var stale []*conn

	d.mu.Lock()
	for id, conns := range d.idle {
		remaining := conns[:0]

		for _, c := range conns {
			if isStale(id, c) {
				stale = append(stale, c)
			} else {
				remaining = append(remaining, c)
			}
		}

		clear(conns[len(remaining):])
		d.idle[id] = remaining

		if len(remaining) == 0 {
			delete(d.idle, id)
		}
	}
	d.mu.Unlock()

	for _, c := range stale {
		_ = c.Close()
	}
}
