package granter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/scheduler"
)

const (
	// engineStart is what an engine takes to the first token of a counter lookup;
	// the rest of the target may be spent on the slot.
	engineStart   = 100 * time.Millisecond
	counterTarget = 300 * time.Millisecond
	faultAt       = 4 * time.Second
)

// counterWaits sends a counter lookup through a node each 2 ms for 10 s, while
// chats fill the pool, and returns the waits for a slot, those in the two
// seconds after the fault apart.
func counterWaits(ctx context.Context, t *testing.T, n *network, entries []string, fault func()) (all, after []time.Duration) {
	t.Helper()

	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)

	began := time.Now()
	time.AfterFunc(faultAt, fault)

	for i := range 1000 {
		entry := n.nodes[entries[i%len(entries)]]
		since := time.Since(began)

		group.Go(func() {
			waited, err := entry.run(ctx, "counter", engineStart)
			assert.Check(t, err)
			mu.Lock()
			defer mu.Unlock()

			all = append(all, waited)
			if since >= faultAt-counterTarget && since < faultAt+2*time.Second {
				after = append(after, waited)
			}
		})

		if i%4 == 0 {
			group.Go(func() { _, _ = entry.run(ctx, "chat", 2*time.Second) })
		}

		time.Sleep(10 * time.Millisecond)
	}

	group.Wait()

	return all, after
}

// sight is what a node sees that may miss another one.
type sight struct{ *network }

// Live implements Members.
func (s sight) Live() []string {
	live := s.network.Live()

	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.DeleteFunc(live, func(name string) bool { return s.hidden[name] })
}

func (n *network) hide(name string, hidden bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.hidden[name] = hidden
}

func attained(waits []time.Duration) float64 {
	count := 0

	for _, wait := range waits {
		if wait+engineStart <= counterTarget {
			count++
		}
	}

	return float64(count) / float64(len(waits))
}

// Symptom: counter lookups wait while the holder of their pool is out of reach.
// Sequence: nine nodes, twelve engines full of chats; the holder crashes and stays
// listed as live, freezes for three seconds, or half of the nodes take another for it.
// Cause: an entry that waits for a holder waits for ever.
func TestTierOneAttainsThroughAHoldersEnd(t *testing.T) {
	faults := map[string]func(n *network, holder string){
		"none":  func(*network, string) {},
		"crash": func(n *network, holder string) { n.setDown(holder, true) },
		"crash, still listed for 3 s": func(n *network, holder string) {
			n.setCut(holder, true)
			time.AfterFunc(3*time.Second, func() { n.setDown(holder, true) })
		},
		"freeze of 3 s": func(n *network, holder string) {
			n.freeze(holder)
			time.AfterFunc(3*time.Second, func() { n.thaw(holder) })
		},
		"two holders for 3 s": func(n *network, holder string) {
			n.hide(holder, true)
			time.AfterFunc(3*time.Second, func() { n.hide(holder, false) })
		},
	}

	ways := []struct {
		name string
		pool scheduler.Options
	}{
		{"engine's priority", scheduler.Options{FixedSlots: true, EnginePriority: true, NoPredictiveRefusals: true}},
		{"preemption", scheduler.Options{FixedSlots: true, NoPredictiveRefusals: true}},
	}

	for name, fault := range faults {
		for _, way := range ways {
			t.Run(name+", "+way.name, func(t *testing.T) {
				options := Options{Pool: way.pool}
				inVirtualTime(t, 9, 4, 8, options, func(t *testing.T, ctx context.Context, n *network) {
					holder := n.holderNode().name
					for i := range 4 {
						entry := n.nodes[fmt.Sprintf("n%d", i+1)]
						entry.router.members = sight{n}
					}

					entries := slices.DeleteFunc(n.Live(), func(name string) bool { return name == holder })
					all, after := counterWaits(ctx, t, n, entries, func() { fault(n, holder) })

					t.Logf("attained %.4f of %d, %.4f of %d around the fault, longest wait %s",
						attained(all), len(all), attained(after), len(after), slices.Max(all))
					assert.Assert(t, attained(all) >= 0.99)
					assert.Assert(t, attained(after) >= 0.99)
				})
			})
		}
	}
}
