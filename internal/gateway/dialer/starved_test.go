package dialer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that wait for an upstream which is gone, because the node has little processor time: each opening spans a short
// pause, so that it is tried again and never held against the upstream.
func TestDarkUpstreamIsFoundByANodeWithShortPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, d := newNetwork(nil, nil)
		defer closeAll(d)

		var paused atomic.Int64

		d.Paused = func() time.Duration { return time.Duration(paused.Load()) }
		d.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			paused.Add(int64(100 * time.Millisecond))
			<-ctx.Done()

			return nil, ctx.Err()
		}

		began := time.Now()
		_, err := ask(d, "a")
		assert.Assert(t, err != nil)
		assert.Check(t, time.Since(began) < 700*time.Millisecond, "%s", time.Since(began))
		assert.Check(t, d.PathCounters().Unreachable == 1, "%+v", d.PathCounters())
	})
}
