package ejector

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/seeder"
)

var start = time.Date(2026, time.March, 12, 8, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	seeder.SetSeed("20260312")
	os.Exit(m.Run())
}

// poolSimulation feeds an ejector with the noisy latencies of one pool, on a fake clock.
type poolSimulation struct {
	ejector *Ejector
	now     time.Time
	random  *rand.Rand
	names   []string
}

func newPoolSimulation(size int) *poolSimulation {
	b := &poolSimulation{ejector: New(Options{}), now: start, random: rand.New(rand.NewPCG(1, 2))}

	for i := range size {
		b.names = append(b.names, fmt.Sprintf("u%02d", i))
	}

	b.ejector.SetMembers("s", b.names)

	return b
}

// run observes perSecond samples a second for each upstream, reduced by its weight, with its latencies multiplied by factor.
func (b *poolSimulation) run(duration time.Duration, perSecond int, factor func(i int) float64) {
	for end := b.now.Add(duration); b.now.Before(end); b.now = b.now.Add(time.Second / time.Duration(perSecond)) {
		for i, name := range b.names {
			if b.random.Float64() >= b.weight(i) {
				continue
			}

			first := 300 * factor(i) * math.Exp(0.6*b.random.NormFloat64())
			gap := 30 * factor(i) * math.Exp(0.3*b.random.NormFloat64())
			class := fmt.Sprintf("c%d", b.random.IntN(2))
			b.ejector.ObserveLatency(b.now, Source{"s", class, name}, millis(first), millis(gap))
		}
	}
}

