package prober_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/prober"
)

// settled returns a network whose nodes all know each other and have little news left.
func settled(t testing.TB, size, domains int, seed uint64) *network {
	t.Helper()

	w := newNetwork(t, size, domains, seed)
	w.startAll()
	w.run(30 * time.Second)
	assert.Assert(t, w.complete())

	return w
}

// Symptom: after one node stood still for 10 s, healthy nodes drop out of the answers to callers.
// Sequence: SIGSTOP; answers to its probes lie unread in the socket; SIGCONT; its timeouts are overdue.
// Cause: a node that blames others for its own pause.
func TestProber_FrozenNodeDoubtsItself(t *testing.T) {
	t.Parallel()

	for _, size := range []int{3, 9, 30, 100} {
		for _, pause := range []time.Duration{1500 * time.Millisecond, 10 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%d_%s", size, pause), func(t *testing.T) {
				w := settled(t, size, 3, uint64(size))
				frozen := w.nodes[1]
				before := frozen.prober.Counters()
				incarnation := frozen.prober.Self().Incarnation
				deaths := w.counters().Deaths

				frozen.frozen = true
				w.run(pause)
				w.thaw(frozen)

				back := w.runUntil(time.Minute, w.complete)
				w.run(10 * time.Second)
				after := frozen.prober.Counters()
				t.Logf("all seen again after %s", back)

				assert.Equal(t, after.Freezes-before.Freezes, int64(1))
				assert.Equal(t, after.Deaths, before.Deaths, "the frozen node held a healthy one for dead")
				assert.Assert(t, frozen.prober.Self().Incarnation > incarnation)
				assert.Assert(t, back < 10*time.Second)
				assert.Assert(t, w.complete())

				for _, n := range w.nodes {
					for _, m := range n.prober.Members() {
						assert.Equal(t, m.State, prober.Live)
					}
				}

				// Only the frozen node itself may have been held for dead, once by each other node.
				assert.Assert(t, w.counters().Deaths-deaths <= int64(size-1))
			})
		}
	}
}

// Symptom: two healthy nodes hold each other for dead and one vanishes from all answers.
// Sequence: datagrams from A to B are lost for good; those from B to A arrive; all others work.
// Cause: a verdict by one path alone.
func TestProber_OneWayCutBetweenTwo(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		w := settled(t, size, 3, uint64(size))
		before := w.counters()
		a, b := w.nodes[0], w.nodes[1]
		w.cut = func(from, to *node) bool { return from == a && to == b }
		w.run(2 * time.Minute)

		assert.Equal(t, w.counters().Deaths, before.Deaths)
		assert.Assert(t, w.state(a, b).DirectFailures > 0, "the direct path must show as broken")
		assert.Assert(t, w.complete())
	}
}

// Symptom: a node that hears nothing spreads doubts about all others.
// Sequence: everything to X is lost while X can still send; X's probes all fail.
// Cause: the doubter's own link is the broken one. X must leave the others' lists, they must stay in each other's.
func TestProber_NodeThatHearsNothing(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		w := settled(t, size, 3, uint64(size))
		x := w.nodes[2]
		w.cut = func(_, to *node) bool { return to == x }
		gone := w.runUntil(time.Minute, func() bool { return w.agreed(x, prober.Dead) })
		w.run(time.Minute)
		t.Logf("%d nodes: out after %s", size, gone)

		assert.Assert(t, gone < 10*time.Second)
		assert.Assert(t, x.prober.Isolated(w.now))

		for _, n := range w.nodes {
			if n == x {
				continue
			}

			assert.Equal(t, len(n.prober.Live(w.now)), size-1)
			assert.Assert(t, x.heldDead(n) == false, "an isolated node must hold nobody for dead")
		}

		w.cut = nil
		back := w.runUntil(time.Minute, w.complete)
		t.Logf("%d nodes: back after %s", size, back)
		assert.Assert(t, back < 20*time.Second)
	}
}

func (n *node) heldDead(other *node) bool {
	m, _ := n.prober.Member(other.vm.Name)

	return m.State == prober.Dead
}

// Symptom: a node whose datagrams are lost stays in the answers.
// Sequence: everything from X is lost while X still hears; X answers nothing.
// Cause: hearing taken for being heard.
func TestProber_NodeThatIsNotHeard(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		w := settled(t, size, 3, uint64(size))
		x := w.nodes[2]
		w.cut = func(from, _ *node) bool { return from == x }
		gone := w.runUntil(time.Minute, func() bool { return w.agreed(x, prober.Dead) })
		w.run(30 * time.Second)
		assert.Assert(t, gone < 10*time.Second)

		for _, n := range w.nodes {
			if n != x {
				assert.Assert(t, !x.heldDead(n))
			}
		}

		w.cut = nil
		assert.Assert(t, w.runUntil(time.Minute, w.complete) < 20*time.Second)
	}
}

