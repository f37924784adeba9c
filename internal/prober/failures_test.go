package prober_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/prober"
)

// newConvergedNetwork returns a network whose nodes all see each other live and have few updates left to send.
func newConvergedNetwork(t testing.TB, size, domains int, seed uint64) *network {
	t.Helper()

	w := newNetwork(t, size, domains, seed)
	w.startAll()
	w.run(30 * time.Second)
	assert.Assert(t, w.converged())

	return w
}

// A node that is paused (SIGSTOP, SIGCONT) has expired probe timeouts while the acks are unread in its socket.
// It must not blame its peers for its own pause: healthy nodes would be missing from the answers to callers.
func TestProber_FrozenNodeDoubtsItself(t *testing.T) {
	t.Parallel()

	for _, size := range []int{3, 9, 30, 100} {
		for _, pause := range []time.Duration{1500 * time.Millisecond, 10 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%d_%s", size, pause), func(t *testing.T) {
				w := newConvergedNetwork(t, size, 3, uint64(size))
				frozen := w.nodes[1]
				before := frozen.prober.Counters()
				incarnation := frozen.prober.Self().Incarnation
				deaths := w.counters().Deaths

				frozen.frozen = true
				w.run(pause)
				w.resume(frozen)

				back := w.runUntil(time.Minute, w.converged)
				w.run(10 * time.Second)
				after := frozen.prober.Counters()
				t.Logf("converged again after %s", back)

				assert.Equal(t, after.Freezes-before.Freezes, int64(1))
				assert.Equal(t, after.Deaths, before.Deaths, "the frozen node declared a healthy one dead")
				assert.Assert(t, frozen.prober.Self().Incarnation > incarnation)
				assert.Assert(t, back < 10*time.Second)
				assert.Assert(t, w.converged())

				for _, n := range w.nodes {
					for _, m := range n.prober.Members() {
						assert.Equal(t, m.State, prober.Live)
					}
				}

				// Only the frozen node itself may have been declared dead, once by each other node.
				assert.Assert(t, w.counters().Deaths-deaths <= int64(size-1))
			})
		}
	}
}

// Datagrams from A to B are lost permanently, while those from B to A and all others arrive. A decision based on
// a single path would make healthy nodes dead and remove one from all answers.
func TestProber_OneWayCutBetweenTwo(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		w := newConvergedNetwork(t, size, 3, uint64(size))
		before := w.counters()
		a, b := w.nodes[0], w.nodes[1]
		w.cut = func(from, to *node) bool { return from == a && to == b }
		w.run(2 * time.Minute)

		assert.Equal(t, w.counters().Deaths, before.Deaths)
		assert.Assert(t, w.state(a, b).DirectFailures > 0, "the failures of the direct path must be counted")
		assert.Assert(t, w.converged())
	}
}

// Everything to X is lost while X can still send, so that all probes of X fail. X must not spread suspicions of
// the others, because its own link is down. The others must declare X dead and keep each other live.
func TestProber_NodeThatHearsNothing(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		w := newConvergedNetwork(t, size, 3, uint64(size))
		x := w.nodes[2]
		w.cut = func(_, to *node) bool { return to == x }
		gone := w.runUntil(time.Minute, func() bool { return w.allSee(x, prober.Dead) })
		w.run(time.Minute)
		t.Logf("%d nodes: dead after %s", size, gone)

		assert.Assert(t, gone < 10*time.Second)
		assert.Assert(t, x.prober.Isolated(w.now))

		for _, n := range w.nodes {
			if n == x {
				continue
			}

			assert.Equal(t, len(n.prober.Live(w.now)), size-1)
			assert.Assert(t, x.holdsDead(n) == false, "an isolated node must declare no node dead")
		}

		w.cut = nil
		back := w.runUntil(time.Minute, w.converged)
		t.Logf("%d nodes: live again after %s", size, back)
		assert.Assert(t, back < 20*time.Second)
	}
}

func (n *node) holdsDead(other *node) bool {
	m, _ := n.prober.Member(other.vm.Name)

	return m.State == prober.Dead
}

// Everything from X is lost while X still receives. That X receives packets doesn't show that its own arrive: it must be
// declared dead by the others, and must not declare them dead.
func TestProber_NodeThatIsNotHeard(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		w := newConvergedNetwork(t, size, 3, uint64(size))
		x := w.nodes[2]
		w.cut = func(from, _ *node) bool { return from == x }
		gone := w.runUntil(time.Minute, func() bool { return w.allSee(x, prober.Dead) })
		w.run(30 * time.Second)
		assert.Assert(t, gone < 10*time.Second)

		for _, n := range w.nodes {
			if n != x {
				assert.Assert(t, !x.holdsDead(n))
			}
		}

		w.cut = nil
		assert.Assert(t, w.runUntil(time.Minute, w.converged) < 20*time.Second)
	}
}

