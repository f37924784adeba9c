// Package dialer exchanges requests and answers with upstreams over kept
// connections, and tells exactly what is known of a request that failed.
//
// The connections are its own, since the client of net/http can't be told never
// to send again: on a kept connection that breaks it repeats a GET by itself, and
// it takes a late second answer for that of the next request. Requests are
// written and answers read by net/http.
package dialer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds a connect. In one region it takes a few milliseconds; a lost first packet is sent again after a second.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the connection counts as
	// broken: a partition or a middlebox that forgot the connection shows no other way.
	userTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the pause between probes of a connection on which nothing is sent.
	keepAliveInterval = 500 * time.Millisecond
	// keepAliveCount is the number of probes without an answer after which it counts as broken.
	keepAliveCount = 3
	// idleTime is how long an idle connection is kept whose upstream doesn't tell when it closes it.
	idleTime = 4 * time.Second
	// mostIdleTime bounds the same where it tells. A node and an upstream of a large fleet meet once in many seconds;
	// a connection that was given up meanwhile must be made anew.
	mostIdleTime = 30 * time.Second
	// idleLimit bounds the idle connections to one upstream.
	idleLimit = 48
	// readBuffer is the buffer of a connection in bytes.
	readBuffer = 4 << 10
	// inlineBody is the largest body in bytes that is written before the answer is read.
	inlineBody = 2 << 10
	// strayAnswers bounds the answers to earlier requests that are skipped before one's own.
	strayAnswers = 2
	// strayBytes bounds the body of such an answer.
	strayBytes = 256 << 10
)

var (
	// ErrNotSent marks failures before any byte of the request can have left.
	ErrNotSent = errors.New("the request was not sent")
	// ErrTooManyConnections says that this process has as many connections as it may, and all are in use.
	ErrTooManyConnections = errors.New("all connections to upstreams are in use")
	// ErrConnectionLost marks failures after which the request may have run.
	ErrConnectionLost = errors.New("the connection to the upstream broke")
)

// Upstream is the upstream of one exchange.
type Upstream struct {
	// ID tells two upstreams apart that had the same address one after the other.
	ID      string
	Address string
}

// Dialer keeps connections to upstreams. It is safe for concurrent use.
//
// Lock order: Dialer.mu alone; it is not held during input or output.
type Dialer struct {
	dial net.Dialer
	// most is the largest number of connections, those that are being made included.
	most int

	mu   sync.Mutex
	idle map[string][]*conn
	// open counts connections; at most that many.
	open int
	// opened counts connections made, reused those used again.
	opened, reused int64
}

// Counters count connections since the start.
type Counters struct {
	Opened int64 `json:"opened"`
	Reused int64 `json:"reused"`
	Idle   int64 `json:"idle"`
	Open   int64 `json:"open"`
}

type conn struct {
	net.Conn
	dialer *Dialer
	closed sync.Once
	reader *bufio.Reader
	// until is when the upstream may close the idle connection.
	until time.Time
}

// Close implements net.Conn and frees the connection's place.
func (c *conn) Close() error {
	c.closed.Do(c.dialer.release)

	return c.Conn.Close()
}

// New returns a dialer without connections. It makes so many at most.
func New(most int) *Dialer {
	return &Dialer{
		most: most,
		dial: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveInterval,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
			Control: setUserTimeout,
		},
		idle: make(map[string][]*conn),
	}
}

// Counters returns the counts since the start.
func (d *Dialer) Counters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()

	counters := Counters{Opened: d.opened, Reused: d.reused, Open: int64(d.open)}
	for _, kept := range d.idle {
		counters.Idle += int64(len(kept))
	}

	return counters
}

// Exchange sends the request and reads the header of its answer. The exchange ends with ctx,
// also while the body is read. Errors wrap ErrNotSent or ErrBroken.
func (d *Dialer) Exchange(ctx context.Context, target Upstream, request *Request) (*Response, error) {
	c, err := d.connect(ctx, target)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}

	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })

	response, err := d.exchange(c, request)
	if err != nil {
		stop()
		_ = c.Close()

		if errors.Is(err, ErrNotSent) {
			return nil, err
		}

		return nil, errors.Mark(err, ErrConnectionLost)
	}

	response.conn, response.dialer, response.target, response.stop = c, d, target, stop
	response.Body = &bodyReader{response: response, body: response.Body}

	return response, nil
}

