package dialer

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// stagger is how long one way to an upstream may take before the next one is tried in parallel, as in RFC 8305. It is
	// longer than a connect within a region and shorter than the retransmission of a SYN.
	stagger = 100 * time.Millisecond
	// openTimeout bounds the opening of a connection over all ways. It is below the shortest time after which an attempt of a
	// request is given up, so that an upstream that isn't reached is reported.
	openTimeout = 380 * time.Millisecond
	// lostOpenTimeout applies instead if the direct path is known as lost: then peers that are slow are the only way.
	lostOpenTimeout = 800 * time.Millisecond
	// peerDialTimeout bounds a connect for a peer's tunnel, so that the peer learns its result within openTimeout.
	peerDialTimeout = 200 * time.Millisecond
	// maxPeers is the number of peers that are tried for one connection. Once maxPeerRefusals of them that reach other
	// upstreams did not reach this one, it counts as down.
	maxPeers        = 6
	maxPeerRefusals = 2
	// peersBeforeDirect is the number of peers that are tried before a direct path that is known as lost.
	peersBeforeDirect = 2
	// maxConcurrentWays is the number of ways that are tried at the same time for one connection.
	maxConcurrentWays = 3
)

// openResult is the result of opening a connection in one way.
type openResult struct {
	// peer is empty for the direct way.
	peer string
	conn *conn
	err  error
}

// opening is the opening of one connection to an upstream, by the first of several ways that succeeds.
type opening struct {
	dialer   *Dialer
	upstream Upstream
	// mark is from the beginning of the opening.
	mark pauseMark
	// ways are the ways that have not been tried, in order; an empty peer is the direct way.
	ways []string
	// peersAdded is true once ways has included the peers.
	peersAdded bool
	results    chan openResult
	pending    int
	// directTried is true once the direct way has been tried, directErr why it failed; nil while that isn't known.
	directTried bool
	directErr   error
	// refusals counts the peers that reach other upstreams but not this one.
	refusals int
	// limited is true if a way was not tried because of the connection limit.
	limited bool
	lastErr error
}

// openConn opens a new connection to the upstream, directly or through a peer. The error is marked with ErrPathLost if this
// node seems to be cut off from all upstreams and no peer says that the upstream is down.
func (d *Dialer) openConn(ctx context.Context, upstream Upstream) (*conn, error) {
	var (
		o   *opening
		c   *conn
		err error
	)

	// Nothing of the request has been sent, so that an opening may be tried again.
	for range 1 + maxReopenings {
		o = &opening{dialer: d, upstream: upstream, results: make(chan openResult, maxPeers+1), mark: d.markPause()}
		c, err = o.open(ctx)

		if err == nil || ctx.Err() != nil || !o.mark.isInconclusive(err) {
			break
		}
	}

	if err != nil {
		if ctx.Err() == nil {
			err = o.recordDown(err)
		}

		return nil, errors.Wrapf(err, "connect to upstream %s", upstream.ID)
	}

	d.mu.Lock()
	d.opened++
	d.mu.Unlock()

	return c, nil
}

// open tries the ways to the upstream within the time for them.
func (o *opening) open(ctx context.Context) (*conn, error) {
	timeout := openTimeout

	if o.dialer.Detour != nil && o.dialer.paths.isLost(o.upstream.ID, time.Now()) {
		timeout = lostOpenTimeout

		o.addPeers()
		o.ways = slices.Insert(o.ways, min(len(o.ways), peersBeforeDirect), "")
	} else {
		o.ways = []string{""}
	}

	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	return o.run(limited)
}

// addPeers adds the ways through peers.
func (o *opening) addPeers() {
	o.peersAdded = true

	if o.dialer.Detour == nil {
		return
	}

	near, far := o.dialer.Detour.Peers()
	o.ways = append(o.ways, o.dialer.paths.peers(o.upstream.ID, near, far, time.Now())...)
}

// run tries the ways one after the other, the next one when the former fails or takes longer than stagger.
func (o *opening) run(ctx context.Context) (*conn, error) {
	defer o.finishPending()

	timer := time.NewTimer(stagger)
	defer timer.Stop()

	o.tryNext(ctx)

	for {
		select {
		case result := <-o.results:
			o.pending--

			if result.err == nil {
				o.recordSuccess(&result)

				return result.conn, nil
			}

			o.recordFailure(ctx, &result)
			o.tryNext(ctx)

			if o.pending == 0 || o.isDown() {
				return nil, o.failure(ctx)
			}

			timer.Reset(stagger)
		case <-timer.C:
			o.tryNext(ctx)
			timer.Reset(stagger)
		case <-ctx.Done():
			return nil, o.failure(ctx)
		}
	}
}

