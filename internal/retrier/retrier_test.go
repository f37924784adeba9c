package retrier

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/seeder"
	"quincepath.example/quincepath/pkg/classifier"
)

func TestMain(m *testing.M) {
	seeder.SetSeed("20260312")
	os.Exit(m.Run())
}

// scriptedUpstreams is a slotter, sender and observer that returns the given outcomes to a real dispatcher.
type scriptedUpstreams struct {
	outcomes     []dispatcher.Outcome
	poolSize     int
	acquireError error

	attempts []dispatcher.Attempt
	results  []dispatcher.Result
	tokens   int
}

func (s *scriptedUpstreams) Acquire(_ context.Context, ask dispatcher.SlotRequest) (dispatcher.Slot, error) {
	for i := range s.poolSize {
		name := fmt.Sprintf("u%02d", i)
		if !slices.Contains(ask.Exclude, name) {
			return dispatcher.Slot{Upstream: configurer.Upstream{Name: name}}, nil
		}
	}

	return dispatcher.Slot{}, s.acquireError
}

func (s *scriptedUpstreams) Release(dispatcher.Slot, dispatcher.SlotRequest, dispatcher.Outcome) {}

func (s *scriptedUpstreams) Progress() int { return s.tokens }

func (s *scriptedUpstreams) Send(_ context.Context, attempt dispatcher.Attempt) dispatcher.Outcome {
	outcome := dispatcher.Outcome{Result: dispatcher.ResultDone}
	if len(s.attempts) < len(s.outcomes) {
		outcome = s.outcomes[len(s.attempts)]
	}

	s.attempts = append(s.attempts, attempt)
	s.results = append(s.results, outcome.Result)
	s.tokens += outcome.Tokens

	return outcome
}

func (s *scriptedUpstreams) AttemptEnded(dispatcher.Request, dispatcher.Attempt, dispatcher.Outcome, dispatcher.RetryDecision) {
}

func (s *scriptedUpstreams) run(judge dispatcher.RetryPolicy, repeatable bool) *classifier.Error {
	request := dispatcher.Request{
		ID:         "r",
		Service:    configurer.Service{Name: "assistente"},
		Class:      configurer.Class{Name: "chat", RetryBudget: 0.1},
		Repeatable: repeatable,
		Arrived:    time.Now(),
	}

	if s.acquireError == nil {
		s.acquireError = classifier.New(classifier.NoUpstream, "all are excluded")
	}

	return dispatcher.New(s, judge, s).Run(context.Background(), request, s)
}

