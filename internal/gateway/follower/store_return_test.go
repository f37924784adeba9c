package follower_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// returnedWithin is how long after an acknowledgement all nodes of a small fleet must know a change.
const returnedWithin = 2 * time.Second

// storeCopy is the content of the simulated store at some time.
type storeCopy struct {
	version, revision int64
	upstreamIDs       []string
	nodes             []cataloguer.Node
}

func (f *fleet) takeCopy() storeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()

	return storeCopy{version: f.version, revision: f.revision, upstreamIDs: slices.Clone(f.upstreamIDs), nodes: slices.Clone(f.nodes)}
}

// restore makes the store return from a copy.
func (f *fleet) restore(loss storeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.version, f.revision, f.upstreamIDs, f.nodes = loss.version, loss.revision, slices.Clone(loss.upstreamIDs), slices.Clone(loss.nodes)

	if f.era > 0 {
		f.era++
	}
}

// knowsAfterReturn reports whether a node knows the version and the upstream that were written after the store's return.
func knowsAfterReturn(s *cataloguer.State) bool {
	return s.Configuration.Version == 7 && s.Registry.Upstreams.Contains("new") && s.StoreReturns == 1
}

// Guards against changes that no node hears of, since they have revisions which the store had given out before it returned from a copy.
func TestChangesAfterTheStoreReturned(t *testing.T) {
	for _, test := range []struct {
		nodes int
		// otherWrites are changes before the first read after the return.
		otherWrites int
		era         int64
	}{
		{nodes: 1, era: 1},
		{nodes: 9, era: 1},
		{nodes: 9, otherWrites: 3, era: 1},
		{nodes: 9, otherWrites: 50, era: 1},
		{nodes: 40, otherWrites: 50, era: 1},
		// A store that names no era, and whose revision is below the former one when it is read.
		{nodes: 1},
		{nodes: 9},
		{nodes: 40},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, test.nodes)
				defer f.stop()

				f.update(func() { f.era = test.era })
				time.Sleep(15 * time.Second)

				loss := f.takeCopy()
				f.update(func() { f.version = 5 })
				f.update(func() { f.upstreamIDs = append(f.upstreamIDs, "lost") })
				f.update(func() {})
				f.update(func() {})
				time.Sleep(5 * time.Second)

				f.update(func() { f.down = true })
				time.Sleep(500 * time.Millisecond)
				f.restore(loss)
				f.update(func() { f.version, f.down, f.upstreamIDs = 7, false, append(f.upstreamIDs, "new") })

				for range test.otherWrites {
					f.update(func() {})
				}

				took := f.timeUntilAll(knowsAfterReturn)
				assert.Assert(t, took <= returnedWithin, "%s", took)

				for name, m := range f.members {
					assert.Equal(t, m.catalog.State().StoreReturns, int64(1), name)
				}

				// What the copy lacks and nobody writes again is gone after a while.
				time.Sleep(4 * time.Second)
				assert.Equal(t, f.knowing("lost"), 0)
			})
		})
	}
}

// newSeededFleet returns a fleet that has been running for a while with a store that names its era, and its seeds.
func newSeededFleet(t *testing.T, count int) (f *fleet, seeds []string) {
	f, seeds = newFleet(t, 0), []string{"n0", "n1"}
	f.era = 1

	for i := range count {
		f.start(t, fmt.Sprint("n", i), seeds)
	}

	time.Sleep(15 * time.Second)

	return f, seeds
}

// Guards against a node that starts just after the store's return, and believes an older configuration of the copy though the others
// know the newer one.
func TestNodeThatStartsAfterTheStoreReturnedAsksTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, seeds := newSeededFleet(t, 5)
		defer f.stop()

		loss := f.takeCopy()
		f.update(func() { f.version = 5 })
		time.Sleep(3 * time.Second)
		f.members["n0"].stop()
		f.restore(loss)

		started := f.start(t, "n0", seeds)

		for range 400 {
			version := started.catalog.State().Configuration.Version
			assert.Assert(t, version == 0 || version == 5, "version %d", version)
			time.Sleep(10 * time.Millisecond)
		}

		assert.Equal(t, started.catalog.State().Configuration.Version, int64(5))
	})
}

