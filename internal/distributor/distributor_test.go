package distributor_test

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/configurer"
)

// run runs a test of a fleet in virtual time and ends the fleet with it.
func run(t *testing.T, name string, test func(t *testing.T, f *fleet)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, newFleet(t)) })
	})
}

// Run with -v for the figures: times, calls on the store and messages at each size.
func TestTimeUntilInForceAndCosts(t *testing.T) {
	const changes = 30

	for _, size := range []struct{ nodes, domains int }{{3, 3}, {9, 3}, {30, 3}, {30, 12}, {100, 3}, {100, 12}, {370, 12}} {
		run(t, fmt.Sprintf("%d nodes %d domains", size.nodes, size.domains), func(t *testing.T, f *fleet) {
			f.change("a")
			f.startAll(size.nodes, size.domains)
			f.ready()
			time.Sleep(10 * time.Second)
			calls := f.storeCalls.Load()
			messages := f.messages.Load()
			time.Sleep(2 * time.Minute)
			idleCalls := f.storeCalls.Load() - calls
			idleMessages := f.messages.Load() - messages

			f.bytes.Store(0)
			f.messages.Store(0)
			calls = f.storeCalls.Load() - f.storePolls.Load()
			var times []time.Duration
			for i := range changes {
				times = append(times, f.until(f.change(fmt.Sprintf("b%d", i%10)), 10*time.Second))
				// 17,000 changes a day, the size to design for.
				time.Sleep(5*time.Second - times[i])
			}
			dialled, taken := f.connections(keptUnused)
			slices.Sort(times)
			changeCalls := f.storeCalls.Load() - f.storePolls.Load() - calls
			t.Logf("in force p50 %v max %v; store calls: %.1f a minute idle, %.2f a change; messages idle %d; a node and change: %.1f messages, %.0f bytes; at most %d connections dialled and %d taken",
				times[changes/2], times[changes-1], float64(idleCalls)/2, float64(changeCalls)/changes, idleMessages,
				float64(f.messages.Load())/changes/float64(size.nodes), float64(f.bytes.Load())/changes/float64(size.nodes), dialled, taken)
			assert.Assert(t, times[changes-1] < time.Second, "%v", times)
			assert.Assert(t, dialled <= 15 && taken <= 15)
			assert.Assert(t, idleCalls <= int64(size.domains*2*2*40))
		})
	}
}

// Symptom: changes stop arriving in a whole failure domain and nobody notices.
// Sequence: something on the way loses track of the watches' streams; they stay open and tell nothing.
// Cause: a silent watch looks like one without changes. Without the look at the head this test fails.
func TestSilentWatchesAreNoticed(t *testing.T) {
	run(t, "", func(t *testing.T, f *fleet) {
		f.change("a")
		f.startAll(9, 3)
		f.ready()
		time.Sleep(10 * time.Second)
		f.store.SilenceWatches(true)
		took := f.until(f.change("a"), time.Minute)
		assert.Assert(t, took < 5*time.Second, "%v", took)
		f.store.SilenceWatches(false)
		time.Sleep(30 * time.Second)
		took = f.until(f.change("a"), time.Minute)
		assert.Assert(t, took < time.Second, "the watches weren't opened anew: %v", took)
	})
}

// Symptom: one watcher of a domain is lost for good, and with the second one the whole domain.
// Sequence: one node's watch is silent while peers keep the node up to date.
// Cause: the node's own revision, not that of its watch, is compared with the head.
func TestSilentWatchOfOneNodeIsNoticed(t *testing.T) {
	run(t, "", func(t *testing.T, f *fleet) {
		f.change("a")
		f.startAll(2, 1)
		f.nodes["node-0"].deaf.Store(true)
		f.ready()
		time.Sleep(10 * time.Second)
		assert.Assert(t, f.until(f.change("a"), time.Minute) < time.Second)
		time.Sleep(10 * time.Second)
		assert.Equal(t, f.nodes["node-0"].Counters()["tree_silent_watches"], int64(1))
		assert.Equal(t, f.nodes["node-1"].Counters()["tree_silent_watches"], int64(0))
	})
}

