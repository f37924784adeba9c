package forwarder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/forwarder"
)

// Symptom: a contract review ends as no_upstream though every engine works.
// Events: engines set the review aside for crew answers, one after the other, for longer than its gap limit.
// Cause: an answer set aside sends no bytes, and counted as a dead connection at once.
func TestGapReaderExtendsWhileUpstreamTalks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		talks := 3
		reader := forwarder.NewGapReader(forwarder.GapLimits{
			First: 4 * time.Second,
			Next:  time.Second,
			Extend: func() bool {
				talks--

				return talks > 0
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
