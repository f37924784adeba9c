package ejector

import (
	"math"
	"slices"
	"time"
)

const (
	// spreadFactor times the pool's robust spread is what a straggler must exceed as well.
	spreadFactor = 4
	// leastForMedian is the number of members that must serve a class for its median to count.
	leastForMedian = 3
	// deviationScale turns a median absolute deviation into the standard deviation of a normal distribution.
	deviationScale = 1.4826
)

// pool is the upstreams of one service.
type pool struct {
	members map[string]*member
	judged  time.Time
}

// stragglers lists the members whose times exceed the pool's median by SlowFactor
// and by spreadFactor times the pool's own robust spread, and counts the members that
// are at least half way there, on the scale of logarithms.
func (p *pool) stragglers(now time.Time, options Options) (slow []*member, suspects int) {
	suspected := make(map[*member]bool)

	for kind := range signalCount {
		scores := p.scores(now, kind, options)
		limit := max(math.Log(options.StragglerRatio), spreadFactor*spread(scores))

		for m, s := range scores {
			if s > limit/2 {
				suspected[m] = true
			}

			if s > limit && !slices.Contains(slow, m) {
				slow = append(slow, m)
			}
		}
	}

	return slow, len(suspected)
}

// scores gives each member with enough samples the mean logarithm of its times
// over the pool's median of the same class.
func (p *pool) scores(now time.Time, kind signalKind, options Options) map[*member]float64 {
	medians := p.medians(now, kind, options)
	scores := make(map[*member]float64, len(p.members))

	for _, m := range p.members {
		sum, total := 0.0, 0.0

		for class, times := range m.times {
			median, ok := medians[class]
			if !ok {
				continue
			}

			mean, weight := times[kind].read(now, options.HalfLife)
			sum += weight * (mean - median)
			total += weight
		}

		if total >= m.needed(options) {
			scores[m] = sum / total
		}
	}

	return scores
}

// medians gives the pool's median logarithm of each class that enough members serve.
func (p *pool) medians(now time.Time, kind signalKind, options Options) map[string]float64 {
	byClass := make(map[string][]float64)

	for _, m := range p.members {
		for class, times := range m.times {
			if mean, weight := times[kind].read(now, options.HalfLife); weight >= 1 {
				byClass[class] = append(byClass[class], mean)
			}
		}
	}

	medians := make(map[string]float64, len(byClass))

	for class, means := range byClass {
		if len(means) >= leastForMedian {
			medians[class] = lowerMedian(means)
		}
	}

	return medians
}

// spread is the median absolute deviation, scaled to a standard deviation.
func spread(scores map[*member]float64) float64 {
	if len(scores) == 0 {
		return 0
	}

	values := make([]float64, 0, len(scores))
	for _, s := range scores {
		values = append(values, s)
	}

	middle := lowerMedian(values)
	for i := range values {
		values[i] = math.Abs(values[i] - middle)
	}

	return deviationScale * lowerMedian(values)
}

// lowerMedian sorts values; of two middle values it takes the lower, so that half a small pool can't hide the other half.
func lowerMedian(values []float64) float64 {
	slices.Sort(values)

	return values[(len(values)-1)/2]
}
