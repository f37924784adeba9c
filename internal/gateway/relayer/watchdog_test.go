package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowReplacement finds another attempt after a time.
type slowReplacement struct {
	after                     time.Duration
	searches, found, discards int
}

// find implements replacement.
func (r *slowReplacement) find(ctx context.Context) bool {
	r.searches++

	select {
	case <-ctx.Done():
		return false
	case <-time.After(r.after):
		r.found++

		return true
	}
}

// discard implements replacement.
func (r *slowReplacement) discard() { r.discards++ }

// Guards against a stream that is broken off although its upstream went on while another one was searched for.
func TestActivityEndsTheSearchForAReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replacement := &slowReplacement{after: 500 * time.Millisecond}
		ctx, watch := newWatchdog(context.Background())
		watch.replacement = replacement
		watch.start(time.Second, 0, func(time.Duration) bool { return true })

		time.Sleep(1200 * time.Millisecond)
		watch.suspend()
		watch.resume()
		time.Sleep(900 * time.Millisecond)
		assert.NilError(t, ctx.Err())

		watch.stop()
		assert.Equal(t, replacement.searches, 1)
		assert.Equal(t, replacement.found, replacement.discards)
	})
}

// Guards against a search, and what it reserved, that outlives its attempt.
func TestStopWaitsForTheSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replacement := &slowReplacement{after: time.Hour}
		ctx, watch := newWatchdog(context.Background())
		watch.replacement = replacement
		watch.start(time.Second, 0, func(time.Duration) bool { return true })

		time.Sleep(2 * time.Second)
		watch.stop()
		assert.Equal(t, context.Cause(ctx), context.Canceled)
		assert.Equal(t, replacement.searches, 1)
		assert.Equal(t, replacement.found, replacement.discards)
	})
}

// Guards against an attempt that is cancelled before another one can be made.
func TestLostAttemptIsCancelledOnceAReplacementIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		replacement := &slowReplacement{after: 500 * time.Millisecond}
		ctx, watch := newWatchdog(context.Background())
		defer watch.stop()

		watch.replacement = replacement
		watch.start(time.Second, 0, func(time.Duration) bool { return true })
		<-ctx.Done()

		assert.Equal(t, context.Cause(ctx), errAttemptTimeout)
		assert.Equal(t, time.Since(begun), 1500*time.Millisecond)
		assert.Equal(t, replacement.discards, 0)
	})
}

// noReplacement never finds another attempt.
type noReplacement struct{ searches int }

// find implements replacement.
func (r *noReplacement) find(context.Context) bool {
	r.searches++

	return false
}

// discard implements replacement.
func (*noReplacement) discard() {}

// Guards against nodes that ask each other all the time for requests whose upstreams are silent for long, and against an
// upstream that went on and is found silent late.
func TestSearchesForAReplacementBecomeRarer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replacement := &noReplacement{}
		ctx, watch := newWatchdog(context.Background())
		defer watch.stop()

		watch.replacement = replacement
		watch.start(time.Second, 0, func(time.Duration) bool { return true })

		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.NilError(t, ctx.Err())
		assert.Equal(t, replacement.searches, 3)

		watch.suspend()
		watch.resume()
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, replacement.searches, 4)
	})
}

// Guards against upstreams that are taken for silent because the process stood still and could not read what they sent.
func TestPauseOfTheProcessIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		replacement := &slowReplacement{}
		ctx, watch := newWatchdog(context.Background())
		defer watch.stop()

		watch.replacement = replacement
		// Before the start, and from 0.5 to 1.1 s after it.
		watch.paused = func() time.Duration {
			if time.Since(begun) < 500*time.Millisecond {
				return time.Minute
			}

			return time.Minute + min(time.Since(begun)-500*time.Millisecond, 600*time.Millisecond)
		}

		var paused time.Duration

		watch.start(time.Second, time.Minute, func(p time.Duration) bool {
			paused = p

			return true
		})
		<-ctx.Done()

		assert.Equal(t, time.Since(begun), 1600*time.Millisecond)
		assert.Equal(t, paused, 600*time.Millisecond)
	})
}

// Guards against a caller who reads slowly and makes its upstream look silent.
func TestSuspendedWatchdogDoesNotSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		expired := make(chan time.Duration, 1)
		_, watch := newWatchdog(context.Background())
		defer watch.stop()

		watch.start(time.Second, 0, func(time.Duration) bool {
			expired <- time.Since(begun)

			return false
		})

		time.Sleep(900 * time.Millisecond)
		assert.Assert(t, watch.suspend())
		time.Sleep(time.Minute)
		watch.resume()

		assert.Equal(t, <-expired, time.Minute+1900*time.Millisecond)
	})
}
