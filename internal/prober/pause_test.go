package prober_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/prober"
)

// resumeLate resumes a node whose timers run before it reads what arrived.
func (w *network) resumeLate(n *node) {
	w.send(n, n.prober.Tick(w.now))
	w.resume(n)
}

// runToProbe runs until the node has just sent a probe.
func (w *network) runToProbe(n *node) {
	for sent := n.prober.Counters().ProbesSent; n.prober.Counters().ProbesSent == sent; {
		w.run(time.Millisecond)
	}
}

// Guards against a node that suspects its peers because it stood still for less than a second, and found the time for their acks
// over before it read them.
func TestProber_ShortPauseBlamesNoPeer(t *testing.T) {
	t.Parallel()

	for _, pause := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()

			w := newConvergedNetwork(t, 9, 3, 1)
			before := w.nodes[1].prober.Counters()

			for range 20 {
				w.runToProbe(w.nodes[1])
				w.nodes[1].frozen = true
				w.run(pause)
				w.resumeLate(w.nodes[1])
				w.run(time.Second)
			}

			after := w.nodes[1].prober.Counters()
			assert.Equal(t, after.ProbesFailed-before.ProbesFailed, int64(0))
			assert.Equal(t, after.Suspicions-before.Suspicions, int64(0))
		})
	}
}

// Guards against a node that declares a peer dead because it stood still for less than a second while the peer's refutation lay
// unread.
func TestProber_ShortPauseDeclaresNoSuspectDead(t *testing.T) {
	t.Parallel()

	for _, size := range []int{3, 9} {
		for offset := 100 * time.Millisecond; offset <= time.Second; offset += 100 * time.Millisecond {
			t.Run(fmt.Sprintf("%d_%s", size, offset), func(t *testing.T) {
				w := newConvergedNetwork(t, size, 3, 1)
				w.nodes[0].frozen = true
				w.runUntil(10*time.Second, func() bool { return w.state(w.nodes[1], w.nodes[0]).State == prober.Suspect })
				w.run(offset)

				assert.Equal(t, w.state(w.nodes[1], w.nodes[0]).State, prober.Suspect)

				w.nodes[1].frozen = true
				w.run(50 * time.Millisecond)
				w.resume(w.nodes[0])
				w.run(850 * time.Millisecond)
				w.resumeLate(w.nodes[1])
				assert.Equal(t, w.nodes[1].prober.Counters().Deaths, int64(0))
				w.run(2 * time.Second)
				assert.Equal(t, w.state(w.nodes[1], w.nodes[0]).State, prober.Live)
			})
		}
	}
}

// Guards against a node that omits a peer which it only suspects by itself because it stood still, and is asked for its peers
// before it noticed.
func TestProber_PauseOmitsNoPeer(t *testing.T) {
	t.Parallel()

	w := newConvergedNetwork(t, 3, 3, 1)
	w.cut = func(from, to *node) bool { return from == w.nodes[1] || to == w.nodes[1] }
	w.runUntil(10*time.Second, func() bool {
		for _, m := range w.nodes[1].prober.Members() {
			if m.LocalSuspicion {
				return true
			}
		}

		return false
	})

	live := len(w.nodes[1].prober.Live(w.now))
	w.nodes[1].frozen = true
	w.run(5 * time.Second)
	assert.Equal(t, len(w.nodes[1].prober.Live(w.now)), live)
}
