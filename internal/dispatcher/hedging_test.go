package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	ms     = time.Millisecond
	failed = dispatcher.ResultFailed
)

// Guards against a caller that waits seconds for its first token while other servers are free, because a single attempt
// waits for its own upstream alone. The first upstream is slow, refuses, breaks off or goes silent, and so may the
// second. The end of the slower attempt must neither reach the answer nor count against its upstream.
func TestHedging(t *testing.T) {
	slow, fast := script{first: 2 * time.Second, gap: ms}, script{first: 20 * ms, gap: ms}

	tests := map[string]struct {
		upstreams []script
		noSpare   bool
		anyway    bool
		spareWait time.Duration
		refusals  int
		spent     int
		once      bool
		leaves    time.Duration
		results   []string
		// under bounds the time to the end.
		under time.Duration
		code  classifier.Code
	}{
		"the second wins":                 {upstreams: []script{slow, fast}, results: []string{"superseded", "done"}, under: 200 * ms},
		"the first wins":                  {upstreams: []script{{first: 150 * ms, gap: ms}, slow}, results: []string{"done", "superseded"}, under: 200 * ms},
		"no need":                         {upstreams: []script{fast, fast}, results: []string{"done"}, under: 50 * ms},
		"no slot is free":                 {upstreams: []script{slow, fast}, noSpare: true, results: []string{"done"}, under: 3 * time.Second},
		"a slot is free later":            {upstreams: []script{slow, fast}, refusals: 2, results: []string{"superseded", "done"}, under: time.Second},
		"the slot comes too late":         {upstreams: []script{{first: 150 * ms}, fast}, spareWait: time.Second, results: []string{"done"}, under: 200 * ms},
		"the slot comes all the same":     {upstreams: []script{{first: 150 * ms}, fast}, spareWait: time.Second, anyway: true, results: []string{"done", "superseded"}, under: 200 * ms},
		"the budget is empty":             {upstreams: []script{slow, fast}, spent: 10, results: []string{"done", "superseded"}, under: 3 * time.Second},
		"not repeatable":                  {upstreams: []script{slow, fast}, once: true, results: []string{"done"}, under: 3 * time.Second},
		"error after the other won":       {upstreams: []script{{first: 300 * ms, ignoresCancel: true, result: failed}, {first: 20 * ms, gap: 100 * ms}}, results: []string{"superseded", "done"}, under: time.Second},
		"token after the other won":       {upstreams: []script{{first: 300 * ms, ignoresCancel: true}, {first: 20 * ms, gap: 100 * ms}}, results: []string{"superseded", "done"}, under: time.Second},
		"the first fails":                 {upstreams: []script{{first: 200 * ms, result: failed}, {first: 300 * ms}}, results: []string{"failed", "done"}, under: time.Second},
		"both fail":                       {upstreams: []script{{first: 200 * ms, result: failed}, {first: 300 * ms, result: failed}, fast}, results: []string{"failed", "failed", "done"}, under: time.Second},
		"the winner breaks off":           {upstreams: []script{slow, {first: 20 * ms, result: failed, breakAfter: 3}, fast}, results: []string{"superseded", "failed", "done"}, under: 3 * time.Second},
		"the winner is preempted":         {upstreams: []script{slow, {first: 20 * ms, gap: 20 * ms, preemptAfter: 50 * ms}}, results: []string{"superseded", "preempted", "done"}, under: 4 * time.Second},
		"the first is preempted meantime": {upstreams: []script{{first: 2 * time.Second, preemptAfter: 150 * ms}, {first: 300 * ms}}, results: []string{"preempted", "done"}, under: time.Second},
		"the request is wrong":            {upstreams: []script{{first: 200 * ms, result: dispatcher.ResultRejected}, slow}, results: []string{"rejected", "superseded"}, under: time.Second, code: classifier.InvalidRequest},
		"the caller leaves":               {upstreams: []script{slow, slow}, leaves: 500 * ms, results: []string{"caller_gone", "caller_gone"}, under: time.Second, code: classifier.CallerGone},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				if tt.leaves > 0 {
					time.AfterFunc(tt.leaves, cancel)
				}

				w := &fixture{upstreams: tt.upstreams, spare: !tt.noSpare, spareAnyway: tt.anyway, spareWait: tt.spareWait, spareRefusals: tt.refusals}
				started := time.Now()
				failure := w.run(ctx, !tt.once, tt.spent)

				w.check(t)
				assert.DeepEqual(t, w.results(), tt.results)
				assert.Assert(t, time.Since(started) < tt.under, "%s", time.Since(started))

				if tt.code != classifier.OK {
					assert.Equal(t, failure.Code, tt.code)

					return
				}

				assert.Assert(t, failure == nil)
				assert.Equal(t, len(w.answer), wholeAnswer)
			})
		})
	}
}