// Symptom: callers fail on a node that comes and goes, time after time.
// Sequence: a node is cut off for 10 s and back for 15 s, six times; each return puts it into the answers at once.
// Cause: no memory of earlier returns.
func TestProber_FlappingNodeIsHeld(t *testing.T) {
	w := settled(t, 9, 3, 9)
	x := w.nodes[4]
	watcher := w.nodes[0]

	var offered []time.Duration

	for range 6 {
		w.cut = func(from, to *node) bool { return from == x || to == x }
		w.run(10 * time.Second)

		w.cut = nil

		var counted time.Duration

		for range 150 {
			w.run(tickEvery)

			if contains(watcher.prober.Live(w.now), x) {
				counted += tickEvery
			}
		}

		offered = append(offered, counted)
	}

	t.Logf("time in Live in each 15 s of connection: %v", offered)
	assert.Assert(t, offered[0] > 10*time.Second, "the first return is free")
	assert.Assert(t, offered[4] == 0 && offered[5] == 0, "a flapping node must be held back")

	back := w.runUntil(5*time.Minute, func() bool { return contains(watcher.prober.Live(w.now), x) })
	t.Logf("counted again %s after the last return", 15*time.Second+back)
	assert.Assert(t, back < 2*time.Minute)
}

func contains(members []prober.Member, n *node) bool {
	for _, m := range members {
		if m.Name == n.vm.Name {
			return true
		}
	}

	return false
}

// Symptom: during a replacement of all nodes one after another, restarted nodes stay out or others drop out.
// Sequence: each node announces its leaving, stops, and starts 3 s later with a new incarnation; then the next.
// Cause: leaving marks, death and replay numbers of the earlier run held against the new one.
func TestProber_RollingRestart(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		w := settled(t, size, 3, uint64(size))
		list := w.list()

		var slowest time.Duration

		for i, n := range w.nodes {
			w.post(n, n.prober.Leave(w.now))
			w.run(100 * time.Millisecond)
			assert.Assert(t, markedLeaving(w, n), "all must see the leaving mark at once")
			w.run(2 * time.Second)

			n.down = true
			w.run(3 * time.Second)
			w.startNode(n, processStart+int64(i+1)*60_000, list)

			slowest = max(slowest, w.runUntil(time.Minute, func() bool { return w.complete() && !markedLeaving(w, n) }))
		}

		t.Logf("%d nodes: slowest return %s", size, slowest)
		assert.Assert(t, slowest < 10*time.Second)
	}
}

func markedLeaving(w *network, of *node) bool {
	for _, n := range w.up() {
		if n != of && !w.state(n, of).Leaving {
			return false
		}
	}

	return true
}

// Symptom: a node restarted on a VM whose clock is behind never returns to the lists.
// Sequence: it stops without notice and starts with a lower incarnation; its packets look outdated.
// Cause: incarnations taken from a clock that can go back.
func TestProber_RestartWithEarlierClock(t *testing.T) {
	w := settled(t, 9, 3, 5)
	n := w.nodes[3]
	n.down = true
	w.run(20 * time.Second)
	w.startNode(n, processStart-86_400_000, w.list())
	back := w.runUntil(time.Minute, w.complete)
	t.Logf("back after %s", back)
	assert.Assert(t, back < 15*time.Second)
}

// Symptom: when a failure domain goes, healthy nodes are lost from the lists too, or the dead stay for long.
// Sequence: a third (or a twelfth) of all nodes stop at the same moment.
// Cause: too much news for the packets, and indirect probes through nodes that are gone as well.
func TestProber_FailureDomainGone(t *testing.T) {
	t.Parallel()

	for _, tt := range []struct{ size, domains int }{{9, 3}, {30, 3}, {100, 12}, {370, 12}} {
		t.Run(fmt.Sprintf("%d_of_%d", tt.size, tt.domains), func(t *testing.T) {
			t.Parallel()

			w := settled(t, tt.size, tt.domains, uint64(tt.size))
			for _, n := range w.nodes {
				if n.vm.FailureDomain == "domain-01" {
					n.down = true
				}
			}

			refutations := w.counters().Refutations
			gone := w.runUntil(time.Minute, w.complete)
			w.run(30 * time.Second)
			t.Logf("all gone after %s; false suspicions refuted: %d", gone, w.counters().Refutations-refutations)
			assert.Assert(t, gone < 20*time.Second)

			for _, n := range w.up() {
				for _, other := range w.up() {
					assert.Assert(t, !n.heldDead(other))
				}
			}

			list := w.list()
			for _, n := range w.nodes {
				if n.down {
					w.startNode(n, processStart+600_000, list)
				}
			}

			back := w.runUntil(2*time.Minute, w.complete)
			t.Logf("all back after %s", back)
			assert.Assert(t, back < 30*time.Second)
		})
	}
}

// Symptom: after two regions lost each other for an hour they stay apart.
// Sequence: no datagram passes between two halves; each holds the other for dead; the cut ends.
// Cause: dead members never probed again.
func TestProber_HalvesMeetAgain(t *testing.T) {
	w := settled(t, 30, 2, 3)
	w.cut = func(from, to *node) bool { return from.vm.FailureDomain != to.vm.FailureDomain }
	w.run(10 * time.Minute)

	for _, n := range w.nodes {
		assert.Equal(t, len(n.prober.Live(w.now)), 15)
	}

	w.cut = nil
	back := w.runUntil(2*time.Minute, w.complete)
	t.Logf("met again after %s", back)
	assert.Assert(t, back < 30*time.Second)
}

