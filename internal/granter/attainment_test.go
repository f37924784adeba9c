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
	// timeToFirstToken is the time that an engine needs until the first token of a counter
	// lookup; the rest of the target is available for the wait for a slot.
	timeToFirstToken = 100 * time.Millisecond
	counterTarget    = 300 * time.Millisecond
	faultDelay       = 4 * time.Second
)

// measureCounterWaits sends a counter lookup each 10 ms for 10 s, through the entries in
// turn, while chats fill the pool. It returns the waits for a slot of all lookups, and
// of those sent from just before the fault until two seconds after it.
func measureCounterWaits(ctx context.Context, t *testing.T, n *network, entries []string, fault func()) (all, after []time.Duration) {
	t.Helper()

	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)

	start := time.Now()
	time.AfterFunc(faultDelay, fault)

	for i := range 1000 {
		entry := n.nodes[entries[i%len(entries)]]
		elapsed := time.Since(start)

		group.Go(func() {
			waited, err := entry.run(ctx, "counter", timeToFirstToken)
			assert.Check(t, err)
			mu.Lock()
			defer mu.Unlock()

			all = append(all, waited)
			if elapsed >= faultDelay-counterTarget && elapsed < faultDelay+2*time.Second {
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

// partialMembers lists the live nodes without the hidden ones.
type partialMembers struct{ *network }

// Live implements Members.
func (s partialMembers) Live() []string {
	live := s.network.Live()

	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.DeleteFunc(live, func(name string) bool { return s.hidden[name] })
}

func (n *network) setHidden(name string, hidden bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.hidden[name] = hidden
}

func attainment(waits []time.Duration) float64 {
	count := 0

	for _, wait := range waits {
		if wait+timeToFirstToken <= counterTarget {
			count++
		}
	}

	return float64(count) / float64(len(waits))
}

// Guards against counter lookups that wait while the holder of their pool can't be
// reached. With engines full of chats, the holder crashes, crashes but stays listed as
// live, freezes, or four of the nine nodes take another node for the holder. Entries
// must not wait for a holder without a time limit.
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
			n.setHidden(holder, true)
			time.AfterFunc(3*time.Second, func() { n.setHidden(holder, false) })
		},
	}

	modes := []struct {
		name string
		pool scheduler.Options
	}{
		{"engine's priority", scheduler.Options{FixedSlots: true, EnginePriority: true, NoPredictiveRefusals: true}},
		{"preemption", scheduler.Options{FixedSlots: true, NoPredictiveRefusals: true}},
	}

	for name, fault := range faults {
		for _, mode := range modes {
			t.Run(name+", "+mode.name, func(t *testing.T) {
				options := Options{Pool: mode.pool}
				inVirtualTime(t, 9, 4, 8, options, func(t *testing.T, ctx context.Context, n *network) {
					holder := n.holderNode().name
					for i := range 4 {
						entry := n.nodes[fmt.Sprintf("n%d", i+1)]
						entry.router.members = partialMembers{n}
					}

					entries := slices.DeleteFunc(n.Live(), func(name string) bool { return name == holder })
					all, after := measureCounterWaits(ctx, t, n, entries, func() { fault(n, holder) })

					t.Logf("attained %.4f of %d, %.4f of %d around the fault, longest wait %s",
						attainment(all), len(all), attainment(after), len(after), slices.Max(all))
					assert.Assert(t, attainment(all) >= 0.99)
					assert.Assert(t, attainment(after) >= 0.99)
				})
			})
		}
	}
}
