// Package estimator estimates the performance of a pool's upstreams from their
// observed response times.
//
// Engines differ severalfold in how fast they read prompts and generate tokens, and
// the router isn't told which kind it has. With the estimates of another kind it
// would expect responses at the wrong time: it would take a busy upstream for an
// idle one, or send long prompts to engines where they stall streams.
//
// Each estimate is a quantile that moves by a step for each observation, regardless
// of the size of the deviation. A response that was stuck for seconds, or a prompt
// that was cached without the router's knowledge, counts no more than any other
// observation. Steps shrink with the number of observations, so that the estimate
// leaves the initial value quickly and is stable later.
package estimator

import "math"

// Initial values, which about a dozen responses replace. They are those of one kind of engine.
const (
	initialPrefillTokensPerMS = 110.0
	initialStepMS             = 6.1
	initialChunkMS            = 18.6
	initialPlainCallMS        = 15.0
)

const (
	// initialGain and minGain are the largest and the smallest step of an estimate for one observation, as a logarithm:
	// a factor of 1.6 at first, 3% after about 280 observations.
	initialGain = 0.5
	minGain     = 0.03
	// maxChanceRun is the number of consecutive observations on one side of an estimate that is still likely by chance.
	// Each further one adds runGain to the step factor, so that the estimate follows a change of all upstreams within 1 to 2 s.
	maxChanceRun = 6
	runGain      = 0.3
	// median is the quantile for typical times.
	median = 0.5
	// highQuantile is the quantile for the longest gap of a stream, which most streams stay below.
	highQuantile = 0.7
)

// Estimates holds the estimated performance of a pool's upstreams.
type Estimates struct {
	// PrefillTokensPerMS is the number of prompt tokens that an engine reads per millisecond.
	PrefillTokensPerMS float64 `json:"reading_rate"`
	// StepMS is the time per output token of a stream while the engine prefills nothing.
	StepMS float64 `json:"step_ms"`
	// PrefillGapMS is the longest gap between two events of a stream while the engine prefills.
	PrefillGapMS float64 `json:"reading_pause_ms"`
	// PlainCallMS is the time of one call of a plain service.
	PlainCallMS float64 `json:"plain_ms"`
}

// Estimator keeps the estimates of one pool. It is not safe for concurrent use.
type Estimator struct {
	prefillMSPerToken, stepMS, prefillGapMS, plainCallMS quantile
	gaps                                                 *Gaps
}

// New returns an estimator with initial values for engines that send the given number of tokens per event; 0 for plain services.
func New(eventTokens int) *Estimator {
	events := float64(max(eventTokens, 1))

	return &Estimator{
		prefillMSPerToken: newQuantile(median, 1/initialPrefillTokensPerMS),
		stepMS:            newQuantile(median, initialStepMS),
		prefillGapMS:      newQuantile(highQuantile, events*(initialStepMS+initialChunkMS)),
		plainCallMS:       newQuantile(median, initialPlainCallMS),
		gaps:              newGaps(events * (initialStepMS + initialChunkMS)),
	}
}

// ObservePrefill takes the time in milliseconds in which an engine read the given number of tokens.
func (e *Estimator) ObservePrefill(tokens, elapsedMS float64) {
	if tokens > 0 {
		e.prefillMSPerToken.observe(elapsedMS / tokens)
	}
}

// ObserveStep takes the mean time per token in milliseconds of a stream without prefill on its engine.
func (e *Estimator) ObserveStep(stepMS float64) { e.stepMS.observe(stepMS) }

// ObservePrefillGap takes the longest gap in milliseconds of a stream with prefill on its engine.
func (e *Estimator) ObservePrefillGap(gapMS float64) { e.prefillGapMS.observe(gapMS) }

// ObservePlainCall takes the time in milliseconds of one call of a plain service that got a slot immediately.
func (e *Estimator) ObservePlainCall(callMS float64) { e.plainCallMS.observe(callMS) }

// Gaps returns the estimates of longest gaps.
func (e *Estimator) Gaps() *Gaps { return e.gaps }

// Estimates returns the current estimates.
func (e *Estimator) Estimates() Estimates {
	return Estimates{
		PrefillTokensPerMS: 1 / e.prefillMSPerToken.value,
		StepMS:             e.stepMS.value,
		PrefillGapMS:       e.prefillGapMS.value,
		PlainCallMS:        e.plainCallMS.value,
	}
}

// quantile estimates a quantile of its observations.
type quantile struct {
	// share is the fraction of observations below the quantile.
	share float64
	// value is the estimate; it is always positive.
	value float64
	count int
	// run is the number of consecutive observations above the estimate, or the negative number below it.
	run int
	// steady is set if steps don't lengthen in a run. Most observations are below a high quantile, so that runs are no
	// sign of a change.
	steady bool
}

func newQuantile(share, first float64) quantile {
	return quantile{share: share, value: first}
}

func (q *quantile) observe(observed float64) {
	if !(observed > 0) { // Also true for NaN.
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

// runFactor returns the factor that lengthens a step when many consecutive observations are on the same side.
func (q *quantile) runFactor() float64 {
	if q.steady {
		return 1
	}

	run := max(q.run, -q.run)

	return 1 + runGain*float64(max(run-maxChanceRun, 0))
}
