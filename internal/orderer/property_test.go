package orderer_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/orderer"
	"quincepath.example/quincepath/internal/standin/keeper"
)

// event is a fault or a change in a schedule.
type event struct {
	after  time.Duration
	kind   string
	node   int
	engine string
	length time.Duration
	models []string
}

func drawEvents(rt *rapid.T) []event {
	kinds := []string{"pause", "outage", "restart", "desire", "candidates", "lose"}

	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
		return event{
			after:  time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "after_ms")) * time.Millisecond,
			kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			node:   rapid.IntRange(0, 1).Draw(rt, "node"),
			engine: rapid.SampledFrom([]string{"checks", "ignores"}).Draw(rt, "engine"),
			length: time.Duration(rapid.IntRange(1, 60_000).Draw(rt, "length_ms")) * time.Millisecond,
			models: rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 1, 3, rapid.ID).Draw(rt, "models"),
		}
	}), 1, 12).Draw(rt, "events")
}

// nodeFaults are the faults of one node. The node pauses at its next call until pausedUntil, and calls in transit continue
// after that. The next disturbedTxns transactions are delayed, and the last of them loses its reply.
type nodeFaults struct {
	pausedUntil   time.Time
	disturbedTxns int
}

// applyEvent applies an event to the cluster.
func (c *cluster) applyEvent(e event, faults []*nodeFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()

	switch e.kind {
	case "pause":
		faults[e.node].pausedUntil = time.Now().Add(e.length)
	case "lose":
		faults[e.node].disturbedTxns = 2
	case "outage":
		c.outage = true
		time.AfterFunc(e.length, func() { c.update(func() { c.outage = false }) })
	case "restart":
		c.restart(e.engine)
		// An engine that has lost its state also accepts lower fencing numbers again.
		c.engines[e.engine].applied = nil
	case "desire":
		c.current.Desired.Models = e.models
	case "candidates":
		c.candidate["a"], c.candidate["b"] = e.node == 0, e.node == 1
	}
}

func (n *node) injectFaults(p *nodeFaults) {
	wait := func() {
		n.mu.Lock()
		until := p.pausedUntil
		n.mu.Unlock()
		time.Sleep(time.Until(until))
	}
	n.afterStateRead = wait
	n.beforeSend = func(orderer.Order, int64) { wait() }
	n.faults = func(_ context.Context, call keeper.Call) keeper.Verdict {
		wait()
		n.mu.Lock()
		defer n.mu.Unlock()

		if call.Kind == "txn" && p.disturbedTxns > 0 {
			p.disturbedTxns--

			return keeper.Verdict{LoseReply: p.disturbedTxns == 0, DelayBefore: lease / 2}
		}

		return keeper.Verdict{}
	}
}

// Checks under random schedules of pauses, outages, restarts, lost replies, changes of the desired state and changes of the
// candidate that fencing numbers never decrease at an engine that checks them, and that both kinds of engines reach the
// desired state within convergenceTime.
func TestAnyScheduleEndsInDesiredState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)

		var failure string

		runSimulation(t, func(t *testing.T, start func(*node)) {
			c := newCluster([]string{"v1"}, bothKinds())
			faults := []*nodeFaults{{}, {}}

			for i, name := range []string{"a", "b"} {
				n := c.node(name)
				n.injectFaults(faults[i])
				start(n)
			}

			for _, e := range events {
				time.Sleep(e.after)
				c.applyEvent(e, faults)
			}

			// The longest fault ends within a minute after the last event.
			time.Sleep(time.Minute)
			c.update(func() { faults[0].disturbedTxns, faults[1].disturbedTxns = 0, 0 })
			time.Sleep(convergenceTime)

			failure = c.violation()
		})

		if failure != "" {
			rt.Fatalf("%s after %+v", failure, events)
		}
	})
}

// violation describes a violated invariant; it is empty if there is none.
func (c *cluster) violation() string {
	c.mu.Lock()
	defer c.mu.Unlock()

	for name, e := range c.engines {
		if want := sorted(c.current.Desired.Models); !slices.Equal(sorted(e.state.Models), want) {
			return fmt.Sprintf("%s holds %v, desired %v", name, e.state.Models, want)
		}

		for i := 1; e.checksFencing && i < len(e.applied); i++ {
			if e.applied[i].number < e.applied[i-1].number {
				return fmt.Sprintf("%s applied %v", name, e.applied)
			}
		}
	}

	return ""
}
