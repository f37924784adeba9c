package leader_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a second report of a window, where the store names no eras, by a holder that is cut off from the node that remembers the
// first one. That one isn't gone.
func TestHolderThatIsCutOffDoesNotReportAnew(t *testing.T) {
	runSimulation(t, func(t *testing.T, ctx context.Context) {
		c := newCluster("a", "b", "c")
		one, other := c.machines["a"], c.machines["c"]
		one.abstains, c.machines["b"].abstains = true, true

		for name, m := range c.machines {
			m.start(ctx, name+".0")
		}

		pass := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				c.countRequests("a", "shop", 1)
				c.countRequests("c", "shop", 1)
			}
		}
		cut := func(until *time.Time, d time.Duration) {
			c.mu.Lock()
			defer c.mu.Unlock()

			*until = time.Now().Add(d)
		}

		// The other one learns the true time as the first holder, and loses the duties.
		pass(8 * time.Second)
		one.setAbstains(false)
		other.setAbstains(true)
		cut(&other.storeCut, 4*time.Second)
		pass(14 * time.Second)

		pass(window - time.Duration(time.Now().UnixNano()%int64(window)))
		cut(&other.peersCut, time.Minute)
		// The window is closed without what the other one has.
		pass(5500 * time.Millisecond)

		loss := c.store.TakeCopy()

		pass(1500 * time.Millisecond)

		one.stop(true)
		c.store.Restore(loss, false)

		other.setAbstains(false)

		pass(30 * time.Second)

		assert.DeepEqual(t, c.checker.violations, []string(nil))
	})
}