// Guards against an answer with tokens of two engines: both attempts have their first token at the same moment, and each
// checks for the other before either has delivered.
func TestBothFirstTokensAtOnce(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			// The second attempt is sent after the hedger's 95th percentile, here about 96 ms.
			w := &fixture{upstreams: []script{{first: 200 * ms, gap: ms, ignoresCancel: true}, {first: 200*ms - hedgeDelay(t), gap: ms, ignoresCancel: true}}, spare: true}

			assert.Assert(t, w.run(t.Context(), true, 0) == nil)
			w.check(t)
			assert.Equal(t, len(w.answer), wholeAnswer)
			assert.Equal(t, w.maxRunning, 2)
		})
	}
}

// hedgeDelay measures the time after which the fixture's class is hedged.
func hedgeDelay(t *testing.T) time.Duration {
	t.Helper()

	w := &fixture{upstreams: []script{{first: time.Second}, {}}, spare: true}
	started := time.Now()

	assert.Assert(t, w.run(t.Context(), true, 0) == nil)

	return time.Since(started)
}

func TestAnswersAreWholeUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		instant := rapid.Custom(func(rt *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 30).Draw(rt, "tens")) * 10 * ms
		})
		upstream := rapid.Custom(func(rt *rapid.T) script {
			return script{
				first:         instant.Draw(rt, "first"),
				gap:           instant.Draw(rt, "gap"),
				result:        rapid.SampledFrom([]dispatcher.Result{0, 0, 0, failed, dispatcher.ResultRefused, dispatcher.ResultSilent, dispatcher.ResultNotSent}).Draw(rt, "result"),
				breakAfter:    rapid.IntRange(0, 3).Draw(rt, "break"),
				ignoresCancel: rapid.Bool().Draw(rt, "deaf"),
				preemptAfter:  rapid.SampledFrom([]time.Duration{0, 0, 0, 110 * ms, 250 * ms}).Draw(rt, "preempt"),
			}
		})

		w := &fixture{
			upstreams: rapid.SliceOfN(upstream, 1, 5).Draw(rt, "upstreams"),
			spare:     rapid.IntRange(0, 3).Draw(rt, "spare") > 0,
			spareWait: instant.Draw(rt, "spare wait"),

			spareAnyway: rapid.Bool().Draw(rt, "spare anyway"),
		}
		repeatable := rapid.IntRange(0, 3).Draw(rt, "repeatable") > 0
		spent := rapid.IntRange(0, 10).Draw(rt, "spent")
		leaves := rapid.SampledFrom([]time.Duration{time.Hour, 120 * ms, 300 * ms}).Draw(rt, "leaves")

		var failure *classifier.Error

		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()

			stop := time.AfterFunc(leaves, cancel)
			defer stop.Stop()

			failure = w.run(ctx, repeatable, spent)
		})

		if problem := w.problem(); problem != "" {
			rt.Fatal(problem)
		}

		if failure == nil && len(w.answer) != wholeAnswer {
			rt.Fatal("an answer is cut short")
		}

		if w.maxRunning > 2 || (!repeatable && w.maxRunning > 1) {
			rt.Fatalf("%d attempts at once", w.maxRunning)
		}

		if extra := len(w.sent) - w.decided; extra > 1 || (spent == 10 && extra > 0) {
			rt.Fatalf("%d attempts more than steps", extra)
		}
	})
}
