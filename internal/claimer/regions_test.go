package claimer_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/claimer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Symptom: a booking stands twice in the book after regions lost each other.
// Sequence: for an hour two regions hear nothing of each other and both reach the store; each takes the other's nodes
// for dead and itself for the holder of all shards; callers ask both for the same keys, at once and again.
// Cause: a node that nobody hears runs on. What it claimed is not to be run again, and its answer is to be had later.
func TestRegionsApartForAnHour(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		var sides []*claimer.Claimer

		for _, name := range []string{"a", "b"} {
			side, cancel := w.node(name, nil, nil)
			defer cancel()

			sides = append(sides, side)
		}

		for minute := range 60 {
			key := fmt.Sprintf("bath-%d", minute)
			handle, running := askBoth(t, sides, key)

			// While it runs, the other side can only say that it doesn't know.
			_, code := begin(t, sides[1-running], key, "bath")
			assert.Equal(t, code, classifier.OutcomeUnknown)
			assert.NilError(t, handle.Finish(t.Context(), ranOnce))

			for _, side := range sides {
				decision, code := begin(t, side, key, "bath")
				assert.Equal(t, code, classifier.OK)
				assert.DeepEqual(t, decision.Replay, &ranOnce)
			}

			time.Sleep(time.Minute)
		}
	})
}

// askBoth claims a key on both sides at once and returns the handle and the index of the one that may run it.
func askBoth(t *testing.T, sides []*claimer.Claimer, key string) (*claimer.Handle, int) {
	t.Helper()

	var (
		group   sync.WaitGroup
		handles [2]*claimer.Handle
	)

	for i, side := range sides {
		group.Go(func() {
			decision, _ := begin(t, side, key, "bath")
			handles[i] = decision.Handle
		})
	}

	group.Wait()
	assert.Assert(t, (handles[0] == nil) != (handles[1] == nil), "%s: exactly one side may run it", key)

	if handles[0] != nil {
		return handles[0], 0
	}

	return handles[1], 1
}
