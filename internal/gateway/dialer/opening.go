package dialer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
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
	o := &opening{dialer: d, upstream: upstream, results: make(chan openResult, maxPeers+1)}
	timeout := openTimeout

	if d.Detour != nil && d.paths.isLost(upstream.ID, time.Now()) {
		timeout = lostOpenTimeout

		o.addPeers()
		o.ways = slices.Insert(o.ways, min(len(o.ways), peersBeforeDirect), "")
	} else {
		o.ways = []string{""}
	}

	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	c, err := o.run(limited)
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

// Run checks until ctx is cancelled whether lost paths work again.
func (d *Dialer) Run(ctx context.Context) {
	for {
		select {
		case <-time.After(pathCheckInterval + rand.N(pathCheckInterval)):
		case <-ctx.Done():
			return
		}

		d.checkPaths(ctx)
	}
}

// checkPaths tries some of the lost paths.
func (d *Dialer) checkPaths(ctx context.Context) {
	var (
		checks  sync.WaitGroup
		mu      sync.Mutex
		healing bool
	)

	for _, upstream := range d.paths.nextChecks() {
		checks.Go(func() {
			if d.checkPath(ctx, upstream) {
				mu.Lock()
				defer mu.Unlock()

				healing = true
			}
		})
	}

	checks.Wait()
	d.paths.setHealing(healing)
}

// checkPath tries the direct path to an upstream and reports whether it works.
func (d *Dialer) checkPath(ctx context.Context, upstream Upstream) bool {
	result := d.openWay(ctx, "", upstream)
	if result.err != nil {
		if ctx.Err() == nil && !errors.Is(result.err, ErrTooManyConnections) {
			d.recordDirect(upstream.ID, false)
		}

		return false
	}

	d.recordDirect(upstream.ID, true)
	d.keepIdle(upstream.ID, result.conn, defaultIdleTimeout)

	return true
}

// IsPathLost reports whether this node can't reach the upstream itself while another node can. It is for exchanges that
// broke: such a break says nothing about the upstream.
func (d *Dialer) IsPathLost(ctx context.Context, upstream Upstream) bool {
	if d.Detour == nil {
		return false
	}

	check, isNew := d.paths.startBreakCheck(upstream.ID, time.Now())
	if isNew {
		go func() {
			defer close(check.done)

			// The result also applies to other requests.
			check.lost = d.isPathLost(context.WithoutCancel(ctx), upstream)
		}()
	}

	select {
	case <-check.done:
		return check.lost
	case <-ctx.Done():
		return false
	}
}

// isPathLost opens a connection to find out whether only a peer reaches the upstream.
func (d *Dialer) isPathLost(ctx context.Context, upstream Upstream) bool {
	c, err := d.openConn(ctx, upstream)
	if err != nil {
		return false
	}

	d.keepIdle(upstream.ID, c, defaultIdleTimeout)

	if c.peer == "" {
		return false
	}

	// An upstream that was just starting again refused the direct connection, and accepted the peer's.
	confirmCtx, cancel := context.WithTimeout(ctx, stagger)
	defer cancel()

	return !d.checkPath(confirmCtx, upstream)
}

// OpenForPeer opens a direct connection to the upstream for a peer's tunnel. It fails with ErrPathLost if this node itself
// reaches the upstream only through others.
func (d *Dialer) OpenForPeer(ctx context.Context, upstream Upstream) (net.Conn, error) {
	if d.paths.isLost(upstream.ID, time.Now()) {
		return nil, ErrPathLost
	}

	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()

	// The peer's connection takes a place as well.
	if !d.reserve() {
		return nil, ErrTooManyConnections
	}

	result := d.openWay(ctx, "", upstream)
	if result.err != nil {
		d.release()

		if !errors.Is(ctx.Err(), context.Canceled) && !errors.Is(result.err, ErrTooManyConnections) {
			d.recordDirect(upstream.ID, false)
		}

		return nil, result.err
	}

	d.recordDirect(upstream.ID, true)

	return &carriedConn{conn: result.conn}, nil
}

// carriedConn is a connection for a peer's tunnel. It takes two places, one of them for the peer's connection.
type carriedConn struct {
	*conn
	releaseOnce sync.Once
}

// Close implements net.Conn.
func (c *carriedConn) Close() error {
	c.releaseOnce.Do(c.dialer.release)

	return c.conn.Close()
}
