package leader_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// longestFault is the longest time that a fault lasts.
const longestFault = 8 * time.Second

// event is one fault of a history.
type event struct {
	after time.Duration
	kind  string
	// machine is what it happens to; the one that holds the duties if holder is true.
	machine string
	holder  bool
	length  time.Duration
}

func drawHistory(rt *rapid.T, machines []string) []event {
	kinds := []string{"freeze", "store_down", "platform_down", "store_cut", "platform_cut", "peers_cut", "kill", "leave", "lose", "step"}

	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
		return event{
			after:   time.Duration(rapid.IntRange(0, 4_000).Draw(rt, "after_ms")) * time.Millisecond,
			kind:    rapid.SampledFrom(kinds).Draw(rt, "kind"),
			machine: rapid.SampledFrom(machines).Draw(rt, "machine"),
			holder:  rapid.Bool().Draw(rt, "holder"),
			length:  time.Duration(rapid.IntRange(1, int(longestFault.Milliseconds())).Draw(rt, "length_ms")) * time.Millisecond,
		}
	}), 1, 16).Draw(rt, "history")
}

// apply brings an event about.
func (w *world) apply(ctx context.Context, e event, life string) {
	m := w.machines[e.machine]
	if e.holder {
		m = w.holder(e.machine)
	}

	until := time.Now().Add(e.length)
	restart := func() {
		time.AfterFunc(e.length, func() {
			if ctx.Err() == nil {
				m.begin(ctx, life)
			}
		})
	}

	switch e.kind {
	case "kill", "leave":
		m.end(e.kind == "kill")
		restart()
	default:
		w.mu.Lock()
		defer w.mu.Unlock()
	}

	switch e.kind {
	case "freeze":
		m.frozen = until
	case "store_down":
		w.storeDown = until
	case "platform_down":
		w.platformDown = until
	case "store_cut":
		m.storeCut = until
	case "platform_cut":
		m.platformCut = until
	case "peers_cut":
		m.peersCut = until
	case "lose":
		m.losing, m.lateness = 3, e.length
	case "step":
		m.step, m.stepped = 2*time.Second, until
	}
}

// Guards against two holders of the duties at once, in any history of freezes, cuts, outages, lost answers and restarts.
func TestOneHolderInAnyHistory(t *testing.T) {
	machines := []string{"a", "b", "c", "d"}

	rapid.Check(t, func(rt *rapid.T) {
		history := drawHistory(rt, machines)

		var faults []string

		play(t, func(_ *testing.T, ctx context.Context) {
			w := newWorld(machines...)
			for _, name := range machines {
				w.machines[name].begin(ctx, name+".0")
			}

			time.Sleep(2 * time.Second)

			for i, e := range history {
				w.serve(machines[i%len(machines)], "shop", i+1)
				time.Sleep(e.after)
				w.apply(ctx, e, fmt.Sprintf("%s.%d", e.machine, i+1))
			}

			// The longest fault ends, a term runs out, another is taken and settles, and the windows since become due.
			time.Sleep(longestFault + 2*lease + 2*time.Second + 2*window + due)

			w.mu.Lock()
			defer w.mu.Unlock()

			faults = w.judge.faults

			for number := time.Now().Add(-window-due).UnixNano() / int64(window); number > time.Now().Add(-2*window-due).UnixNano()/int64(window); number-- {
				if _, reported := w.judge.usage[number]; !reported {
					faults = append(faults, fmt.Sprintf("window %d is not reported", number))
				}
			}
		})

		if len(faults) > 0 {
			rt.Fatalf("%v after %+v", faults, history)
		}
	})
}
