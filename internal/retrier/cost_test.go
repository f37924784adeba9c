package retrier

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/dispatcher"
)

func brokenAfter(first, duration time.Duration) dispatcher.Outcome {
	return dispatcher.Outcome{Result: dispatcher.ResultFailed, FirstToken: first, Duration: duration, Tokens: 9}
}

// All callers of a service use one node, and a third of the engines crash during 40 of its long responses. If a resume cost as
// much as a request that starts again, although it repeats only prompt processing, these would end with "retry budget spent"
// and be requested again from the beginning, and their tokens would be wasted.
func TestThirdOfLongStreamsIsResumed(t *testing.T) {
	testAllResume(t, 40, brokenAfter(time.Second, 12*time.Second))
}

// Streams break for a long time, early or late after their first tokens. If resumes were free because they continue where the last
// attempt ended, upstreams would spend more time on repeated prompt processing than the budget allows.
func TestStormOfBrokenStreamsStaysWithinBudget(t *testing.T) {
	const lasted = 10 * time.Second

	rapid.Check(t, func(r *rapid.T) {
		firsts := rapid.SliceOfN(rapid.IntRange(1, 10000), 3, 30).Draw(r, "first_token_ms")

		var repeated, duration time.Duration

		synctest.Test(t, func(*testing.T) {
			began := time.Now()
			_, _, repeated = runFailureStorm(func(i int) []dispatcher.Outcome {
				var outcomes []dispatcher.Outcome
				for j := range 3 {
					first := time.Duration(firsts[(i+j)%len(firsts)]) * time.Millisecond
					outcomes = append(outcomes, brokenAfter(first, lasted))
				}

				return outcomes
			})
			duration = time.Since(began)
		})

		limit := 0.1*600 + 10 + defaultMinRetryBurst + defaultMinRetriesPerSecond*duration.Seconds()
		assert.Assert(r, repeated.Seconds() <= limit*lasted.Seconds()+1e-6, "%s of repeated prompt processing", repeated)
	})
}