func millis(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

func (b *poolSimulation) observeResult(i int, result dispatcher.Result) {
	b.ejector.ObserveResult(b.now, Source{"s", "c0", b.names[i]}, dispatcher.Outcome{Result: result})
}

func (b *poolSimulation) weight(i int) float64 {
	return b.ejector.Weight(b.now, "s", b.names[i])
}

func (b *poolSimulation) ejected() int {
	count := 0

	for i := range b.names {
		if b.weight(i) == 0 {
			count++
		}
	}

	return count
}

// One engine runs at a fifth of its speed while its load report stays normal. If upstreams are chosen by load reports alone, its
// requests take five times as long while the other upstreams idle.
func TestStragglerIsEjected(t *testing.T) {
	b := newPoolSimulation(12)
	straggler := func(i int) float64 {
		if i == 3 {
			return 5
		}

		return 1
	}

	b.run(10*time.Second, 2, func(int) float64 { return 1 })
	assert.Equal(t, b.ejected(), 0)

	for b.weight(3) > 0 && b.now.Before(start.Add(30*time.Second)) {
		b.run(time.Second, 2, straggler)
	}

	t.Logf("ejected after %s", b.now.Sub(start)-10*time.Second)
	assert.Assert(t, b.now.Before(start.Add(20*time.Second)))
	assert.Equal(t, b.ejected(), 1)

	b.run(5*time.Minute, 2, straggler)
	assert.Equal(t, b.ejector.Counts()["ejected_failed"], int64(0))
	assert.Assert(t, b.ejector.Counts()["ejected_slow"] >= 4, "still slow after each probation")
}

// Latencies are noisy, then a burst slows down the whole pool or half of it. With a fixed limit instead of the pool's median, or
// with unlimited ejections, healthy upstreams would be ejected and the rest would be overloaded.
func TestOverloadedPoolIsLeftAlone(t *testing.T) {
	tests := map[string]func(i int) float64{
		"noise alone":  func(int) float64 { return 1 },
		"uneven load":  func(i int) float64 { return 1 + float64(i)/12 },
		"all are slow": func(int) float64 { return 5 },
		"half is slow": func(i int) float64 { return 1 + 4*float64(i%2) },
		"five of 12":   func(i int) float64 { return 1 + 4*float64(i/7) },
	}

	for name, factor := range tests {
		t.Run(name, func(t *testing.T) {
			b := newPoolSimulation(12)
			b.run(time.Minute, 3, func(int) float64 { return 1 })
			b.run(5*time.Minute, 3, factor)

			assert.Equal(t, b.ejector.Counts()["ejected_slow"], int64(0))
		})
	}
}

// All attempts on a crashed upstream fail until it is back. If failures were not remembered, requests would keep going to it, and
// each would cost a retry; if it were readmitted with its full weight, it would be overloaded.
func TestFailuresEjectAndReadmissionIsSlow(t *testing.T) {
	b := newPoolSimulation(6)

	b.observeResult(0, dispatcher.ResultFailed)
	b.observeResult(0, dispatcher.ResultSilent)
	b.observeResult(0, dispatcher.ResultDone)
	b.observeResult(0, dispatcher.ResultNotSent)
	b.observeResult(0, dispatcher.ResultRefused)
	b.observeResult(0, dispatcher.ResultNotSent)
	assert.Equal(t, b.weight(0), 1.0)

	b.observeResult(0, dispatcher.ResultNotSent)
	assert.Equal(t, b.weight(0), 0.0)

	b.now = b.now.Add(5 * time.Second)
	assert.Equal(t, b.weight(0), 0.05)

	late := dispatcher.Outcome{Result: dispatcher.ResultFailed, Duration: 8 * time.Second}
	b.ejector.ObserveResult(b.now, Source{"s", "c0", "u00"}, late)
	assert.Equal(t, b.weight(0), 0.05, "the attempt began before the ejection")

	b.observeResult(0, dispatcher.ResultFailed)
	b.now = b.now.Add(9 * time.Second)
	assert.Equal(t, b.weight(0), 0.0, "the second ejection is twice as long")

	last := 0.0

	for range 31 {
		b.now = b.now.Add(time.Second)
		assert.Assert(t, b.weight(0) > last)
		last = b.weight(0)
	}

	assert.Equal(t, last, 1.0)
}

// Two of six upstreams are ejected as stragglers, which is the maximum, and a third one crashes. If all ejections counted alike
// towards the maximum, the crashed upstream would stay in use.
func TestFailureDisplacesStraggler(t *testing.T) {
	b := newPoolSimulation(6)

	for b.ejected() < 2 && b.now.Before(start.Add(time.Minute)) {
		b.run(time.Second, 4, func(i int) float64 { return 1 + 4*float64(i/4) })
	}

	assert.Equal(t, b.ejected(), 2)

	for range 3 {
		b.observeResult(0, dispatcher.ResultNotSent)
	}

	assert.Equal(t, b.weight(0), 0.0)
	assert.Equal(t, b.ejected(), 2)
}

func TestNeverMoreThanAThird(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newPoolSimulation(rapid.IntRange(1, 32).Draw(t, "size"))
		slowdowns := rapid.SliceOfN(rapid.Float64Range(0.2, 20), len(b.names), len(b.names)).Draw(t, "factors")

		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(b.names)-1).Draw(t, "upstream")

			for range rapid.IntRange(0, 4).Draw(t, "ends") {
				b.observeResult(i, dispatcher.Result(rapid.IntRange(0, 7).Draw(t, "result")))
			}

			b.run(time.Second, rapid.IntRange(1, 4).Draw(t, "per_second"), func(i int) float64 { return slowdowns[i] })
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Second)

			assert.Assert(t, b.ejected() <= len(b.names)/3)

			for i := range b.names {
				assert.Assert(t, b.weight(i) >= 0 && b.weight(i) <= 1)
			}
		}
	})
}

func BenchmarkSample(b *testing.B) {
	for _, size := range []int{4, 32} {
		b.Run(fmt.Sprintf("servers_%d", size), func(b *testing.B) {
			pool := newPoolSimulation(size)
			pool.run(10*time.Second, 10, func(int) float64 { return 1 })
			b.ReportAllocs()

			for i := 0; b.Loop(); i++ {
				pool.now = pool.now.Add(10 * time.Millisecond)
				pool.ejector.ObserveLatency(pool.now, Source{"s", "c0", pool.names[i%size]}, time.Second, time.Millisecond)
			}
		})
	}
}

func BenchmarkWeight(b *testing.B) {
	pool := newPoolSimulation(32)
	b.ReportAllocs()

	for b.Loop() {
		pool.weight(7)
	}
}
