package batcher

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against messages that overtake each other or wait longer than they may, and against one message each where they may wait.
func TestDelayedMessagesAreGatheredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var (
			mu      sync.Mutex
			batches [][]int
			sentAt  []time.Duration
		)

		start := time.Now()
		b := New(func(_ context.Context, _ string, batch []int) {
			mu.Lock()
			defer mu.Unlock()

			batches = append(batches, slices.Clone(batch))
			sentAt = append(sentAt, time.Since(start))
		})

		ctx, cancel := context.WithCancel(t.Context())
		go b.Run(ctx)

		const delay = 50 * time.Millisecond

		// Gathered until the first one is due.
		b.AddWithin("n", 1, delay)
		time.Sleep(30 * time.Millisecond)
		b.AddWithin("n", 2, delay)
		time.Sleep(70 * time.Millisecond)

		// A message that may not wait takes those before it along, and Hurry does too.
		b.AddWithin("n", 3, delay)
		b.Add("n", 4)
		time.Sleep(100 * time.Millisecond)
		b.AddWithin("n", 5, delay)
		b.Hurry("n")
		b.Hurry("other")
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()

		assert.DeepEqual(t, batches, [][]int{{1, 2}, {3, 4}, {5}})
		assert.DeepEqual(t, sentAt, []time.Duration{delay, 100*time.Millisecond + FlushInterval, 200*time.Millisecond + FlushInterval})
	})
}
