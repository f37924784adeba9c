package leader_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against holders that act in turns within a lease, when planned stops pass the duties to and fro.
func TestDutiesPassedToAndFro(t *testing.T) {
	play(t, func(t *testing.T, ctx context.Context) {
		w := newWorld("a", "b")
		w.machines["a"].begin(ctx, "a.0")
		w.machines["b"].begin(ctx, "b.0")

		for i := range 6 {
			machine := w.awaitAct()
			machine.end(false)
			machine.begin(ctx, fmt.Sprintf("%s.%d", machine.name, i+1))
		}

		assert.DeepEqual(t, w.judge.faults, []string(nil))
	})
}

// awaitAct waits for the next call that the platform gets, and returns its sender.
func (w *world) awaitAct() *machine {
	acts := func() []arrival {
		w.mu.Lock()
		defer w.mu.Unlock()

		return w.judge.arrivals[orderSubject]
	}

	for before := len(acts()); ; time.Sleep(10 * time.Millisecond) {
		if got := acts(); len(got) > before {
			return w.machines[got[len(got)-1].machine]
		}
	}
}

// Guards against windows that are reported late, off or not at all while nothing is wrong.
func TestUsageOfCalmWindows(t *testing.T) {
	machines := []string{"a", "b", "c", "d", "e", "f"}

	play(t, func(t *testing.T, ctx context.Context) {
		w := newWorld(machines...)
		// One of six clocks is off all the time, and another one steps.
		w.machines["b"].step, w.machines["b"].stepped = 2*time.Second, time.Now().Add(time.Hour)
		w.machines["c"].step, w.machines["c"].stepped = -2*time.Second, time.Now().Add(17*time.Second)

		for _, name := range machines {
			w.machines[name].begin(ctx, name)
		}

		time.Sleep(3 * time.Second)

		for i := range 4_000 {
			w.serve(machines[i%len(machines)], "large", 2)

			if i%10 == 0 {
				w.serve(machines[i/10%len(machines)], "small", 1)
			}

			time.Sleep(10 * time.Millisecond)
		}

		time.Sleep(due)
		w.checkUsage(t, 0.05)
		assert.DeepEqual(t, w.judge.faults, []string(nil))
	})
}

// checkUsage fails unless each window that is due is reported within a part of the truth.
func (w *world) checkUsage(t *testing.T, off float64) {
	t.Helper()

	w.mu.Lock()
	defer w.mu.Unlock()

	for number, counts := range w.truth {
		if end := time.Unix(0, (number+1)*int64(window)); time.Since(end) < due {
			continue
		}

		reported, known := w.judge.usage[number]
		assert.Assert(t, known, "window %d", number)

		for organisation, truth := range counts {
			got := reported[organisation]
			assert.Assert(t, max(got-truth, truth-got) <= int64(off*float64(truth)), "window %d, %s: %d of %d", number, organisation, got, truth)
		}
	}
}

// Guards against the loss of what was counted when the holder and others end at once, and when all do.
func TestUsageOutlivesNodes(t *testing.T) {
	tests := map[string][]string{
		"holder and half":  {"a", "b", "c"},
		"all at once":      {"a", "b", "c", "d", "e", "f"},
		"one that answers": {"f"},
	}

	for name, killed := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, ctx context.Context) {
				w := newWorld("a", "b", "c", "d", "e", "f")
				w.machines["a"].begin(ctx, "a.0")
				time.Sleep(time.Second)

				for _, other := range []string{"b", "c", "d", "e", "f"} {
					w.machines[other].begin(ctx, other+".0")
				}

				time.Sleep(time.Until(time.Now().Truncate(window).Add(window)))

				for range 40 {
					for machine := range w.machines {
						w.serve(machine, "shop", 5)
					}

					time.Sleep(50 * time.Millisecond)
				}

				// What was counted is with others within two rounds.
				time.Sleep(2100 * time.Millisecond)

				for _, machine := range killed {
					w.machines[machine].end(true)
				}

				time.Sleep(500 * time.Millisecond)

				for _, machine := range killed {
					w.machines[machine].begin(ctx, machine+".1")
				}

				time.Sleep(window + due)
				w.checkUsage(t, 0.05)
				assert.DeepEqual(t, w.judge.faults, []string(nil))
			})
		})
	}
}
