package prober_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/prober"
)

// maxRecoveryTime is the longest time for which a live and reachable node may be missing from the view of another.
const maxRecoveryTime = 20 * time.Second

// incarnationChecker checks during a run that no incarnation decreases.
type incarnationChecker struct {
	t *rapid.T
	w *network
	// known has the last incarnation of a node as seen by one process of another.
	known map[observation]int64
}

type observation struct {
	at  string
	run int
	of  string
}

func (c *incarnationChecker) check() bool {
	for _, n := range c.w.running() {
		for _, m := range n.prober.Members() {
			key := observation{at: n.vm.Name, run: n.run, of: m.Name}
			if m.Incarnation < c.known[key] {
				c.t.Fatalf("%s saw the incarnation of %s decrease from %d to %d", key.at, key.of, c.known[key], m.Incarnation)
			}

			c.known[key] = m.Incarnation
		}
	}

	return false
}

// After any mix of loss, one-way cuts, freezes, crashes and restarts (also with an earlier clock), a live node must not
// stay out of the answers, nor an old state return. That would happen if an update outlived its refutation, or if a
// refutation never arrived.
func TestProber_LiveNodesAreSeenAndIncarnationsGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 9).Draw(t, "nodes")
		w := newNetwork(t, size, 3, rapid.Uint64().Draw(t, "seed"))
		c := &incarnationChecker{t: t, w: w, known: make(map[observation]int64)}
		list := w.list()
		cuts := make(map[[2]string]bool)
		w.cut = func(from, to *node) bool { return cuts[[2]string{from.vm.Name, to.vm.Name}] }
		w.startAll()
		w.run(10 * time.Second)

		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			n := w.nodes[rapid.IntRange(0, size-1).Draw(t, "node")]
			other := w.nodes[rapid.IntRange(0, size-1).Draw(t, "other")]
			injectFault(t, w, n, other, cuts, list)
			w.runUntil(time.Duration(rapid.IntRange(100, 15000).Draw(t, "wait_ms"))*time.Millisecond, c.check)
		}

		w.loss = 0
		clear(cuts)

		for _, n := range w.nodes {
			if n.down {
				w.startNode(n, processStart+1_000_000, list)
			}

			if n.frozen {
				w.resume(n)
			}
		}

		if took := w.runUntil(maxRecoveryTime, func() bool { c.check(); return w.converged() }); took >= maxRecoveryTime {
			t.Fatalf("not all nodes see each other live after %s", took)
		}
	})
}

func injectFault(t *rapid.T, w *network, n, other *node, cuts map[[2]string]bool, list []prober.VM) {
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
			w.resume(n)
		}
	case "crash":
		n.down = true
	case "restart":
		offset := rapid.Int64Range(-100_000, 100_000).Draw(t, "clock")
		w.startNode(n, processStart+offset, list)
	case "leave":
		if !n.down && !n.frozen {
			w.send(n, n.prober.Leave(w.now))
		}
	}
}

// With 5% of datagrams lost and one node frozen for up to 19 s, all suspicions of healthy nodes must be refuted in time.
// Only the frozen node may be declared dead.
func TestProber_NoFalseDeathUnderLossAndFreeze(t *testing.T) {
	for seed := range uint64(20) {
		w := newNetwork(t, 9, 3, seed)
		w.startAll()
		w.run(10 * time.Second)

		w.loss = 0.05
		w.nodes[0].frozen = true
		w.run(time.Duration(seed) * time.Second)
		w.resume(w.nodes[0])
		w.runUntil(time.Minute, func() bool {
			for _, n := range w.nodes {
				for _, other := range w.nodes[1:] {
					assert.Assert(t, !n.holdsDead(other))
				}
			}

			return false
		})
		assert.Assert(t, !w.nodes[1].holdsDead(w.nodes[0]))
	}
}
