package leader_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a window that is missed since nobody was handed its report before the store lost it and its holder was killed.
func TestReportIsHandedOutBeforeItIsSent(t *testing.T) {
	runSimulation(t, func(t *testing.T, ctx context.Context) {
		c := newCluster("a", "b", "c")
		c.nameEras()

		for name, m := range c.machines {
			m.start(ctx, name+".0")
		}

		time.Sleep(window - time.Duration(time.Now().UnixNano()%int64(window)))

		loss := c.store.TakeCopy()
		holder := c.holder("a")

		for len(c.log.find("usage_reported")) == 0 {
			time.Sleep(10 * time.Millisecond)
		}

		holder.stop(true)
		c.store.Restore(loss, false)
		time.Sleep(2*window + reportDeadline)

		first, _, _ := strings.Cut(c.log.find("usage_reported")[0], `,"organisations"`)
		again := c.log.find(first)
		assert.Equal(t, len(again), 4, "closed and reported, twice: %v", again)
		assert.Assert(t, !strings.Contains(strings.Join(again, ""), `"withheld":true`), again)
	})
}