// A node is cut off for 10 s and back for 15 s, six times. If earlier returns were not remembered, each return would
// offer it to callers at once, and their requests would fail.
func TestProber_FlappingNodeIsSuppressed(t *testing.T) {
	w := newConvergedNetwork(t, 9, 3, 9)
	x := w.nodes[4]
	watcher := w.nodes[0]

	var offered []time.Duration

	for range 6 {
		w.cut = func(from, to *node) bool { return from == x || to == x }
		w.run(10 * time.Second)

		w.cut = nil

		var counted time.Duration

		for range 150 {
			w.run(tickPeriod)

			if contains(watcher.prober.Live(w.now), x) {
				counted += tickPeriod
			}
		}

		offered = append(offered, counted)
	}

	t.Logf("time in Live in each 15 s of connection: %v", offered)
	assert.Assert(t, offered[0] > 10*time.Second, "the first return must not be suppressed")
	assert.Assert(t, offered[4] == 0 && offered[5] == 0, "a flapping node must be suppressed")

	back := w.runUntil(5*time.Minute, func() bool { return contains(watcher.prober.Live(w.now), x) })
	t.Logf("in Live again %s after the last return", 15*time.Second+back)
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

// One node after another announces that it leaves, stops, and starts 3 s later with a new incarnation. The leaving
// mark, the Dead state and the replay filter of its earlier process must not apply to the new one, nor may other
// nodes drop out.
func TestProber_RollingRestart(t *testing.T) {
	for _, size := range []int{3, 9, 30} {
		w := newConvergedNetwork(t, size, 3, uint64(size))
		list := w.list()

		var slowest time.Duration

		for i, n := range w.nodes {
			w.send(n, n.prober.Leave(w.now))
			w.run(100 * time.Millisecond)
			assert.Assert(t, markedLeaving(w, n), "all nodes must see the leaving mark immediately")
			w.run(2 * time.Second)

			n.down = true
			w.run(3 * time.Second)
			w.startNode(n, processStart+int64(i+1)*60_000, list)

			slowest = max(slowest, w.runUntil(time.Minute, func() bool { return w.converged() && !markedLeaving(w, n) }))
		}

		t.Logf("%d nodes: slowest return %s", size, slowest)
		assert.Assert(t, slowest < 10*time.Second)
	}
}

func markedLeaving(w *network, of *node) bool {
	for _, n := range w.running() {
		if n != of && !w.state(n, of).Leaving {
			return false
		}
	}

	return true
}

// Incarnations come from a clock that can go backwards. A node that crashes and restarts with a lower incarnation
// sends packets that look outdated; it must still become live again.
func TestProber_RestartWithEarlierClock(t *testing.T) {
	w := newConvergedNetwork(t, 9, 3, 5)
	n := w.nodes[3]
	n.down = true
	w.run(20 * time.Second)
	w.startNode(n, processStart-86_400_000, w.list())
	back := w.runUntil(time.Minute, w.converged)
	t.Logf("live again after %s", back)
	assert.Assert(t, back < 15*time.Second)
}

// A third or a twelfth of all nodes stop at the same moment. That causes more updates than fit into the packets, and
// indirect probes through nodes that are gone too. Healthy nodes must stay live, and dead ones be detected in time.
func TestProber_FailureDomainGone(t *testing.T) {
	t.Parallel()

	for _, tt := range []struct{ size, domains int }{{9, 3}, {30, 3}, {100, 12}, {370, 12}} {
		t.Run(fmt.Sprintf("%d_of_%d", tt.size, tt.domains), func(t *testing.T) {
			t.Parallel()

			w := newConvergedNetwork(t, tt.size, tt.domains, uint64(tt.size))
			for _, n := range w.nodes {
				if n.vm.FailureDomain == "domain-01" {
					n.down = true
				}
			}

			refutations := w.counters().Refutations
			gone := w.runUntil(time.Minute, w.converged)
			w.run(30 * time.Second)
			t.Logf("all dead after %s; false suspicions refuted: %d", gone, w.counters().Refutations-refutations)
			assert.Assert(t, gone < 20*time.Second)

			for _, n := range w.running() {
				for _, other := range w.running() {
					assert.Assert(t, !n.holdsDead(other))
				}
			}

			list := w.list()
			for _, n := range w.nodes {
				if n.down {
					w.startNode(n, processStart+600_000, list)
				}
			}

			back := w.runUntil(2*time.Minute, w.converged)
			t.Logf("all live again after %s", back)
			assert.Assert(t, back < 30*time.Second)
		})
	}
}

// Two halves of the nodes, such as two regions, are partitioned for so long that each declares the other dead. After the
// partition they find each other again only if dead members are still probed.
func TestProber_HalvesMeetAgain(t *testing.T) {
	w := newConvergedNetwork(t, 30, 2, 3)
	w.cut = func(from, to *node) bool { return from.vm.FailureDomain != to.vm.FailureDomain }
	w.run(10 * time.Minute)

	for _, n := range w.nodes {
		assert.Equal(t, len(n.prober.Live(w.now)), 15)
	}

	w.cut = nil
	back := w.runUntil(2*time.Minute, w.converged)
	t.Logf("converged again after %s", back)
	assert.Assert(t, back < 30*time.Second)
}

// The platform's list is out of date for 10 minutes: it names three VMs that are gone and lacks one that started.
// Dead VMs must not be offered to callers, and the new one must be.
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
		assert.Assert(t, contains(live, w.nodes[8]), "the unlisted node must be live")
	}

	w.run(10 * time.Minute)

	for _, n := range w.nodes[3:] {
		assert.Equal(t, len(n.prober.Live(w.now)), 6)
	}

	// The unlisted node dies and is removed after DeadRetention.
	w.nodes[8].down = true
	w.run(2 * time.Minute)

	_, known := w.nodes[4].prober.Member("entry-008")
	assert.Assert(t, !known)
}

