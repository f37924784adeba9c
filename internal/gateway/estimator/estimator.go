// Package estimator learns how fast the upstreams of a pool work, from what is
// seen of their answers.
//
// Engines differ severalfold in how fast they read prompts and make tokens, and
// nobody tells a router which it has. Figures that hold for other engines make it
// expect answers at the wrong time: it then takes a busy upstream for an idle
// one, or lets long prompts in beside streams that stall over them.
//
// An estimate is a quantile that moves by a step for each observation, whatever
// the size of the deviation: an answer that was stuck for seconds, or a prompt that was
// cached although nobody knew, counts no more than any other. Steps shrink with the
// number of observations, so that a first guess is left quickly and the estimate
// stays calm later.
package estimator

import "math"

// First guesses, which some dozen answers replace. They are those of one measured kind of engine.
const (
	initialPrefillTokensPerMS = 110.0
	initialStepMS             = 6.1
	initialChunkMS            = 18.6
	initialPlainCallMS        = 15.0
)

const (
	// initialGain and leastStep bound how far one observation moves an estimate, as a logarithm: at first by a
	// factor of 1.6, after some 280 by 3%.
	initialGain = 0.5
	minGain     = 0.03
	// maxChanceRun is the number of observations in a row on one side of an estimate that is still likely by chance.
	// Each further one adds runGain to the step, so that a change of all upstreams is followed within a second or two.
	maxChanceRun = 6
	runGain      = 0.3
	// median is the quantile of times that a typical answer takes.
	median = 0.5
	// highQuantile is the quantile of the longest pause of a stream: what most streams stay under.
	highQuantile = 0.7
)

// Estimates are what an estimator believes of a pool's upstreams.
type Estimates struct {
	// PrefillTokensPerMS is the number of prompt tokens that an engine reads in a millisecond.
	PrefillTokensPerMS float64 `json:"reading_rate"`
	// StepMS is the time of one token of a stream in milliseconds while no prompts are read beside it.
	StepMS float64 `json:"step_ms"`
	// PrefillGapMS is the longest pause between two events of a stream in milliseconds while prompts are read beside it.
	PrefillGapMS float64 `json:"reading_pause_ms"`
	// PlainCallMS is the time of one call of a plain service in milliseconds.
	PlainCallMS float64 `json:"plain_ms"`
}

// Estimator keeps the figures of one pool. It is not safe for concurrent use.
type Estimator struct {
	prefillMSPerToken, stepMS, prefillGapMS, plainCallMS quantile
}

// New returns an estimator that knows nothing yet of engines with so many tokens in one event; 0 for plain services.
func New(eventTokens int) *Estimator {
	events := float64(max(eventTokens, 1))

	return &Estimator{
		prefillMSPerToken: newQuantile(median, 1/initialPrefillTokensPerMS),
		stepMS:            newQuantile(median, initialStepMS),
		prefillGapMS:      newQuantile(highQuantile, events*(initialStepMS+initialChunkMS)),
		plainCallMS:       newQuantile(median, initialPlainCallMS),
	}
}

// ObservePrefill takes in the milliseconds that an engine needed to read so many tokens.
func (e *Estimator) ObservePrefill(tokens, took float64) {
	if tokens > 0 {
		e.prefillMSPerToken.observe(took / tokens)
	}
}

// ObserveStep takes in the mean time of a token in milliseconds, of a stream beside which no prompts were read.
func (e *Estimator) ObserveStep(took float64) { e.stepMS.observe(took) }

// ObservePrefillGap takes in the longest pause in milliseconds of a stream beside which prompts were read.
func (e *Estimator) ObservePrefillGap(longest float64) { e.prefillGapMS.observe(longest) }

// ObservePlainCall takes in the milliseconds of one call of a plain service that had a slot at once.
func (e *Estimator) ObservePlainCall(took float64) { e.plainCallMS.observe(took) }

// Estimates returns the present estimates.
func (e *Estimator) Estimates() Estimates {
	return Estimates{
		PrefillTokensPerMS: 1 / e.prefillMSPerToken.value,
		StepMS:             e.stepMS.value,
		PrefillGapMS:       e.prefillGapMS.value,
		PlainCallMS:        e.plainCallMS.value,
	}
}

// quantile follows a quantile of what it takes in.
type quantile struct {
	// share is the part of the observations that are below the quantile.
	share float64
	// value is the estimate; above 0.
	value float64
	count int
	// run counts the last observations that were all above it, or all below if negative.
	run int
}

func newQuantile(share, first float64) quantile {
	return quantile{share: share, value: first}
}

func (q *quantile) observe(observed float64) {
	if !(observed > 0) { // Not a number isn't either.
		return
	}

	q.count++
	step := max(initialGain/math.Sqrt(float64(q.count)), minGain)

	if observed > q.value {
		q.run = max(q.run, 0) + 1
		q.value *= math.Exp(step * q.share * q.runFactor())
	} else {
		q.run = min(q.run, 0) - 1
		q.value *= math.Exp(-step * (1 - q.share) * q.runFactor())
	}
}

// runFactor is the factor by which a step is longer when many observations in a row say the same.
func (q *quantile) runFactor() float64 {
	run := max(q.run, -q.run)

	return 1 + runGain*float64(max(run-maxChanceRun, 0))
}
