package dialer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/dialer"
)

// pauseFirstDial makes the process stand still during the first direct connect: it ends by its deadline, as the connection that
// was made in time isn't noticed before.
func pauseFirstDial(d *dialer.Dialer) {
	var paused atomic.Int64

	dial := d.DialContext
	d.Paused = func() time.Duration { return time.Duration(paused.Load()) }
	d.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if !paused.CompareAndSwap(0, int64(600*time.Millisecond)) {
			return dial(ctx, network, address)
		}

		<-ctx.Done()

		return nil, ctx.Err()
	}
}

// Guards against an upstream that is reported as unreachable, and counts as crashed, because the node stood still while it
// connected.
func TestPauseIsNoEvidenceAgainstAnUpstream(t *testing.T) {
	for name, peers := range map[string][]string{"alone": nil, "no peer helps": {"near"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, d := newNetwork(peers, nil)
				defer closeAll(d)

				n.setPeers(wayUnavailable, "near")
				pauseFirstDial(d)

				_, err := ask(d, "a")
				assert.NilError(t, err)
				assert.Equal(t, d.PathCounters().Unreachable, int64(0))
			})
		})
	}

	synctest.Test(t, func(t *testing.T) {
		_, d := newNetwork(nil, nil)
		defer closeAll(d)

		pauseFirstDial(d)

		// The check has a deadline of its own, which is over with the pause.
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()

		down, _, err := d.IsDown(ctx, upstreamOf("a"))
		assert.Assert(t, !down && err != nil)
	})
}

// Guards against a node that takes its paths for lost, closes its idle connections and goes through peers because it stood still
// while it connected.
func TestPauseIsNoLostPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, d := newNetwork([]string{"near"}, nil)
		defer closeAll(d)

		pauseFirstDial(d)

		_, err := ask(d, "a")
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, d.PathCounters().Losses, int64(0))
	})
}

// Guards against a node that stood still and tells a peer that an upstream is down.
func TestPauseOfAPeerIsNoEvidenceAgainstAnUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, d := newNetwork(nil, nil)
		defer closeAll(d)

		pauseFirstDial(d)

		_, err := d.OpenForPeer(t.Context(), upstreamOf("a"))
		assert.Assert(t, errors.Is(err, dialer.ErrPathLost), "%v", err)
	})
}