func TestOutcomes(t *testing.T) {
	notSent := dispatcher.Outcome{Result: dispatcher.ResultNotSent}
	refused := dispatcher.Outcome{Result: dispatcher.ResultRefused}
	rejected := dispatcher.Outcome{Result: dispatcher.ResultRejected}
	failed := dispatcher.Outcome{Result: dispatcher.ResultFailed}
	broken := dispatcher.Outcome{Result: dispatcher.ResultFailed, Tokens: 7}
	silent := dispatcher.Outcome{Result: dispatcher.ResultSilent}
	preempted := dispatcher.Outcome{Result: dispatcher.ResultPreempted, Tokens: 3}

	tests := map[string]struct {
		outcomes   []dispatcher.Outcome
		repeatable bool
		pool       int
		attempts   int
		code       classifier.Code
		ran        classifier.Ran
		count      string
	}{
		"not sent is retried":                  {[]dispatcher.Outcome{notSent, refused}, false, 9, 3, classifier.OK, "", "retry_refused"},
		"failed is final if not repeatable":    {[]dispatcher.Outcome{notSent, failed}, false, 9, 2, classifier.UpstreamFailed, classifier.RanUnknown, "end_not_repeatable"},
		"silent is final if not repeatable":    {[]dispatcher.Outcome{silent}, false, 9, 1, classifier.UpstreamSilent, classifier.RanUnknown, "end_not_repeatable"},
		"preempted is final if not repeatable": {[]dispatcher.Outcome{preempted}, false, 9, 1, classifier.StreamBroken, classifier.RanYes, "end_not_repeatable"},
		"failed is retried":                    {[]dispatcher.Outcome{failed, silent}, true, 9, 3, classifier.OK, "", "retry_silent"},
		"broken stream resumes":                {[]dispatcher.Outcome{broken, notSent}, true, 9, 3, classifier.OK, "", "resume_not_sent"},
		"rejected is final":                    {[]dispatcher.Outcome{rejected}, true, 9, 1, classifier.InvalidRequest, classifier.RanNo, "end_rejected"},
		"rejected after failed may have run":   {[]dispatcher.Outcome{failed, rejected}, true, 9, 2, classifier.InvalidRequest, classifier.RanUnknown, "end_rejected"},
		"attempts are bounded":                 {[]dispatcher.Outcome{notSent, notSent, notSent, notSent}, false, 9, 4, classifier.UpstreamUnreachable, classifier.RanNo, "end_attempts_spent"},
		"preempted doesn't count":              {[]dispatcher.Outcome{preempted, notSent, preempted, notSent, preempted, notSent}, true, 9, 7, classifier.OK, "", "resume_preempted"},
		"pool used up without a run":           {[]dispatcher.Outcome{notSent, refused}, false, 2, 2, classifier.NoUpstream, classifier.RanNo, "retry_not_sent"},
		"pool used up after a failure":         {[]dispatcher.Outcome{failed, notSent}, true, 2, 2, classifier.NoUpstream, classifier.RanUnknown, "retry_failed"},
		"pool used up after tokens":            {[]dispatcher.Outcome{broken}, true, 1, 1, classifier.NoUpstream, classifier.RanYes, "resume_failed"},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			judge := New(Options{})
			play := &scriptedUpstreams{outcomes: tt.outcomes, poolSize: tt.pool}

			failure := play.run(judge, tt.repeatable)

			assert.Equal(t, len(play.attempts), tt.attempts)
			assert.Assert(t, judge.Counts()[tt.count] > 0, "%v", judge.Counts())

			if tt.code == classifier.OK {
				assert.Assert(t, failure == nil)

				return
			}

			assert.Equal(t, failure.Code, tt.code)
			assert.Equal(t, failure.Ran, tt.ran)
		})
	}
}

// An upstream breaks the requests of many callers at once. Without Retry-After they would not know when to retry, and with a
// constant one they would all retry at the same moment.
func TestRetryAfterIsSpread(t *testing.T) {
	judge := New(Options{})
	seen := make(map[time.Duration]bool)

	for i := range 50 {
		outcome := dispatcher.Outcome{Result: dispatcher.ResultFailed}
		next := judge.Decide(dispatcher.Request{ID: fmt.Sprint(i)}, dispatcher.Attempt{Number: 1}, outcome, 0)

		assert.Assert(t, next.Err.RetryAfter >= 2*time.Second && next.Err.RetryAfter < 4*time.Second)

		seen[next.Err.RetryAfter] = true
	}

	assert.Assert(t, len(seen) > 40)
}

func TestRequestsKeepTheirInvariants(t *testing.T) {
	results := []dispatcher.Result{
		dispatcher.ResultDone, dispatcher.ResultNotSent, dispatcher.ResultRefused, dispatcher.ResultRejected,
		dispatcher.ResultFailed, dispatcher.ResultSilent, dispatcher.ResultPreempted,
	}

	rapid.Check(t, func(t *rapid.T) {
		judge := New(Options{MinRetryBurst: 100})
		play := &scriptedUpstreams{poolSize: 12}

		for range rapid.IntRange(0, 12).Draw(t, "length") {
			outcome := dispatcher.Outcome{Result: rapid.SampledFrom(results).Draw(t, "result")}
			if outcome.Result >= dispatcher.ResultFailed {
				outcome.Tokens = rapid.IntRange(0, 5).Draw(t, "tokens")
			}

			play.outcomes = append(play.outcomes, outcome)
		}

		repeatable := rapid.Bool().Draw(t, "repeatable")
		failure := play.run(judge, repeatable)

		checkAttempts(t, play, repeatable)

		if failure != nil && failure.Ran == classifier.RanNo {
			for _, result := range play.results {
				assert.Assert(t, result == dispatcher.ResultNotSent || result == dispatcher.ResultRefused || result == dispatcher.ResultRejected)
			}
		}
	})
}