// Guards against nodes that wait for one another once all have lost power while the store returned: nobody has a state, or a disk.
func TestAllNodesLosePowerAsTheStoreReturns(t *testing.T) {
	const recovery = 12 * time.Second

	synctest.Test(t, func(t *testing.T) {
		f, seeds := newSeededFleet(t, 9)
		defer f.stop()

		loss := f.takeCopy()
		f.update(func() { f.version = 5 })
		time.Sleep(2 * time.Second)
		f.stop()
		f.restore(loss)

		for i := range 9 {
			f.start(t, fmt.Sprint("n", i), seeds)
		}

		took := f.timeUntilAll(func(s *cataloguer.State) bool { return s.IsComplete() })
		assert.Assert(t, took <= recovery, "%s", took)

		f.update(func() { f.version = 7 })
		took = f.timeUntilAll(func(s *cataloguer.State) bool { return s.Configuration.Version == 7 })
		assert.Assert(t, took <= returnedWithin, "%s", took)
	})
}

// Guards against a node that nobody counts in since the store lost its entry.
func TestNodeThatTheStoreLostIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.stop()

		f.update(func() { f.era = 1 })
		time.Sleep(15 * time.Second)

		loss := f.takeCopy()
		f.start(t, "late", []string{"n0"})
		time.Sleep(10 * time.Second)
		assert.Assert(t, f.members["n4"].catalog.State().Registry.Nodes.Contains("late"))

		f.restore(loss)

		took := f.timeUntilAll(func(s *cataloguer.State) bool { return s.StoreReturns == 1 && s.Registry.Nodes.Contains("late") })
		assert.Assert(t, took <= 4*time.Second, "%s", took)
	})
}

// Guards against a node that is answered by what was there before the store's return, and takes the others back to it.
func TestAnswersFromBeforeTheReturnChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.stop()

		f.update(func() { f.era = 1 })
		time.Sleep(15 * time.Second)

		f.mu.Lock()
		root := f.lastReader
		f.mu.Unlock()

		loss := f.takeCopy()
		f.update(func() { f.version = 5 })
		time.Sleep(2 * time.Second)
		f.restore(loss)
		f.update(func() { f.version, f.upstreamIDs = 7, append(f.upstreamIDs, "new") })
		assert.Assert(t, f.timeUntilAll(knowsAfterReturn) < returnedWithin)

		f.mu.Lock()
		f.behind = map[string]bool{root: true}
		f.mu.Unlock()

		for range 100 {
			time.Sleep(100 * time.Millisecond)

			for name, m := range f.members {
				assert.Assert(t, knowsAfterReturn(m.catalog.State()), name)
			}
		}

		f.update(func() { f.upstreamIDs = append(f.upstreamIDs, "newer") })
		took := f.timeUntilAll(func(s *cataloguer.State) bool { return s.Registry.Upstreams.Contains("newer") })
		assert.Assert(t, took < 5*time.Second, "%s", took)
	})
}

// Guards against all nodes reading everything at once when the store has returned. QUINCEPATH_RETURN_NODES sets a number of nodes.
func TestCallsAfterTheStoreReturned(t *testing.T) {
	counts := []int{9, 120}
	if count, err := strconv.Atoi(os.Getenv("QUINCEPATH_RETURN_NODES")); err == nil {
		counts = []int{count}
	}

	for _, count := range counts {
		t.Run(fmt.Sprint(count, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, count)
				defer f.stop()

				f.update(func() { f.era = 1 })
				time.Sleep(30 * time.Second)

				calls := func(length time.Duration) int {
					f.mu.Lock()
					before := f.calls
					f.mu.Unlock()
					time.Sleep(length)

					f.mu.Lock()
					defer f.mu.Unlock()

					return f.calls - before
				}

				const span = 10 * time.Second

				calm := calls(span)
				loss := f.takeCopy()
				f.update(func() { f.version = 5 })
				time.Sleep(2 * time.Second)

				away := func() int {
					f.update(func() { f.down = true })
					time.Sleep(500 * time.Millisecond)
					f.update(func() { f.down = false })

					return calls(span)
				}

				onlyAway := away()

				f.update(func() { f.down = true })
				time.Sleep(500 * time.Millisecond)
				f.restore(loss)
				f.update(func() { f.down = false })

				returned := calls(span)
				t.Logf("in ten seconds: %d calls in calm, %d after an outage, %d after a return", calm, onlyAway, returned)

				// Each of the nodes that read in the root's place may read everything once: the position and four lists.
				assert.Assert(t, returned <= onlyAway+5*10, "%d calls, %d after an outage", returned, onlyAway)
			})
		})
	}
}
