package dialer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

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
	mark := d.markPause()

	result := d.openWay(ctx, "", upstream)
	if result.err != nil {
		if ctx.Err() == nil && !errors.Is(result.err, ErrTooManyConnections) && !mark.isInconclusive(result.err) {
			d.recordDirect(upstream.ID, false)
		}

		return false
	}

	d.recordDirect(upstream.ID, true)
	d.keepIdle(upstream.ID, result.conn, defaultIdleTimeout)

	return true
}

// breakCheck is a check of the paths to an upstream after an exchange broke.
type breakCheck struct {
	started time.Time
	// done is closed when lost is set.
	done chan struct{}
	lost bool
}

func (c *breakCheck) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// startBreakCheck returns the check that applies to an exchange that broke now, and true if the caller is to carry it out.
func (p *paths) startBreakCheck(id string, now time.Time) (*breakCheck, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if check := p.broken[id]; check != nil && (!check.isDone() || now.Sub(check.started) < breakCheckInterval) {
		return check, false
	}

	check := &breakCheck{started: now, done: make(chan struct{})}
	p.broken[id] = check

	return check, true
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
// reaches the upstream only through others, or stood still meanwhile.
func (d *Dialer) OpenForPeer(ctx context.Context, upstream Upstream) (net.Conn, error) {
	if d.paths.isLost(upstream.ID, time.Now()) {
		return nil, ErrPathLost
	}

	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()

	mark := d.markPause()

	// The peer's connection takes a place as well.
	if !d.reserve() {
		return nil, ErrTooManyConnections
	}

	result := d.openWay(ctx, "", upstream)
	if result.err != nil {
		d.release()

		if mark.isInconclusive(result.err) {
			return nil, errors.Mark(result.err, ErrPathLost)
		}

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
