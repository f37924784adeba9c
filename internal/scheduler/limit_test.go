package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
)

// batchEngine simulates a pool with one engine that runs at most maxRunning requests, by priority;
// each running answer slows the others.
type batchEngine struct {
	pool       *Pool
	now        time.Time
	maxRunning int
	gap        time.Duration
	jobs       []*job
	next       int
	// unevenPrompts makes every fourth prompt four times as long.
	unevenPrompts bool
}

type job struct {
	grant, class string
	priority     int
	sent, first  time.Time
	prefill      time.Duration
	// done and length are tokens.
	done, length float64
}

var shapes = map[string]struct {
	length  float64
	prefill time.Duration
}{
	"counter": {20, 20 * time.Millisecond},
	"chat":    {100, 60 * time.Millisecond},
	"notes":   {200, 200 * time.Millisecond},
}

func (b *batchEngine) submit(class string) {
	b.next++
	b.take(b.pool.Submit(b.now, ask(fmt.Sprintf("%s-%d", class, b.next), class)))
}

func (b *batchEngine) take(decisions []Decision) {
	for _, d := range decisions {
		if d.Kind != Grant {
			continue
		}

		class := b.pool.grants[d.GrantID].class.settings.Name
		shape := shapes[class]
		if b.unevenPrompts && len(b.jobs)%4 == 0 {
			shape.prefill *= 4
		}

		b.jobs = append(b.jobs, &job{grant: d.GrantID, class: class, priority: d.Priority, sent: b.now, prefill: shape.prefill, length: shape.length})
	}
}

// running returns the jobs that the engine works on: the first by priority and arrival.
func (b *batchEngine) running() []*job {
	var chosen []*job

	for priority := highestTier; priority <= lowestTier; priority++ {
		for _, j := range b.jobs {
			if j.priority == priority && len(chosen) < b.maxRunning {
				chosen = append(chosen, j)
			}
		}
	}

	return chosen
}

// step advances the time and reports the jobs that ended.
func (b *batchEngine) step(d time.Duration) {
	b.now = b.now.Add(d)
	running := b.running()
	gap := float64(b.gap) * (1 + 0.04*float64(len(running)-1))

	for _, j := range running {
		if j.prefill > 0 {
			j.prefill -= d

			continue
		}

		j.done += float64(d) / gap
		if j.first.IsZero() && j.done >= 1 {
			j.first = b.now
		}
	}

	for i := 0; i < len(b.jobs); i++ {
		if j := b.jobs[i]; j.done >= j.length {
			b.jobs = append(b.jobs[:i], b.jobs[i+1:]...)
			i--

			b.finish(j)
		}
	}

	if due := b.pool.NextTick(); !due.IsZero() && !due.After(b.now) {
		b.take(b.pool.Tick(b.now))
	}
}

func (b *batchEngine) finish(j *job) {
	whole, first := b.now.Sub(j.sent), j.first.Sub(j.sent)
	b.take(b.pool.Finish(b.now, j.grant, Report{
		Result:     dispatcher.ResultDone,
		FirstToken: first,
		TokenGap:   (whole - first) / time.Duration(j.length-1),
		Tokens:     int(j.length),
		Duration:   whole,
	}))
}

// overload keeps all classes waiting for the duration and returns the number of completed answers by
// class.
func (b *batchEngine) overload(length time.Duration) map[string]int {
	for until := b.now.Add(length); b.now.Before(until); b.step(5 * time.Millisecond) {
		for _, class := range []string{"chat", "notes"} {
			for b.pool.byClass[class].total < 3 {
				b.submit(class)
			}
		}

		if b.now.Sub(epoch)%(500*time.Millisecond) == 0 {
			b.submit("counter")
		}
	}

	ended := map[string]int{}
	for _, c := range b.pool.classes {
		ended[c.settings.Name] = c.duration.samples
	}

	return ended
}

func newBatchEngine(slots, most int) *batchEngine {
	service := withClass(testService(1, slots), "notes", func(c *configurer.Class) { c.GuaranteedShare = 0.2 })
	service = withClass(service, "chat", func(c *configurer.Class) { c.MaxWait = time.Hour })

	return &batchEngine{pool: New(service, Options{NoPredictiveRefusals: true, EnginePriority: true}), now: epoch, maxRunning: most, gap: 20 * time.Millisecond}
}

// Guards against notes that finish a third of their share while the limit grows to three times what
// the engine runs. The full engine queues by priority, so counter and chat answers still start at once
// and each raised the limit; granted notes wait inside the engine behind all others. Answers of higher
// tiers don't reveal an engine's queue.
func TestLimitStaysNearEngineCapacity(t *testing.T) {
	b := newBatchEngine(8, 8)
	ended := b.overload(10 * time.Minute)
	limit := b.pool.Stats().Limit["e01"]
	assert.Assert(t, limit >= 7 && limit <= 10, "limit %d", limit)
	assert.Assert(t, ended["notes"] > 50, "%v", ended)
}

// Guards against a limit of 32 and counter answers at 45 ms per token after minutes of overload. All
// answers are slow for long, so the fastest known time rises and nothing counts as slow. The estimate
// for an empty server must not follow the number of samples.
func TestLongOverloadDoesNotRaiseFastestGap(t *testing.T) {
	b := newBatchEngine(8, 256)
	b.overload(15 * time.Minute)
	limit := b.pool.Stats().Limit["e01"]
	assert.Assert(t, limit >= 18 && limit <= 25, "limit %d", limit)

	// The first answers ran 8 at once: 25.6 ms per token.
	fastest := b.pool.gaps.fastest.value
	assert.Assert(t, fastest < 0.030, "%.4f s counts as fast", fastest)
}

// Guards against an engine that can run 16 requests running only 6 after a minute of overload. Prompts
// differ in length; the first token of a long one looks like a queue in the engine and took back what
// was learned; the limit then rose by one per round from the slots of the settings. The search was as
// slow as the later adjustment, and a single answer had too much weight.
func TestLimitReachesEngineCapacityWithinAMinute(t *testing.T) {
	b := newBatchEngine(4, 16)
	b.unevenPrompts = true
	b.overload(time.Minute)

	limit := b.pool.Stats().Limit["e01"]
	assert.Assert(t, limit >= 13 && limit <= 20, "limit %d", limit)
}

// Guards against refusing a counter lookup after it met three failed servers in 7 ms. A third of the
// servers fails; each one reopens after its first close time as the emptiest server, and tier 1 tried
// it like any other.
func TestTierOneAvoidsFailedServer(t *testing.T) {
	p := New(testService(2, 4), Options{Headroom: -1})
	first := p.Submit(epoch, ask("c1", "counter"))[0]
	p.Finish(epoch, first.GrantID, Report{Result: dispatcher.ResultNotSent})

	later := epoch.Add(time.Minute)
	for _, id := range []string{"c2", "c3", "c4"} {
		assert.Assert(t, p.Submit(later, ask(id, "counter"))[0].Upstream != first.Upstream)
	}

	tried := p.Submit(later, ask("n1", "notes"))[0]
	assert.Equal(t, tried.Upstream, first.Upstream)

	p.Finish(later, tried.GrantID, fakeEngine(1, 1))
	assert.Equal(t, p.Submit(later, ask("c5", "counter"))[0].Upstream, first.Upstream)
}
