package prober_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/prober"
)

// healBound is the longest time for which a live and reachable node may be missing from a list.
const healBound = 20 * time.Second

// watcher checks on the way that no incarnation goes back.
type watcher struct {
	t *rapid.T
	w *network
	// known holds the incarnation of a node as seen by another in one of its runs.
	known map[view]int64
}

type view struct {
	at  string
	run int
	of  string
}

func (c *watcher) look() bool {
	for _, n := range c.w.up() {
		for _, m := range n.prober.Members() {
			key := view{at: n.vm.Name, run: n.run, of: m.Name}
			if m.Incarnation < c.known[key] {
				c.t.Fatalf("%s saw %s go back from %d to %d", key.at, key.of, c.known[key], m.Incarnation)
			}

			c.known[key] = m.Incarnation
		}
	}

	return false
}

// Symptom: a live node stays out of the answers, or an old state comes back.
// Sequence: any mix of loss, cuts in one direction, freezes, crashes and restarts (also with an earlier clock), then peace.
// Cause: news that outlives a refutation, or a refutation that never arrives.
func TestProber_LiveNodesAreSeenAndIncarnationsGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 9).Draw(t, "nodes")
		w := newNetwork(t, size, 3, rapid.Uint64().Draw(t, "seed"))
		c := &watcher{t: t, w: w, known: make(map[view]int64)}
		list := w.list()
		cuts := make(map[[2]string]bool)
		w.cut = func(from, to *node) bool { return cuts[[2]string{from.vm.Name, to.vm.Name}] }
		w.startAll()
		w.run(10 * time.Second)

		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			n := w.nodes[rapid.IntRange(0, size-1).Draw(t, "node")]
			other := w.nodes[rapid.IntRange(0, size-1).Draw(t, "other")]
			fault(t, w, n, other, cuts, list)
			w.runUntil(time.Duration(rapid.IntRange(100, 15000).Draw(t, "wait_ms"))*time.Millisecond, c.look)
		}

		w.loss = 0
		clear(cuts)

		for _, n := range w.nodes {
			if n.down {
				w.startNode(n, processStart+1_000_000, list)
			}

			if n.frozen {
				w.thaw(n)
			}
		}

		if took := w.runUntil(healBound, func() bool { c.look(); return w.complete() }); took >= healBound {
			t.Fatalf("not all nodes see each other live after %s", took)
		}
	})
}

func fault(t *rapid.T, w *network, n, other *node, cuts map[[2]string]bool, list []prober.VM) {
	switch rapid.SampledFrom([]string{"loss", "cut", "mend", "freeze", "thaw", "crash", "restart", "leave"}).Draw(t, "fault") {
	case "loss":
		w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
	case "cut":
		cuts[[2]string{n.vm.Name, other.vm.Name}] = true
	case "mend":
		clear(cuts)
	case "freeze":
		n.frozen = !n.down
	case "thaw":
		if n.frozen {
			w.thaw(n)
		}
	case "crash":
		n.down = true
	case "restart":
		offset := rapid.Int64Range(-100_000, 100_000).Draw(t, "clock")
		w.startNode(n, processStart+offset, list)
	case "leave":
		if !n.down && !n.frozen {
			w.post(n, n.prober.Leave(w.now))
		}
	}
}

// Symptom: healthy nodes are held for dead on a bad network.
// Sequence: up to 5% of datagrams lost for a minute, and one node frozen for some of it.
// Cause: doubt that is not refuted in time. Only the frozen node may be held for dead.
func TestProber_NoFalseDeathUnderLossAndFreeze(t *testing.T) {
	for seed := range uint64(20) {
		w := newNetwork(t, 9, 3, seed)
		w.startAll()
		w.run(10 * time.Second)

		w.loss = 0.05
		w.nodes[0].frozen = true
		w.run(time.Duration(seed) * time.Second)
		w.thaw(w.nodes[0])
		w.runUntil(time.Minute, func() bool {
			for _, n := range w.nodes {
				for _, other := range w.nodes[1:] {
					assert.Assert(t, !n.heldDead(other))
				}
			}

			return false
		})
		assert.Assert(t, !w.nodes[1].heldDead(w.nodes[0]))
	}
}
