package prober_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/prober"
)

// figures are the measurements at one fleet size.
type figures struct {
	size int
	// startup is the time from the first start until each node sees all others live.
	startup time.Duration
	// Steady-state traffic per second, averaged over the nodes.
	sentBytes, totalBytes, sentMessages float64
	largest                             int
	// startBytes is the bytes sent and received per second during startup, averaged over the nodes.
	startBytes float64
	// Times from a crash until the first node and until all nodes suspect the node, and until half and all consider it dead.
	suspected, suspectedByAll, deadAtHalf, deadAtAll []time.Duration
}

const crashes = 5

func measure(t testing.TB, size int) figures {
	w := newNetwork(t, size, 12, uint64(size))
	w.startAll()

	f := figures{size: size}
	f.startup = w.runUntil(5*time.Minute, func() bool { return len(w.running()) == size && w.converged() })
	f.measureStart(w)
	w.run(90 * time.Second)
	f.measureSteady(w, 30*time.Second)

	for i := range min(crashes, size-2) {
		f.measureCrash(w, w.nodes[i])
		w.run(10 * time.Second)
	}

	return f
}

func (f *figures) measureStart(w *network) {
	for _, n := range w.nodes {
		f.startBytes += float64(n.sent.bytes+n.received.bytes) / float64(f.size) / f.startup.Seconds()
	}
}

func (f *figures) measureSteady(w *network, length time.Duration) {
	for _, n := range w.nodes {
		n.sent = traffic{}
		n.received = traffic{}
	}

	w.run(length)

	scale := float64(f.size) * length.Seconds()

	for _, n := range w.nodes {
		f.sentBytes += float64(n.sent.bytes) / scale
		f.totalBytes += float64(n.sent.bytes+n.received.bytes) / scale
		f.sentMessages += float64(n.sent.messages) / scale
		f.largest = max(f.largest, n.sent.largest)
	}
}

func (f *figures) measureCrash(w *network, n *node) {
	n.down = true
	died := w.now

	share := func(least prober.State) float64 {
		up := w.running()
		count := 0

		for _, v := range up {
			if w.state(v, n).State >= least {
				count++
			}
		}

		return float64(count) / float64(len(up))
	}

	w.runUntil(time.Minute, func() bool { return share(prober.Suspect) > 0 })
	f.suspected = append(f.suspected, w.now.Sub(died))
	w.runUntil(time.Minute, func() bool { return share(prober.Suspect) == 1 })
	f.suspectedByAll = append(f.suspectedByAll, w.now.Sub(died))
	w.runUntil(time.Minute, func() bool { return share(prober.Dead) >= 0.5 })
	f.deadAtHalf = append(f.deadAtHalf, w.now.Sub(died))
	w.runUntil(time.Minute, func() bool { return share(prober.Dead) == 1 })
	f.deadAtAll = append(f.deadAtAll, w.now.Sub(died))
}

func median(list []time.Duration) float64 {
	list = slices.Sorted(slices.Values(list))

	return list[len(list)/2].Seconds()
}

func worst(list []time.Duration) float64 {
	return slices.Max(list).Seconds()
}

func TestProber_Figures(t *testing.T) {
	t.Parallel()

	var table strings.Builder

	fmt.Fprintln(&table, "nodes | all seen after start s | B/s until then | sent B/s | sent+received B/s | sent messages/s | largest B | crash: suspected s median/worst | suspected by all s | dead at half s | dead at all s")

	sizes := []int{3, 9, 30, 100, 370}
	rows := make([]figures, len(sizes))

	t.Run("sizes", func(t *testing.T) {
		for i, size := range sizes {
			t.Run(strconv.Itoa(size), func(t *testing.T) {
				t.Parallel()

				rows[i] = measure(t, size)
			})
		}
	})

	for _, f := range rows {
		fmt.Fprintf(&table, "%d | %.1f | %.0f | %.0f | %.0f | %.2f | %d | %.1f / %.1f | %.1f / %.1f | %.1f / %.1f | %.1f / %.1f\n",
			f.size, f.startup.Seconds(), f.startBytes, f.sentBytes, f.totalBytes, f.sentMessages, f.largest,
			median(f.suspected), worst(f.suspected), median(f.suspectedByAll), worst(f.suspectedByAll), median(f.deadAtHalf), worst(f.deadAtHalf), median(f.deadAtAll), worst(f.deadAtAll))

		assert.Check(t, f.totalBytes < 1000, "the traffic in both directions with headers must stay under a third of 3 KB/s")
		assert.Check(t, worst(f.suspectedByAll) < 8, "all nodes must suspect a crashed node in time, so that it is offered after all others")
		assert.Check(t, worst(f.deadAtAll) < 10, "all nodes must consider a crashed node dead in time")
		assert.Check(t, f.startup < 30*time.Second)
	}

	t.Log("\n" + table.String())
	golden.Assert(t, table.String(), "figures.golden")
}

func TestProber_LossFigures(t *testing.T) {
	t.Parallel()

	var table strings.Builder

	fmt.Fprintln(&table, "nodes | loss | suspicions a node and minute | false deaths seen | probes failed of sent")

	sizes := []int{3, 9, 30, 100, 370}
	losses := []float64{0.01, 0.05, 0.1}
	rows := make([]string, len(sizes)*len(losses))

	t.Run("sizes", func(t *testing.T) {
		for i := range rows {
			t.Run(strconv.Itoa(i), func(t *testing.T) {
				t.Parallel()

				rows[i] = lossRow(t, sizes[i/len(losses)], losses[i%len(losses)])
			})
		}
	})

	table.WriteString(strings.Join(rows, ""))
	t.Log("\n" + table.String())
	golden.Assert(t, table.String(), "loss.golden")
}

func lossRow(t testing.TB, size int, loss float64) string {
	w := newNetwork(t, size, 12, uint64(size))
	w.startAll()
	w.run(20 * time.Second)

	before := w.counters()
	w.loss = loss
	w.run(time.Minute)

	c := w.counters()
	deaths := c.Deaths - before.Deaths
	assert.Check(t, deaths == 0, "packet loss alone must not make a live node dead")

	return fmt.Sprintf("%d | %.2f | %.3f | %d | %d of %d\n", size, loss,
		float64(c.Suspicions-before.Suspicions)/float64(size), deaths,
		c.ProbesFailed-before.ProbesFailed, c.ProbesSent-before.ProbesSent)
}

// BenchmarkProber_NodeSecond measures the processor time that one node of 370 needs per second, including the codec.
func BenchmarkProber_NodeSecond(b *testing.B) {
	w := newNetwork(b, 370, 12, 1)
	w.startAll()
	w.run(time.Minute)
	b.ReportAllocs()

	for b.Loop() {
		w.run(time.Second)
	}

	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/370, "ns/node_second")
}
