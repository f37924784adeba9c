package retrier

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/dispatcher"
)

func brokenAfter(first, lasted time.Duration) dispatcher.Outcome {
	return dispatcher.Outcome{Result: dispatcher.ResultFailed, FirstToken: first, Duration: lasted, Tokens: 9}
}

// Symptom: long reviews end with "retry budget spent", are asked again from their start, and waste what they had.
// Sequence: all callers of a service come through one node; a third of the engines crashes under 40 of its reviews.
// Cause: a resume is charged like a request that starts anew, though all it repeats is the reading.
func TestThirdOfLongStreamsIsResumed(t *testing.T) {
	allResume(t, 40, brokenAfter(time.Second, 12*time.Second))
}

// Symptom: upstreams are busier with reading prompts again than the budget allows.
// Sequence: for a long time streams break off, soon or late after their first tokens.
// Cause: a resume is taken for free because it goes on where the last attempt ended.
func TestStormOfBrokenStreamsStaysWithinBudget(t *testing.T) {
	const lasted = 10 * time.Second

	rapid.Check(t, func(r *rapid.T) {
		firsts := rapid.SliceOfN(rapid.IntRange(1, 10000), 3, 30).Draw(r, "first_token_ms")

		var again, storm time.Duration

		synctest.Test(t, func(*testing.T) {
			began := time.Now()
			_, _, again = playStorm(func(i int) []dispatcher.Outcome {
				var outcomes []dispatcher.Outcome
				for j := range 3 {
					first := time.Duration(firsts[(i+j)%len(firsts)]) * time.Millisecond
					outcomes = append(outcomes, brokenAfter(first, lasted))
				}

				return outcomes
			})
			storm = time.Since(began)
		})

		most := 0.1*600 + 10 + defaultFloorBurst + defaultFloorPerSecond*storm.Seconds()
		assert.Assert(r, again.Seconds() <= most*lasted.Seconds()+1e-6, "%s of reading again", again)
	})
}
