package leader_test

import (
	"context"
	"testing"
	"time"
)

// Guards against a process that calls at once since it takes its term for the first one: the store returned from a copy that has no term,
// and the lost holder may still call.
func TestTermAfterALostFirstOneIsNotTheFirst(t *testing.T) {
	for after := 7 * time.Second; after < 13*time.Second; after += 100 * time.Millisecond {
		runSimulation(t, func(t *testing.T, ctx context.Context) {
			c := newCluster("a", "b", "c")
			c.nameEras()
			c.machines["c"].abstains = true
			c.machines["c"].start(ctx, "c.0")

			loss := c.store.TakeCopy()

			c.machines["a"].start(ctx, "a.0")
			time.Sleep(after)
			c.store.Restore(loss, false)
			c.machines["b"].start(ctx, "b.0")
			time.Sleep(2 * lease)

			c.mu.Lock()
			defer c.mu.Unlock()

			if len(c.checker.violations) > 0 {
				t.Errorf("the store returns after %s: %v", after, c.checker.violations)
			}
		})
	}
}