// A node that got SIGTERM must not get new callers. Its leaving mark must be sent to all nodes at once instead of only
// with the next probes, and again in case a datagram is lost.
func TestProber_LeaveIsKnownAtOnce(t *testing.T) {
	t.Parallel()

	for _, size := range []int{9, 100, 370} {
		w := newConvergedNetwork(t, size, 12, uint64(size))
		n := w.nodes[0]
		w.loss = 0.05
		w.send(n, n.prober.Leave(w.now))
		took := w.runUntil(time.Minute, func() bool { return markedLeaving(w, n) })
		t.Logf("%d nodes at 5%% loss: known to all after %s", size, took)
		assert.Assert(t, took < 5*time.Second)
	}
}

// Two of three nodes stop, so that no node is left to confirm a suspicion. The remaining node can't distinguish the
// loss of its own link from the death of all others: it must neither declare them dead nor offer them indefinitely.
func TestProber_LastRunningNode(t *testing.T) {
	w := newConvergedNetwork(t, 3, 3, 8)
	w.nodes[1].down = true
	w.nodes[2].down = true
	w.run(30 * time.Second)

	live := w.nodes[0].prober.Live(w.now)
	assert.Equal(t, len(live), 1)
	assert.Assert(t, w.nodes[0].prober.Isolated(w.now))
}

// An isolated node never ended a suspicion that had begun before its isolation, so that the suspect counted as live: a
// booking whose node was killed was reported as "in progress" indefinitely, and dead nodes were offered to callers.
// Here a node starts late and refutes a suspicion by the first, which lengthens its timeouts. The first is then killed,
// and the late one is isolated before its suspicion of the first expires.
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

// All nodes except one are killed at the same moment, and return later. The survivor must not offer the dead nodes to
// callers, nor keep pools and shards for them. Some of its suspicions begin before it is isolated, and some after.
func TestProber_LoneSurvivorCountsOnItself(t *testing.T) {
	for _, size := range []int{2, 3, 9, 30} {
		for seed := range uint64(5) {
			w := newConvergedNetwork(t, size, 3, seed)
			for _, n := range w.nodes[1:] {
				n.down = true
			}

			gone := w.runUntil(time.Minute, func() bool { return len(w.nodes[0].prober.Live(w.now)) == 1 })
			assert.Equal(t, len(w.nodes[0].prober.Live(w.now)), 1, "size %d, seed %d", size, seed)
			t.Logf("%d nodes, seed %d: survivor alone in Live after %s", size, seed, gone)

			for _, n := range w.nodes[1:] {
				w.startNode(n, processStart+w.now.Sub(w.start).Milliseconds(), w.list())
			}

			w.runUntil(time.Minute, w.converged)
			assert.Assert(t, w.converged(), "size %d, seed %d", size, seed)
		}
	}
}