// Symptom: nodes that start during a platform outage never serve, or all call the store the moment it returns.
// Sequence: the store is down; a node starts beside others that have the tree; later the store returns and the tree changes.
// Cause: a start that needs the store, and retries without growing pauses.
func TestStartDuringAnOutage(t *testing.T) {
	run(t, "beside others", func(t *testing.T, f *fleet) {
		revision := f.change("a")
		f.startAll(9, 3)
		f.ready()
		f.down.Store(true)
		late := f.start("late", "domain-0")
		time.Sleep(3 * time.Second)
		assert.Assert(t, late.IsReady())
		assert.Equal(t, late.Snapshot().Revision, revision)

		time.Sleep(time.Hour)
		f.down.Store(false)
		took := f.until(f.change("a"), time.Minute)
		assert.Assert(t, took < 9*time.Second, "%v", took)
		assert.Assert(t, f.until(f.change("a"), time.Minute) < time.Second)
	})
	run(t, "all at once", func(t *testing.T, f *fleet) {
		revision := f.change("a")
		f.down.Store(true)
		f.startAll(30, 3)
		time.Sleep(10 * time.Minute)
		for _, v := range f.nodes {
			assert.Assert(t, !v.IsReady(), "a node without a tree serves")
		}
		before := f.storeCalls.Load()
		time.Sleep(time.Minute)
		perNode := float64(f.storeCalls.Load()-before) / 30
		assert.Assert(t, perNode < 25, "%f calls a minute on a store that is down", perNode)
		f.down.Store(false)
		assert.Assert(t, f.until(revision, time.Minute) < 9*time.Second)
	})
}

// Symptom: a failure domain gets no more changes after two of its nodes are gone.
// Sequence: both watchers die; the members list them for some time after; the tree changes.
// Cause: only the two told the others of their domain.
func TestBothWatchersOfADomainDie(t *testing.T) {
	run(t, "", func(t *testing.T, f *fleet) {
		f.change("a")
		f.startAll(12, 3)
		f.ready()
		time.Sleep(10 * time.Second)
		var dead []string
		for name, v := range f.nodes {
			if v.self.FailureDomain == "domain-1" && v.Counters()["tree_watching"] == 1 {
				dead = append(dead, name)
			}
		}
		assert.Equal(t, len(dead), 2)
		for _, v := range dead {
			f.kill(v)
		}
		assert.Assert(t, f.until(f.change("a"), time.Minute) < time.Second)
		for _, v := range dead {
			f.remove(v)
		}
		time.Sleep(3 * time.Second)
		var watching int64
		for _, v := range f.nodes {
			watching += v.Counters()["tree_watching"]
		}
		assert.Equal(t, watching, int64(6))
		assert.Assert(t, f.until(f.change("a"), time.Minute) < time.Second)
	})
}

// Symptom: the tree is lost, or falls back, when nodes are replaced while the store is down.
// Sequence: during an outage all nodes are killed and started anew, one after the other.
// Cause: a tree that lives only in the store, or a start that doesn't wait for its peers.
func TestRollingRestartDuringAnOutage(t *testing.T) {
	run(t, "", func(t *testing.T, f *fleet) {
		f.change("a")
		f.startAll(9, 3)
		f.ready()
		newest := f.change("a")
		f.until(newest, time.Minute)
		f.down.Store(true)
		for i := range 9 {
			name := fmt.Sprintf("node-%d", i)
			f.kill(name)
			f.remove(name)
			time.Sleep(time.Second)
			fresh := f.start(name, fmt.Sprintf("domain-%d", i%3))
			begun := time.Now()
			<-fresh.Ready()
			assert.Equal(t, fresh.Snapshot().Revision, newest)
			assert.Assert(t, time.Since(begun) < 2*time.Second, "%v", time.Since(begun))
		}
	})
}

