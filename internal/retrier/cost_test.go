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
	judge := New(Options{})

	for range 40 {
		play := &script{pool: 3, outcomes: []dispatcher.Outcome{brokenAfter(time.Second, 12*time.Second)}}
		failure := play.run(judge, true)

		assert.Assert(t, failure == nil, "%v", failure)
	}
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
			again = playBrokenStreams(firsts, lasted)
			storm = time.Since(began)
		})

		most := 0.1*600 + 10 + defaultFloorBurst + defaultFloorPerSecond*storm.Seconds()
		assert.Assert(r, again.Seconds() <= most*lasted.Seconds()+1e-6, "%s of reading again", again)
	})
}

// playBrokenStreams runs 600 requests whose streams break three times, and
// returns how long the resumed ones had read before their first tokens.
func playBrokenStreams(firsts []int, lasted time.Duration) time.Duration {
	judge, again := New(Options{}), time.Duration(0)

	for i := range 600 {
		play := &script{pool: 12}
		for j := range 3 {
			first := time.Duration(firsts[(i+j)%len(firsts)]) * time.Millisecond
			play.outcomes = append(play.outcomes, brokenAfter(first, lasted))
		}

		_ = play.run(judge, true)

		for j := range len(play.results) - 1 {
			again += play.outcomes[j].FirstToken
		}

		time.Sleep(100 * time.Millisecond)
	}

	return again
}
