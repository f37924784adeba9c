package generator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const step = 10 * time.Millisecond

// ends runs the jobs at their own start and returns when each ended, since the first start.
func ends(ctx context.Context, b *Batch, jobs []Job, starts []time.Duration) []time.Duration {
	begin := time.Now()
	out := make([]time.Duration, len(jobs))
	done := make(chan struct{})
	for i := range jobs {
		go func() {
			time.Sleep(starts[i])
			_ = b.Run(ctx, jobs[i], func(int) error { return nil })
			out[i] = time.Since(begin)
			done <- struct{}{}
		}()
	}
	for range jobs {
		<-done
	}
	return out
}

func TestRunTimes(t *testing.T) {
	ms := time.Millisecond
	cases := map[string]struct {
		slots  int
		jobs   []Job
		starts []time.Duration
		want   []time.Duration
	}{
		"lone answer pays prefill of prompt and offset": {
			1, []Job{{PromptTokens: 20, Offset: 5, Length: 15}}, []time.Duration{0}, []time.Duration{125 * ms},
		},
		"four answers are 12 % slower each": {
			4, []Job{{PromptTokens: 1, Length: 10}, {PromptTokens: 1, Length: 10}, {PromptTokens: 1, Length: 10}, {PromptTokens: 1, Length: 10}},
			make([]time.Duration, 4), []time.Duration{113 * ms, 113 * ms, 113 * ms, 113 * ms},
		},
		"higher priority pauses the running one": {
			1, []Job{{Priority: 3, Length: 10}, {Priority: 1, Length: 10}},
			[]time.Duration{0, 45 * ms}, []time.Duration{195 * ms, 145 * ms},
		},
		"equal priority waits its turn": {
			1, []Job{{Priority: 2, Length: 10}, {Priority: 2, Length: 10}},
			[]time.Duration{0, 45 * ms}, []time.Duration{100 * ms, 200 * ms},
		},
		"the queue goes by priority, then arrival": {
			1, []Job{{Length: 10}, {Priority: 5, Length: 10}, {Priority: 4, Length: 10}, {Priority: 4, Length: 10}},
			[]time.Duration{0, ms, 2 * ms, 3 * ms}, []time.Duration{100 * ms, 400 * ms, 200 * ms, 300 * ms},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := NewBatch(c.slots, step, time.Millisecond, 0)
				assert.DeepEqual(t, ends(t.Context(), b, c.jobs, c.starts), c.want)
			})
		})
	}
}

func TestFactorStretchesTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBatch(1, step, 0, 0)
		b.SetFactor(2.5)
		got := ends(t.Context(), b, []Job{{Length: 10}}, []time.Duration{0})
		assert.DeepEqual(t, got, []time.Duration{250 * time.Millisecond})
	})
}

// Symptom: an engine stays full although its readers have gone.
// Events: a reader's connection closes in mid-answer, another request waits.
// Cause: the slot was only given up at the end of the answer.
func TestCancelFreesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBatch(1, step, 0, 0)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = b.Run(ctx, Job{Length: 1000}, func(int) error { return nil }) }()
		synctest.Wait()
		queued, drop := context.WithCancel(t.Context())
		go func() { _ = b.Run(queued, Job{Length: 1000}, func(int) error { return nil }) }()
		synctest.Wait()
		assert.Equal(t, b.Load().Waiting, 1)
		drop()
		synctest.Wait()
		assert.Equal(t, b.Load().Waiting, 0)
		cancel()
		begin := time.Now()
		assert.NilError(t, b.Run(t.Context(), Job{Length: 3}, func(int) error { return nil }))
		assert.Equal(t, time.Since(begin), 3*step)
		assert.Equal(t, b.Load().Running, 0)
	})
}

func TestLoadLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lag := time.Second
		b := NewBatch(1, step, 0, lag)
		time.Sleep(5 * time.Second)
		begin := time.Now()
		for range 2 {
			go func() { _ = b.Run(t.Context(), Job{Length: 300}, func(int) error { return nil }) }()
		}
		time.Sleep(lag - 1)
		assert.Equal(t, b.Load().Running+b.Load().Waiting, 0)
		time.Sleep(time.Nanosecond)
		l := b.Load()
		assert.Equal(t, l.Running, 1)
		assert.Equal(t, l.Waiting, 1)
		assert.Equal(t, l.MeasuredAt, begin)
		time.Sleep(6 * time.Second)
		assert.Equal(t, b.Load().Running, 0)
	})
}