// Symptom: some nodes get each change seconds late, always the same ones.
// Sequence: a failure domain and a tenth of the links are lost, the members still list all; no heartbeat helps out.
// Cause: a node is told by a fixed set of others, and all of these are lost to it. With one ring this test fails.
func TestChangesGoAroundLostNodesAndLinks(t *testing.T) {
	run(t, "", func(t *testing.T, f *fleet) {
		f.heartbeat = 0
		f.change("a")
		f.startAll(120, 12)
		f.ready()
		time.Sleep(10 * time.Second)
		cut := func(from, to string) bool { return (xxhash.Sum64String(from)+xxhash.Sum64String(to))%10 == 0 }
		f.cut.Store(&cut)
		for i := range 10 {
			f.kill(fmt.Sprintf("node-%d", 1+12*i))
		}
		for range 5 {
			took := f.until(f.change("a"), time.Minute)
			assert.Assert(t, took < time.Second, "%v", took)
			time.Sleep(5 * time.Second)
		}
		dialled, taken := f.connections(keptUnused)
		assert.Assert(t, dialled <= 12 && taken <= 12, "%d dialled, %d taken", dialled, taken)
	})
}

// divide gives node-2 alone the newest tree, and opens its links to the node late only.
func divide(f *fleet, nodes int) int64 {
	f.heartbeat = 0
	f.change("a")
	f.startAll(nodes, nodes)
	f.ready()
	time.Sleep(10 * time.Second)
	cut := func(from, to string) bool { return to != "late" && from != "late" }
	f.cut.Store(&cut)
	for name, v := range f.nodes {
		v.down.Store(name != "node-2")
	}
	f.store.SilenceWatches(true)
	newest := f.change("a")
	time.Sleep(10 * time.Second)
	f.down.Store(true)

	return newest
}

// Symptom: a restarted node serves with settings older than others had seen.
// Sequence: the store is down; most of the peers that it asks missed the last change; one has it.
// Cause: the first answer is taken, or one is enough.
func TestStartTakesTheHighestOfItsPeers(t *testing.T) {
	run(t, "", func(t *testing.T, f *fleet) {
		newest := divide(f, 3)
		assert.Assert(t, f.nodes["node-0"].Snapshot().Revision < newest)
		assert.Equal(t, f.nodes["node-2"].Snapshot().Revision, newest)
		late := f.start("late", "domain-0")
		<-late.Ready()
		assert.Equal(t, late.Snapshot().Revision, newest)
	})
}

// Symptom: a restarted node serves with settings older than it could know.
// Sequence: the peers that it asks missed the last change; a heartbeat tells of it; the peer that has it is slow.
// Cause: what heartbeats tell isn't looked at before the node serves.
func TestStartWaitsForARevisionThatItHeardOf(t *testing.T) {
	run(t, "", func(t *testing.T, f *fleet) {
		newest := divide(f, 9)
		f.nodes["node-2"].slow.Store(int64(200 * time.Millisecond))
		late := f.start("late", "domain-0")
		late.PeerRevision("node-2", newest)
		<-late.Ready()
		assert.Equal(t, late.Snapshot().Revision, newest)
	})
}

// Symptom: a node stays behind although its peer is up to date and answers.
// Sequence: the peer missed the revision that the node holds, so the lines that it sends are for another text.
// Cause: the node doesn't ask for the full tree. With that left out this test fails.
func TestLinesForAnotherTextAreFollowedByTheFullTree(t *testing.T) {
	run(t, "", func(t *testing.T, f *fleet) {
		f.change("a")
		f.startAll(2, 2)
		f.ready()
		time.Sleep(10 * time.Second)
		f.store.SilenceWatches(true)
		cut := func(string, string) bool { return true }
		f.cut.Store(&cut)
		f.nodes["node-0"].down.Store(true)
		second := f.change("a")
		time.Sleep(10 * time.Second)
		assert.Equal(t, f.nodes["node-1"].Snapshot().Revision, second)
		f.nodes["node-1"].down.Store(true)
		third := f.change("a")
		f.nodes["node-0"].down.Store(false)
		time.Sleep(15 * time.Second)
		assert.Equal(t, f.nodes["node-0"].Snapshot().Revision, third)
		f.down.Store(true)
		open := func(string, string) bool { return false }
		f.cut.Store(&open)
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.nodes["node-1"].Snapshot().Revision, third)
	})
}

