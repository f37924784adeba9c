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

// event is one fault or change of a schedule.
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

// pauses stops a node at its next call until a time; calls on their way go on after it.
type pauses struct {
	until time.Time
	lose  int
}

// apply brings an event about.
func (w *world) apply(e event, faults []*pauses) {
	w.mu.Lock()
	defer w.mu.Unlock()

	switch e.kind {
	case "pause":
		faults[e.node].until = time.Now().Add(e.length)
	case "lose":
		faults[e.node].lose = 2
	case "outage":
		w.outage = true
		time.AfterFunc(e.length, func() { w.change(func() { w.outage = false }) })
	case "restart":
		w.restart(e.engine)
		// Numbers that the engine forgot may come again.
		w.engines[e.engine].took = nil
	case "desire":
		w.current.Desired.Models = e.models
	case "candidates":
		w.candidate["a"], w.candidate["b"] = e.node == 0, e.node == 1
	}
}

func (n *node) pausedBy(p *pauses) {
	wait := func() {
		n.mu.Lock()
		until := p.until
		n.mu.Unlock()
		time.Sleep(time.Until(until))
	}
	n.beforeCheck = wait
	n.beforeSend = func(orderer.Order, int64) { wait() }
	n.faults = func(_ context.Context, call keeper.Call) keeper.Verdict {
		wait()
		n.mu.Lock()
		defer n.mu.Unlock()

		if call.Kind == "txn" && p.lose > 0 {
			p.lose--

			return keeper.Verdict{LoseReply: p.lose == 0, DelayBefore: lease / 2}
		}

		return keeper.Verdict{}
	}
}

// Any schedule of pauses, outages, restarts, edits and moves of the candidate: at an engine that
// checks, numbers never go back; at both kinds the state is the desired one within the stated time.
func TestAnyScheduleEndsInDesiredState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)

		var failure string

		play(t, func(t *testing.T, start func(*node)) {
			w := newWorld([]string{"v1"}, both())
			faults := []*pauses{{}, {}}

			for i, name := range []string{"a", "b"} {
				n := w.node(name)
				n.pausedBy(faults[i])
				start(n)
			}

			for _, e := range events {
				time.Sleep(e.after)
				w.apply(e, faults)
			}

			// The longest fault ends within a minute of the last event.
			time.Sleep(time.Minute)
			w.change(func() { faults[0].lose, faults[1].lose = 0, 0 })
			time.Sleep(converged)

			failure = w.fault()
		})

		if failure != "" {
			rt.Fatalf("%s after %+v", failure, events)
		}
	})
}

// fault says which of the promises is broken, if any.
func (w *world) fault() string {
	w.mu.Lock()
	defer w.mu.Unlock()

	for name, e := range w.engines {
		if want := sorted(w.current.Desired.Models); !slices.Equal(sorted(e.state.Models), want) {
			return fmt.Sprintf("%s holds %v, desired %v", name, e.state.Models, want)
		}

		for i := 1; e.checks && i < len(e.took); i++ {
			if e.took[i].number < e.took[i-1].number {
				return fmt.Sprintf("%s took %v", name, e.took)
			}
		}
	}

	return ""
}
