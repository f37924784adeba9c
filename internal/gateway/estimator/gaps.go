package estimator

import (
	"math"
	"time"
)

const (
	// highShare is the fraction of streams whose longest gap is below the high quantile of a Spread.
	highShare = 0.9
	// initialHigh is the high quantile before any observation, relative to what prefill explains.
	initialHigh = 1.5
	// minSpread is the least ratio of the high quantile to the median.
	minSpread = 1.05
	// negligible is the logit from which a probability counts as 0: less than 0.001.
	negligible = 7.0
	// maxSpreads limits the number of gap limits that are told apart. Those beyond it share one Spread.
	maxSpreads = 8
)

// Gaps estimates the longest gaps between events.
//
// The longest gap of a stream is what prefill beside it explains, times a factor: the stream may meet a slow phase of
// its server, and the largest backlog may fall between two events. The factor is learned for each gap limit, as classes
// differ in the length of their streams, and longer streams meet more.
type Gaps struct {
	// saturatedMS is the gap at a server of the usual pace that prefills without a pause.
	saturatedMS quantile
	spreads     map[time.Duration]*Spread
	// shared is the Spread of all gap limits beyond the first maxSpreads.
	shared *Spread
}

func newGaps(saturatedMS float64) *Gaps {
	g := &Gaps{saturatedMS: newQuantile(highShare, saturatedMS), spreads: make(map[time.Duration]*Spread), shared: newSpread()}
	g.saturatedMS.steady = true

	return g
}

// ExplainedMS returns the gap that a backlog explains at a server of the usual pace, given the gap without prefill and the
// time to read the backlog. An engine reads no more than one chunk of prompts between two steps.
func (g *Gaps) ExplainedMS(idleMS, backlogMS float64) float64 {
	return min(idleMS+backlogMS, max(g.saturatedMS.value, idleMS))
}

// Observe takes the longest gap of a stream, divided by the pace of its server, and the gap that the largest backlog during
// the stream explains.
func (g *Gaps) Observe(limit time.Duration, longestMS, explainedMS float64) {
	g.Spread(limit).observe(longestMS / max(explainedMS, 1))
}

// ObserveSaturated takes the mean gap, divided by the pace of its server, of a stream beside continuous prefill. Streams
// beside less prefill would lower the estimate whenever there is little load. The estimate is a high quantile, as the
// prefill of some of these streams had pauses, and of means, as a longest gap includes slow phases.
func (g *Gaps) ObserveSaturated(meanMS float64) { g.saturatedMS.observe(meanMS) }

// Spread returns how far the longest gaps of streams with the given limit are from what prefill explains.
func (g *Gaps) Spread(limit time.Duration) *Spread {
	spread, ok := g.spreads[limit]

	switch {
	case ok:
		return spread
	case len(g.spreads) >= maxSpreads:
		return g.shared
	}

	spread = newSpread()
	g.spreads[limit] = spread

	return spread
}

// Spread is the distribution of the ratio between the longest gap of a stream and what prefill explains: a logistic
// distribution of its logarithm, through two learned quantiles.
type Spread struct {
	median, high quantile
	// logMedian and steepness are those of the logistic distribution, certain the ratio of a limit to the explained gap from
	// which the probability of exceeding it is negligible.
	logMedian, steepness, certain float64
}

func newSpread() *Spread {
	s := &Spread{median: newQuantile(median, 1), high: newQuantile(highShare, initialHigh)}
	s.high.steady = true
	s.fit()

	return s
}

func (s *Spread) observe(ratio float64) {
	s.median.observe(ratio)
	s.high.observe(ratio)
	s.fit()
}

func (s *Spread) fit() {
	s.logMedian = math.Log(s.median.value)
	s.steepness = math.Log(highShare/(1-highShare)) / math.Log(max(s.high.value/s.median.value, minSpread))
	s.certain = math.Exp(s.logMedian + negligible/s.steepness)
}

// Median returns the median ratio.
func (s *Spread) Median() float64 { return s.median.value }

// High returns the ratio that one stream in ten exceeds.
func (s *Spread) High() float64 { return s.high.value }

// MissProbability returns the probability that the longest gap of a stream exceeds the limit, given the explained gap.
func (s *Spread) MissProbability(limitMS, explainedMS float64) float64 {
	if limitMS >= s.certain*explainedMS {
		return 0
	}

	return 1 / (1 + math.Exp(s.steepness*(math.Log(limitMS/explainedMS)-s.logMedian)))
}
