package forwarder_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/forwarder"
)

// Guards against a request of a low tier that ends as no_upstream although all engines work: each engine in turn
// preempted its answer for longer than the gap limit, and an answer that sends no bytes was immediately treated as a
// dead connection.
func TestGapReader_ExtendsLimitWhileUpstreamIsActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		remainingExpiries := 3
		reader := forwarder.NewGapReader(forwarder.GapLimits{
			First: 4 * time.Second,
			Next:  time.Second,
			Extend: func() bool {
				remainingExpiries--

				return remainingExpiries > 0
			},
		}, nil, cancel)

		defer reader.Stop()

		time.Sleep(5900 * time.Millisecond)
		synctest.Wait()
		assert.Assert(t, !reader.Silent())

		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		assert.Assert(t, reader.Silent())
		assert.Assert(t, ctx.Err() != nil)
	})
}

// Guards against all answers of a node that end at once, though their bytes lie unread, because the node stood still for longer than
// the limit.
func TestGapReader_PauseIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())

		var paused atomic.Int64

		reader := forwarder.NewGapReader(forwarder.GapLimits{
			First: time.Second, Next: time.Second, Paused: func() time.Duration { return time.Duration(paused.Load()) },
		}, nil, cancel)

		defer reader.Stop()

		time.Sleep(500 * time.Millisecond)

		paused.Store(int64(600 * time.Millisecond))

		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		assert.Assert(t, !reader.Silent())

		// The silence counts without the pause.
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		assert.Assert(t, reader.Silent())
		assert.Assert(t, ctx.Err() != nil)
	})
}
