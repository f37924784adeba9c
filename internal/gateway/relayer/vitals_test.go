package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: under overload a tenth of the requests are read twice by engines.
// Sequence: requests wait for their turn at a busy engine longer than their attempt timeout.
// Cause: the timeout was for one request; now its whole upstream must be silent.
func TestWaitingAtABusyUpstreamIsNotLost(t *testing.T) {
	v := newVitals()
	start := time.Now()

	v.seen("busy", start.Add(1900*time.Millisecond))
	v.answered("busy", start.Add(-time.Second), start.Add(1800*time.Millisecond), 0)

	assert.Assert(t, !v.lost("busy", start, start.Add(2*time.Second), 1, time.Second))
	assert.Assert(t, v.lost("busy", start, start.Add(3*time.Second), 1, time.Second))
	assert.Assert(t, v.lost("unheard", start, start.Add(2*time.Second), 1, time.Second))
}

// Symptom: a request hangs until its caller's limit at an upstream that answers all others.
// Sequence: the upstream drops it without a word.
func TestOvertakenRequestIsLost(t *testing.T) {
	v := newVitals()
	start := time.Now()
	now := start.Add(2 * time.Second)

	for i := range overtakers {
		assert.Assert(t, !v.lost("u", start, now, 1, time.Second) || i == 0)
		// More urgent ones go first anyway and say nothing.
		v.answered("u", start.Add(time.Millisecond), now, 0)
		v.answered("u", start.Add(time.Millisecond), now, 1)
	}

	assert.Assert(t, v.lost("u", start, now, 1, time.Second))
}

func TestWatchEndsAnAttemptOnlyWhenItIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		ctx, watch := newWatch(context.Background())
		defer watch.stop()

		watch.arm(time.Second, func() bool { return time.Since(begun) > 3500*time.Millisecond })
		<-ctx.Done()

		assert.Equal(t, context.Cause(ctx), errSilent)
		assert.Equal(t, time.Since(begun), 4*time.Second)
	})
}

func TestSignsOfLifePutTheWatchOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, watch := newWatch(context.Background())
		watch.arm(time.Second, func() bool { return true })

		for range 5 {
			time.Sleep(900 * time.Millisecond)
			watch.rearm()
		}

		assert.NilError(t, ctx.Err())
		watch.stop()
		assert.Equal(t, context.Cause(ctx), context.Canceled)
	})
}