// Symptom: with a stale list, dead VMs are offered to callers, and new ones are not.
// Sequence: the platform's list stands still for 10 minutes; it names three VMs that are gone and lacks one that started.
// Cause: the list taken for the truth.
func TestProber_StaleList(t *testing.T) {
	w := newNetwork(t, 9, 3, 4)
	stale := w.list()[:8]

	for i, n := range w.nodes {
		if i < 3 {
			continue
		}

		w.startNode(n, processStart, stale)
	}

	w.run(15 * time.Second)

	for _, n := range w.nodes[3:] {
		live := n.prober.Live(w.now)
		assert.Equal(t, len(live), 6, "node %s", n.vm.Name)
		assert.Assert(t, contains(live, w.nodes[8]), "the unlisted node counts")
	}

	w.run(10 * time.Minute)

	for _, n := range w.nodes[3:] {
		assert.Equal(t, len(n.prober.Live(w.now)), 6)
	}

	// The unlisted node dies and is forgotten after DeadKeep.
	w.nodes[8].down = true
	w.run(2 * time.Minute)

	_, known := w.nodes[4].prober.Member("entry-008")
	assert.Assert(t, !known)
}

// Symptom: a node goes on getting new callers after its planned stop began.
// Sequence: SIGTERM; the mark travels only by the slow probes, or a datagram is lost.
// Cause: no announcement at once, and none repeated.
func TestProber_LeaveIsKnownAtOnce(t *testing.T) {
	t.Parallel()

	for _, size := range []int{9, 100, 370} {
		w := settled(t, size, 12, uint64(size))
		n := w.nodes[0]
		w.loss = 0.05
		w.post(n, n.prober.Leave(w.now))
		took := w.runUntil(time.Minute, func() bool { return markedLeaving(w, n) })
		t.Logf("%d nodes at 5%% loss: known to all after %s", size, took)
		assert.Assert(t, took < 5*time.Second)
	}
}

// Symptom: the last node of a site holds all others for dead though its own link is cut, or offers them for ever.
// Sequence: two of three nodes stop; nobody is left to confirm.
// Cause: one node can't tell its own cut from the death of all others.
func TestProber_LastNodeStanding(t *testing.T) {
	w := settled(t, 3, 3, 8)
	w.nodes[1].down = true
	w.nodes[2].down = true
	w.run(30 * time.Second)

	live := w.nodes[0].prober.Live(w.now)
	assert.Equal(t, len(live), 1)
	assert.Assert(t, w.nodes[0].prober.Isolated(w.now))
}

// Symptom: a booking whose node was killed is told "in progress" for ever, and dead nodes stay in the answers to callers.
// Sequence: a node starts late and refutes the suspicion of the first, which makes it patient; the first is killed;
// the late one suspects it, but before the suspicion has run out it is isolated, for nobody else answers.
// Cause: an isolated node never ended a suspicion that had begun before, so that the suspect counted as live.
func TestProber_SuspectOfIsolatedNodeIsNotCountedForEver(t *testing.T) {
	for seed := range uint64(20) {
		w := newNetwork(t, 2, 2, seed)
		w.startNode(w.nodes[0], processStart, w.list())
		w.run(1500 * time.Millisecond)
		w.startNode(w.nodes[1], processStart, w.list())
		w.run(200 * time.Millisecond)
		assert.Equal(t, w.state(w.nodes[1], w.nodes[0]).State, prober.Live)
		w.nodes[0].down = true
		w.run(15 * time.Second)

		assert.Equal(t, len(w.nodes[1].prober.Live(w.now)), 1, "seed %d: %+v", seed, w.state(w.nodes[1], w.nodes[0]))
	}
}

// Symptom: the only node that is left offers callers nodes that are gone, or holds pools and shards for them.
// Sequence: all nodes but one are killed at the same moment, in fleets of several sizes; they come back later.
// Cause: as above; here some suspicions begin before the survivor is isolated and some after.
func TestProber_LoneSurvivorCountsOnItself(t *testing.T) {
	for _, size := range []int{2, 3, 9, 30} {
		for seed := range uint64(5) {
			w := settled(t, size, 3, seed)
			for _, n := range w.nodes[1:] {
				n.down = true
			}

			gone := w.runUntil(time.Minute, func() bool { return len(w.nodes[0].prober.Live(w.now)) == 1 })
			assert.Equal(t, len(w.nodes[0].prober.Live(w.now)), 1, "size %d, seed %d", size, seed)
			t.Logf("%d nodes, seed %d: alone after %s", size, seed, gone)

			for _, n := range w.nodes[1:] {
				w.startNode(n, processStart+w.now.Sub(w.start).Milliseconds(), w.list())
			}

			w.runUntil(time.Minute, w.complete)
			assert.Assert(t, w.complete(), "size %d, seed %d", size, seed)
		}
	}
}
