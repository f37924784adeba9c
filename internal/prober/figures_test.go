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

// figures are the measurements at one size.
type figures struct {
	size int
	// startup is the time from the first start until every node sees all others live.
	startup time.Duration
	// steady traffic of the mean node, in one second.
	sentBytes, bothBytes, sentMessages float64
	largest                            int
	// startBytes is what the mean node sent and received a second from the start until all were seen.
	startBytes float64
	// times from a crash: until the first node and until all suspect, until half and all of the nodes hold it for dead.
	suspected, doubted, half, all []time.Duration
}

const crashes = 5

func measure(t testing.TB, size int) figures {
	w := newNetwork(t, size, 12, uint64(size))
	w.startAll()

	f := figures{size: size}
	f.startup = w.runUntil(5*time.Minute, func() bool { return len(w.up()) == size && w.complete() })
	f.busiest(w)
	w.run(90 * time.Second)
	f.steady(w, 30*time.Second)

	for i := range min(crashes, size-2) {
		f.crash(w, w.nodes[i])
		w.run(10 * time.Second)
	}

	return f
}

func (f *figures) busiest(w *network) {
	for _, n := range w.nodes {
		f.startBytes += float64(n.sent.bytes+n.got.bytes) / float64(f.size) / f.startup.Seconds()
	}
}

func (f *figures) steady(w *network, length time.Duration) {
	for _, n := range w.nodes {
		n.sent = traffic{}
		n.got = traffic{}
	}

	w.run(length)

	scale := float64(f.size) * length.Seconds()

	for _, n := range w.nodes {
		f.sentBytes += float64(n.sent.bytes) / scale
		f.bothBytes += float64(n.sent.bytes+n.got.bytes) / scale
		f.sentMessages += float64(n.sent.messages) / scale
		f.largest = max(f.largest, n.sent.largest)
	}
}

func (f *figures) crash(w *network, n *node) {
	n.down = true
	died := w.now

	share := func(least prober.State) float64 {
		up := w.up()
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
	f.doubted = append(f.doubted, w.now.Sub(died))
	w.runUntil(time.Minute, func() bool { return share(prober.Dead) >= 0.5 })
	f.half = append(f.half, w.now.Sub(died))
	w.runUntil(time.Minute, func() bool { return share(prober.Dead) == 1 })
	f.all = append(f.all, w.now.Sub(died))
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
			f.size, f.startup.Seconds(), f.startBytes, f.sentBytes, f.bothBytes, f.sentMessages, f.largest,
			median(f.suspected), worst(f.suspected), median(f.doubted), worst(f.doubted), median(f.half), worst(f.half), median(f.all), worst(f.all))

		assert.Check(t, f.bothBytes < 1000, "the cost must stay under a third of 3 KB/s, both directions with headers")
		assert.Check(t, worst(f.doubted) < 8, "a crashed node must move behind all others in time")
		assert.Check(t, worst(f.all) < 10, "a crashed node must leave every list in time")
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
	assert.Check(t, deaths == 0, "loss alone must make no live node dead")

	return fmt.Sprintf("%d | %.2f | %.3f | %d | %d of %d\n", size, loss,
		float64(c.Suspicions-before.Suspicions)/float64(size), deaths,
		c.ProbesFailed-before.ProbesFailed, c.ProbesSent-before.ProbesSent)
}

// BenchmarkProber_NodeSecond is the processor time that one node of 370 needs for one second, codec included.
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
