package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against engines that process a tenth of the prompts twice under overload: requests are queued at a busy engine
// for longer than their attempt timeout. The timeout must apply to the activity of the whole upstream, not to one
// request.
func TestRequestQueuedAtABusyUpstreamIsNotLost(t *testing.T) {
	v := newActivityTracker()
	start := time.Now()

	v.recordActivity("busy", start.Add(1900*time.Millisecond))
	v.recordResponse("busy", start.Add(-time.Second), start.Add(1800*time.Millisecond), 0)

	assert.Assert(t, !v.isLost("busy", start, start.Add(2*time.Second), 1, time.Second))
	assert.Assert(t, v.isLost("busy", start, start.Add(3*time.Second), 1, time.Second))
	assert.Assert(t, v.isLost("unheard", start, start.Add(2*time.Second), 1, time.Second))
}

// Guards against a request that waits until its deadline because the upstream dropped it silently but responds to all
// others.
func TestOvertakenRequestIsLost(t *testing.T) {
	v := newActivityTracker()
	start := time.Now()
	now := start.Add(2 * time.Second)

	for i := range overtakeThreshold {
		assert.Assert(t, !v.isLost("u", start, now, 1, time.Second) || i == 0)
		// Requests of a more urgent priority are always served first, so they don't count.
		v.recordResponse("u", start.Add(time.Millisecond), now, 0)
		v.recordResponse("u", start.Add(time.Millisecond), now, 1)
	}

	assert.Assert(t, v.isLost("u", start, now, 1, time.Second))
}

func TestWatchdogCancelsAnAttemptOnlyWhenItIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		ctx, watch := newWatchdog(context.Background())
		defer watch.stop()

		watch.start(time.Second, 0, func(time.Duration) bool { return time.Since(begun) > 3500*time.Millisecond })
		<-ctx.Done()

		assert.Equal(t, context.Cause(ctx), errAttemptTimeout)
		assert.Equal(t, time.Since(begun), 4*time.Second)
	})
}

func TestActivityResetsTheWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, watch := newWatchdog(context.Background())
		watch.start(time.Second, 0, func(time.Duration) bool { return true })

		for range 5 {
			time.Sleep(900 * time.Millisecond)
			watch.suspend()
			watch.resume()
		}

		assert.NilError(t, ctx.Err())
		watch.stop()
		assert.Equal(t, context.Cause(ctx), context.Canceled)
	})
}