// checkAttempts checks that no failed upstream is used twice, that a request is not sent again after it may have run unless it is
// repeatable, and that each attempt starts at the token where the response so far ends.
func checkAttempts(t *rapid.T, play *scriptedUpstreams, repeatable bool) {
	failed := make(map[string]bool)
	mayHaveRun := false
	tokens := 0

	for i, attempt := range play.attempts {
		assert.Assert(t, !failed[attempt.Slot.Upstream.Name], "a failed upstream was used again")
		assert.Assert(t, repeatable || !mayHaveRun, "sent again although it may have run")
		assert.Equal(t, attempt.Offset, tokens)

		result := play.results[i]
		failed[attempt.Slot.Upstream.Name] = result != dispatcher.ResultPreempted
		mayHaveRun = mayHaveRun || (result != dispatcher.ResultNotSent && result != dispatcher.ResultRefused)

		if i < len(play.outcomes) {
			tokens += play.outcomes[i].Tokens
		}
	}
}

// Upstreams fail in a random share of all attempts for a long time. If each failure were retried without a common limit, the load
// on upstreams would be multiplied by the number of attempts and stay high after the fault is over.
func TestStormStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		shares := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 6).Draw(r, "failing_percent")
		seed := rapid.Uint64().Draw(r, "seed")

		var (
			extra, first int
			lasted       time.Duration
		)

		synctest.Test(t, func(*testing.T) {
			started := time.Now()
			extra, first, _ = runFailureStorm(func(i int) []dispatcher.Outcome { return failingOutcomes(&seed, shares[i*len(shares)/600]) })
			lasted = time.Since(started)
		})

		allowance := 10 + defaultMinRetryBurst + defaultMinRetriesPerSecond*lasted.Seconds()
		assert.Assert(r, float64(extra) <= 0.1*float64(first)+allowance+1e-6, "%d extra on %d first", extra, first)
	})
}

// runFailureStorm runs 600 requests. It returns the numbers of their first and extra attempts that reached an upstream, and the
// total time to the first token of the attempts that were followed by another one.
func runFailureStorm(outcomes func(i int) []dispatcher.Outcome) (extra, first int, repeated time.Duration) {
	judge := New(Options{})

	for i := range 600 {
		play := &scriptedUpstreams{poolSize: 12, outcomes: outcomes(i)}
		_ = play.run(judge, true)

		reached := 0

		for _, result := range play.results {
			if result != dispatcher.ResultNotSent && result != dispatcher.ResultPreempted {
				reached++
			}
		}

		for j := range len(play.results) - 1 {
			repeated += play.outcomes[j].FirstToken
		}

		first += min(reached, 1)
		extra += max(reached-1, 0)

		time.Sleep(100 * time.Millisecond)
	}

	return extra, first, repeated
}

// A node has just started when an engine crashes in the middle of several responses. A budget without initial credit would allow only
// the three resumes of the minimum retries. The other callers would get a partial response and "retry budget spent", although
// two engines are healthy.
func TestFirstCrashAfterStartIsResumed(t *testing.T) {
	testAllResume(t, 8, dispatcher.Outcome{Result: dispatcher.ResultFailed, Tokens: 20})
}

// testAllResume breaks the first attempts of count requests of a new node and checks that all are resumed.
func testAllResume(t *testing.T, count int, broken dispatcher.Outcome) {
	t.Helper()

	judge := New(Options{})

	for range count {
		play := &scriptedUpstreams{poolSize: 3, outcomes: []dispatcher.Outcome{broken}}
		failure := play.run(judge, true)

		assert.Assert(t, failure == nil, "%v", failure)
	}
}

// failingOutcomes draws up to four failed outcomes. Each attempt fails with the given percentage.
func failingOutcomes(seed *uint64, percent int) []dispatcher.Outcome {
	kinds := []dispatcher.Result{dispatcher.ResultFailed, dispatcher.ResultSilent, dispatcher.ResultRefused, dispatcher.ResultNotSent}

	var outcomes []dispatcher.Outcome

	for range 4 {
		*seed = *seed*6364136223846793005 + 1442695040888963407
		random := *seed >> 33

		if int(random%100) >= percent {
			return outcomes
		}

		outcomes = append(outcomes, dispatcher.Outcome{Result: kinds[random/100%4]})
	}

	return outcomes
}
