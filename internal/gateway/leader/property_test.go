package leader_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxFaultLength is the maximum duration of a fault.
const maxFaultLength = 8 * time.Second

// fault is one fault of a history.
type fault struct {
	after time.Duration
	kind  string
	// machine is the affected machine. If holder is true, the machine that holds the duties is affected instead.
	machine string
	holder  bool
	length  time.Duration
}

func drawFaults(rt *rapid.T, machines []string) []fault {
	kinds := []string{"freeze", "store_down", "platform_down", "store_cut", "platform_cut", "peers_cut", "kill", "leave", "lose", "step"}

	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
		return fault{
			after:   time.Duration(rapid.IntRange(0, 4_000).Draw(rt, "after_ms")) * time.Millisecond,
			kind:    rapid.SampledFrom(kinds).Draw(rt, "kind"),
			machine: rapid.SampledFrom(machines).Draw(rt, "machine"),
			holder:  rapid.Bool().Draw(rt, "holder"),
			length:  time.Duration(rapid.IntRange(1, int(maxFaultLength.Milliseconds())).Draw(rt, "length_ms")) * time.Millisecond,
		}
	}), 1, 16).Draw(rt, "history")
}

// inject makes a fault happen.
func (c *cluster) inject(ctx context.Context, e fault, incarnation string) {
	m := c.machines[e.machine]
	if e.holder {
		m = c.holder(e.machine)
	}

	until := time.Now().Add(e.length)
	restart := func() {
		time.AfterFunc(e.length, func() {
			if ctx.Err() == nil {
				m.start(ctx, incarnation)
			}
		})
	}

	switch e.kind {
	case "kill", "leave":
		m.stop(e.kind == "kill")
		restart()
	default:
		c.mu.Lock()
		defer c.mu.Unlock()
	}

	switch e.kind {
	case "freeze":
		m.frozen = until
	case "store_down":
		c.storeDown = until
	case "platform_down":
		c.platformDown = until
	case "store_cut":
		m.storeCut = until
	case "platform_cut":
		m.platformCut = until
	case "peers_cut":
		m.peersCut = until
	case "lose":
		m.lostWrites, m.writeDelay = 3, e.length
	case "step":
		m.clockOffset, m.clockOffsetUntil = 2*time.Second, until
	}
}

// Guards against two simultaneous holders of the duties, in any history of freezes, cuts, outages, lost answers and restarts.
func TestOneHolderInAnyHistory(t *testing.T) {
	machines := []string{"a", "b", "c", "d"}

	rapid.Check(t, func(rt *rapid.T) {
		history := drawFaults(rt, machines)

		var faults []string

		runSimulation(t, func(_ *testing.T, ctx context.Context) {
			c := newCluster(machines...)
			for _, name := range machines {
				c.machines[name].start(ctx, name+".0")
			}

			time.Sleep(2 * time.Second)

			for i, e := range history {
				c.countRequests(machines[i%len(machines)], "shop", i+1)
				time.Sleep(e.after)
				c.inject(ctx, e, fmt.Sprintf("%s.%d", e.machine, i+1))
			}

			// Wait until the longest fault is over, the term has expired, the next holder may make calls, and the reports of
			// the windows since then are due.
			time.Sleep(maxFaultLength + 2*lease + 2*time.Second + 2*window + reportDeadline)

			c.mu.Lock()
			defer c.mu.Unlock()

			faults = c.checker.violations

			for number := time.Now().Add(-window-reportDeadline).UnixNano() / int64(window); number > time.Now().Add(-2*window-reportDeadline).UnixNano()/int64(window); number-- {
				if _, reported := c.checker.usage[number]; !reported {
					faults = append(faults, fmt.Sprintf("window %d is not reported", number))
				}
			}
		})

		if len(faults) > 0 {
			rt.Fatalf("%v after %+v", faults, history)
		}
	})
}