// Symptom: a node that sees only peers that missed changes, and no store, stays behind or goes back.
// Sequence: it is cut off with them, restarts among them, and later sees the others again.
// Cause: an older tree replaces a newer one, or nobody asks when a newer revision shows.
func TestNodeAmongOldPeers(t *testing.T) {
	run(t, "", func(t *testing.T, f *fleet) {
		old := f.change("a")
		f.startAll(9, 3)
		f.ready()
		time.Sleep(10 * time.Second)
		island := func(name string) bool {
			return strings.HasSuffix(name, "0") || strings.HasSuffix(name, "3") || name == "late"
		}
		cut := func(from, to string) bool { return island(from) != island(to) }
		f.cut.Store(&cut)
		for _, v := range []string{"node-0", "node-3"} {
			f.nodes[v].stop()
		}
		time.Sleep(time.Second)
		newer := f.change("a")
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.nodes["node-1"].Snapshot().Revision, newer)
		assert.Equal(t, f.nodes["node-0"].Snapshot().Revision, old)
		f.down.Store(true)
		late := f.start("late", "domain-0")
		time.Sleep(20 * time.Second)
		if late.IsReady() {
			assert.Equal(t, late.Snapshot().Revision, old)
		}
		open := func(string, string) bool { return false }
		f.cut.Store(&open)
		time.Sleep(30 * time.Second)
		assert.Equal(t, late.Snapshot().Revision, newer)
	})
}

// Symptom: a change that was in force is gone again on one node.
// Sequence: updates from the store and from peers of any age arrive in any order.
// Cause: an update that is taken without a look at its revision.
func TestRevisionNeverFalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) { deliverAtRandom(t, rt) })
	})
}

func deliverAtRandom(t *testing.T, rt *rapid.T) {
	f := newFleet(t)
	last := make([]atomic.Int64, 4)
	var fell atomic.Bool
	for i := range last {
		f.subscribe = func(s configurer.Snapshot) {
			fell.Store(fell.Load() || s.Revision <= last[i].Load())
			last[i].Store(s.Revision)
		}
		f.start(fmt.Sprintf("node-%d", i), fmt.Sprintf("domain-%d", i%2))
	}
	seed := rapid.Uint64().Draw(rt, "cuts")
	for range rapid.IntRange(1, 15).Draw(rt, "steps") {
		switch rapid.IntRange(0, 4).Draw(rt, "step") {
		case 0, 1:
			f.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "branch"))
		case 2:
			f.down.Store(!f.down.Load())
		case 3:
			f.store.SilenceWatches(rapid.Bool().Draw(rt, "silent"))
		case 4:
			seed = seed*6364136223846793005 + 1
			mask := seed
			cut := func(from, to string) bool { return mask>>(uint(from[5]-'0')*4+uint(to[5]-'0'))&1 == 1 }
			f.cut.Store(&cut)
		}
		time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "pause")) * time.Millisecond)
	}
	f.down.Store(false)
	f.store.SilenceWatches(false)
	open := func(string, string) bool { return false }
	f.cut.Store(&open)
	time.Sleep(time.Minute)
	if fell.Load() {
		rt.Fatal("a revision fell")
	}
	tree, err := f.editor.Tree(f.ctx)
	assert.NilError(t, err)
	if !f.allAt(tree.Revision) {
		rt.Fatal("a node stays behind")
	}
}