// tryNext starts the next way, if there is one and not too many are in progress.
func (o *opening) tryNext(ctx context.Context) {
	if len(o.ways) == 0 && !o.peersAdded {
		o.addPeers()
	}

	if o.refusals >= maxPeerRefusals {
		o.dropPeers()
	}

	if len(o.ways) == 0 || o.pending >= maxConcurrentWays {
		return
	}

	peer := o.ways[0]
	o.ways = o.ways[1:]
	o.pending++
	o.directTried = o.directTried || peer == ""

	go func() { o.results <- o.dialer.openWay(ctx, peer, o.upstream) }()
}

// isDown reports whether neither this node nor enough peers reached the upstream.
func (o *opening) isDown() bool {
	return o.directErr != nil && o.refusals >= maxPeerRefusals
}

// dropPeers drops the ways through peers.
func (o *opening) dropPeers() {
	o.ways = nil

	if !o.directTried {
		o.ways = []string{""}
	}
}

// openWay opens a connection in one way; an empty peer is the direct one.
func (d *Dialer) openWay(ctx context.Context, peer string, upstream Upstream) openResult {
	if !d.reserve() {
		return openResult{peer: peer, err: ErrTooManyConnections}
	}

	var (
		tcp net.Conn
		err error
	)

	if peer == "" {
		tcp, err = d.DialContext(ctx, "tcp", upstream.Address)
	} else {
		tcp, err = d.Detour.Connect(ctx, peer, upstream)
	}

	if err != nil {
		d.release()

		return openResult{peer: peer, err: err}
	}

	return openResult{peer: peer, conn: d.newConn(tcp, peer)}
}

func (o *opening) recordSuccess(result *openResult) {
	if result.peer == "" {
		o.dialer.recordDirect(o.upstream.ID, true)

		return
	}

	if o.directTried && o.directErr == nil {
		// A direct connection may have been made while the process stood still.
		if o.mark.stoodStill() {
			return
		}

		o.directErr = errNoConnectInTime
		o.dialer.recordDirect(o.upstream.ID, false)
	}

	o.dialer.recordTunnel(o.upstream, result.peer, o.directErr)
}

func (o *opening) recordFailure(ctx context.Context, result *openResult) {
	o.lastErr = result.err

	switch {
	case ctx.Err() != nil:
	case errors.Is(result.err, ErrTooManyConnections):
		o.limited = true
	case result.peer == "" && o.mark.isInconclusive(result.err):
	case result.peer == "":
		o.directErr = result.err
		o.dialer.recordDirect(o.upstream.ID, false)
	default:
		o.dialer.paths.recordPeerFailure(result.peer, time.Now(), result.err)

		if !errors.Is(result.err, ErrPeerUnavailable) {
			o.refusals++
		}
	}
}

// failure returns why no way succeeded.
func (o *opening) failure(ctx context.Context) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return ctx.Err()
	case o.limited:
		return ErrTooManyConnections
	case o.directErr != nil:
		return o.directErr
	case o.lastErr == nil, o.directTried && ctx.Err() != nil:
		return errNoConnectInTime
	default:
		return o.lastErr
	}
}

// recordDown records that the upstream was reached in no way, and marks the error if that is no evidence against it.
func (o *opening) recordDown(err error) error {
	if errors.Is(err, ErrTooManyConnections) {
		return err
	}

	if o.mark.isInconclusive(err) {
		return errors.Mark(err, ErrPathLost)
	}

	if o.directTried && o.directErr == nil {
		o.dialer.recordDirect(o.upstream.ID, false)
	}

	now := time.Now()
	if o.refusals == 0 && o.peersAdded && o.dialer.paths.isAllLost(now) {
		return errors.Mark(err, ErrPathLost)
	}

	o.dialer.paths.recordDown(o.upstream.ID, now, o.refusals > 0)

	return err
}

// finishPending closes the connections of ways that succeed after another one, or too late. A direct connection is kept, as
// it shows that the path works.
func (o *opening) finishPending() {
	if o.pending == 0 {
		return
	}

	go func() {
		for range o.pending {
			result := <-o.results

			switch {
			case result.err != nil:
			case result.peer == "":
				o.dialer.recordDirect(o.upstream.ID, true)
				o.dialer.keepIdle(o.upstream.ID, result.conn, defaultIdleTimeout)
			default:
				_ = result.conn.Close()
			}
		}
	}()
}

// recordDirect records the result of a direct connection attempt. Connections through peers are not reused once the direct
// path works, as they burden the peers.
func (d *Dialer) recordDirect(id string, reached bool) {
	if d.paths.recordDirect(id, reached) {
		d.closeIdle(func(owner string, c *conn) bool { return owner == id && c.peer != "" })
	}
}

// recordTunnel records that a peer reached the upstream. Idle direct connections may lead nowhere without an error, so they
// are closed if this node's path is lost.
func (d *Dialer) recordTunnel(upstream Upstream, peer string, reason error) {
	if !d.paths.recordTunnel(upstream, peer, reason) {
		return
	}

	all := d.paths.isAllLost(time.Now())
	d.closeIdle(func(owner string, c *conn) bool { return c.peer == "" && (all || owner == upstream.ID) })
}
