package leader_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls that alternate between two holders within one lease, when planned stops move the duties back and forth.
func TestDutiesPassedToAndFro(t *testing.T) {
	runSimulation(t, func(t *testing.T, ctx context.Context) {
		c := newCluster("a", "b")
		c.machines["a"].start(ctx, "a.0")
		c.machines["b"].start(ctx, "b.0")

		for i := range 6 {
			machine := c.waitForOrder()
			machine.stop(false)
			machine.start(ctx, fmt.Sprintf("%s.%d", machine.name, i+1))
		}

		assert.DeepEqual(t, c.checker.violations, []string(nil))
	})
}

// waitForOrder waits for the next order that the platform receives, and returns its sender.
func (c *cluster) waitForOrder() *machine {
	orders := func() []receivedCall {
		c.mu.Lock()
		defer c.mu.Unlock()

		return c.checker.calls[orderSubject]
	}

	for before := len(orders()); ; time.Sleep(10 * time.Millisecond) {
		if got := orders(); len(got) > before {
			return c.machines[got[len(got)-1].machine]
		}
	}
}

// Guards against windows that are reported late, inaccurately or not at all, without any fault but two wrong wall clocks.
func TestUsageOfCalmWindows(t *testing.T) {
	machines := []string{"a", "b", "c", "d", "e", "f"}

	runSimulation(t, func(t *testing.T, ctx context.Context) {
		c := newCluster(machines...)
		// One of six wall clocks is wrong all the time, and another one steps.
		c.machines["b"].clockOffset, c.machines["b"].clockOffsetUntil = 2*time.Second, time.Now().Add(time.Hour)
		c.machines["c"].clockOffset, c.machines["c"].clockOffsetUntil = -2*time.Second, time.Now().Add(17*time.Second)

		for _, name := range machines {
			c.machines[name].start(ctx, name)
		}

		time.Sleep(3 * time.Second)

		for i := range 4_000 {
			c.countRequests(machines[i%len(machines)], "large", 2)

			if i%10 == 0 {
				c.countRequests(machines[i/10%len(machines)], "small", 1)
			}

			time.Sleep(10 * time.Millisecond)
		}

		time.Sleep(reportDeadline)
		c.checkUsage(t, 0.05)
		assert.DeepEqual(t, c.checker.violations, []string(nil))
	})
}

// checkUsage fails unless each window that is due is reported and its counts are within a fraction, tolerance, of the requests.
func (c *cluster) checkUsage(t *testing.T, tolerance float64) {
	t.Helper()

	c.mu.Lock()
	defer c.mu.Unlock()

	for number, counts := range c.expected {
		if end := time.Unix(0, (number+1)*int64(window)); time.Since(end) < reportDeadline {
			continue
		}

		reported, known := c.checker.usage[number]
		assert.Assert(t, known, "window %d", number)

		for organisation, want := range counts {
			got := reported[organisation]
			assert.Assert(t, max(got-want, want-got) <= int64(tolerance*float64(want)), "window %d, %s: %d of %d", number, organisation, got, want)
		}
	}
}

// Guards against the loss of counts when the holder and other nodes, or all nodes, are killed at the same time.
func TestUsageOutlivesNodes(t *testing.T) {
	tests := map[string][]string{
		"holder and half":  {"a", "b", "c"},
		"all at once":      {"a", "b", "c", "d", "e", "f"},
		"one that answers": {"f"},
	}

	for name, killed := range tests {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, func(t *testing.T, ctx context.Context) {
				c := newCluster("a", "b", "c", "d", "e", "f")
				c.machines["a"].start(ctx, "a.0")
				time.Sleep(time.Second)

				for _, other := range []string{"b", "c", "d", "e", "f"} {
					c.machines[other].start(ctx, other+".0")
				}

				time.Sleep(time.Until(time.Now().Truncate(window).Add(window)))

				for range 40 {
					for machine := range c.machines {
						c.countRequests(machine, "shop", 5)
					}

					time.Sleep(50 * time.Millisecond)
				}

				// Within two collections, all counts have left the nodes that counted them.
				time.Sleep(2100 * time.Millisecond)

				for _, machine := range killed {
					c.machines[machine].stop(true)
				}

				time.Sleep(500 * time.Millisecond)

				for _, machine := range killed {
					c.machines[machine].start(ctx, machine+".1")
				}

				time.Sleep(window + reportDeadline)
				c.checkUsage(t, 0.05)
				assert.DeepEqual(t, c.checker.violations, []string(nil))
			})
		})
	}
}