func (d *Dialer) exchange(c *conn, request *Request) (*Response, error) {
	outgoing, err := request.outgoing()
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}

	written := make(chan error, 1)
	done := func() bool {
		select {
		case err := <-written:
			written <- err

			return err == nil
		default:
			return false
		}
	}

	if len(request.Body) <= inlineBody {
		written <- writeRequest(c, outgoing)
		if !done() {
			return nil, errors.Wrap(<-written, "send request")
		}
	} else {
		// The upstream may answer before it has read all, and a full window would block both ends.
		go func() { written <- writeRequest(c, outgoing) }()
	}

	answer, err := readAnswer(c.reader, outgoing, request) //nolint:bodyclose // Response.Close ends the connection of the body.
	if err != nil {
		return nil, err
	}

	return &Response{Response: answer, unwritten: func() bool { return !done() }}, nil
}

// connect returns a kept connection that is still sound, or a new one.
func (d *Dialer) connect(ctx context.Context, target Upstream) (*conn, error) {
	for {
		kept := d.take(target.ID)
		if kept == nil {
			break
		}

		if time.Now().Before(kept.until) && kept.reader.Buffered() == 0 && quiet(kept.Conn) {
			d.mu.Lock()
			d.reused++
			d.mu.Unlock()

			return kept, nil
		}

		_ = kept.Close()
	}

	return d.makeConnection(ctx, target)
}

// makeConnection opens a new connection.
func (d *Dialer) makeConnection(ctx context.Context, target Upstream) (*conn, error) {
	if !d.reserve() {
		return nil, ErrTooManyConnections
	}

	raw, err := d.dial.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		d.release()

		return nil, errors.Wrapf(err, "connect to upstream %s", target.ID)
	}

	d.mu.Lock()
	d.opened++
	d.mu.Unlock()

	return &conn{Conn: raw, dialer: d, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// IsDown says whether the upstream takes no new connection. It returns false where that can't be found out. Kept
// connections tell nothing of an upstream that lost its power.
func (d *Dialer) IsDown(ctx context.Context, target Upstream) bool {
	c, err := d.makeConnection(ctx, target)

	switch {
	case err == nil:
		c.until = time.Now().Add(idleTime)
		d.keep(target.ID, c)

		return false
	case errors.Is(err, ErrTooManyConnections), errors.Is(err, context.Canceled):
		return false
	default:
		return true
	}
}

// reserve takes the place of a new connection; where there is none left, an idle one makes room. Without a bound
// a process that runs out of descriptors could reach neither its peers nor the store.
func (d *Dialer) reserve() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.open >= d.most && !d.closeIdle() {
		return false
	}

	d.open++

	return true
}

// closeIdle gives up one idle connection and its place; d.mu is held.
func (d *Dialer) closeIdle() bool {
	for id, kept := range d.idle {
		if len(kept) == 0 {
			continue
		}

		victim := kept[0]
		d.idle[id] = kept[1:]
		d.open--
		victim.closed.Do(func() {})

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

func (d *Dialer) take(id string) *conn {
	d.mu.Lock()
	defer d.mu.Unlock()

	kept := d.idle[id]
	if len(kept) == 0 {
		return nil
	}

	last := kept[len(kept)-1]
	kept[len(kept)-1] = nil
	d.idle[id] = kept[:len(kept)-1]

	return last
}

func (d *Dialer) keep(id string, c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if len(d.idle[id]) >= idleLimit {
		go func() { _ = c.Close() }()

		return
	}

	d.idle[id] = append(d.idle[id], c)
}

// CloseStale closes idle connections whose time is over and those to upstreams that aren't listed any more.
func (d *Dialer) CloseStale(listed func(id string) bool) {
	now := time.Now()

	var closing []*conn

	d.mu.Lock()
	for id, kept := range d.idle {
		left := kept[:0]

		for _, c := range kept {
			if listed(id) && now.Before(c.until) {
				left = append(left, c)
			} else {
				closing = append(closing, c)
			}
		}

		clear(kept[len(left):])
		d.idle[id] = left

		if len(left) == 0 {
			delete(d.idle, id)
		}
	}
	d.mu.Unlock()

	for _, c := range closing {
		_ = c.Close()
	}
}
