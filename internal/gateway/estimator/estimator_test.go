package estimator_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/estimator"
)

// engine responds with its true performance, with noise and outliers.
type engine struct {
	rate, step, prefillGap, plain float64
	random                        *rand.Rand
}

// answer feeds one response to the estimator. One in six is stuck for seconds, and one in six has its prompt cached unexpectedly.
func (g *engine) answer(e *estimator.Estimator) {
	noise := 0.8 + 0.4*g.random.Float64()
	tokens := 1000 + 20_000*g.random.Float64()
	took := tokens / g.rate * noise

	switch g.random.IntN(6) {
	case 0:
		took += 3000
	case 1:
		took *= 0.1
	}

	e.ObservePrefill(tokens, took)
	e.ObserveStep(g.step * noise)
	e.ObservePrefillGap(g.prefillGap * noise)
	e.ObservePlainCall(g.plain * noise)
}

func within(t *testing.T, what string, got, want, part float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got/want-1) <= part, "%s: %.3f, true %.3f", what, got, want)
}

// The estimates must adapt to engines unlike those of the initial values. With wrong expected times, the policy would send
// long prompts to engines where they stall streams, or leave engines idle.
func TestFiguresOfUnlikeEnginesAreLearned(t *testing.T) {
	engines := map[string]engine{
		"slow prefill, fast steps": {rate: 20, step: 2, prefillGap: 600, plain: 60},
		"fast prefill, slow steps": {rate: 400, step: 30, prefillGap: 160, plain: 5},
		"like the initial values":  {rate: 110, step: 6.1, prefillGap: 124, plain: 15},
	}

	for name, g := range engines {
		t.Run(name, func(t *testing.T) {
			g.random = rand.New(rand.NewPCG(1, 2))
			e := estimator.New(5)

			for range 200 {
				g.answer(e)
			}

			estimates := e.Estimates()
			within(t, "reading", estimates.PrefillTokensPerMS, g.rate, 0.15)
			within(t, "step", estimates.StepMS, g.step, 0.15)
			within(t, "plain call", estimates.PlainCallMS, g.plain, 0.15)
			// Seven of ten streams stay below the estimate.
			within(t, "prefill gap", estimates.PrefillGapMS, g.prefillGap*1.08, 0.15)
		})
	}
}

// All engines of a pool become five times as slow and recover, at 100 responses a second. Until the estimates
// follow, the change shows up in the slowdown of each server.
func TestFiguresFollowAChange(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	fast := engine{rate: 100, step: 5, prefillGap: 120, plain: 15, random: random}
	slow := engine{rate: 20, step: 25, prefillGap: 600, plain: 75, random: random}
	e := estimator.New(5)

	for range 1000 {
		fast.answer(e)
	}

	for range 200 {
		slow.answer(e)
	}

	within(t, "reading", e.Estimates().PrefillTokensPerMS, slow.rate, 0.2)

	for range 200 {
		fast.answer(e)
	}

	within(t, "reading", e.Estimates().PrefillTokensPerMS, fast.rate, 0.2)
}

func TestImpossibleTimesSayNothing(t *testing.T) {
	e := estimator.New(0)
	before := e.Estimates()

	e.ObservePrefill(0, 5)
	e.ObservePrefill(100, 0)
	e.ObserveStep(-1)
	e.ObservePlainCall(math.NaN())
	assert.Equal(t, e.Estimates(), before)
}
