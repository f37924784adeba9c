package ejector

import (
	"math"
	"slices"
	"time"
)

const (
	// minDeviations is the number of robust standard deviations by which a straggler must also exceed the median.
	minDeviations = 4
	// minMembersForMedian is the number of members that must serve a class before its median is used.
	minMembersForMedian = 3
	// madToStdDev converts a median absolute deviation to the standard deviation of a normal distribution.
	madToStdDev = 1.4826
)

// pool holds the upstreams of one service.
type pool struct {
	members     map[string]*member
	evaluatedAt time.Time
}

// stragglers returns the members whose times exceed the pool's median by both StragglerRatio and minDeviations robust standard
// deviations. suspects is the number of members that exceed half of that limit on the logarithmic scale, stragglers
// included.
func (p *pool) stragglers(now time.Time, options Options) (slow []*member, suspects int) {
	suspectSet := make(map[*member]bool)

	for kind := range signalCount {
		scores := p.scores(now, kind, options)
		limit := max(math.Log(options.StragglerRatio), minDeviations*robustStdDev(scores))

		for m, s := range scores {
			if s > limit/2 {
				suspectSet[m] = true
			}

			if s > limit && !slices.Contains(slow, m) {
				slow = append(slow, m)
			}
		}
	}

	return slow, len(suspectSet)
}

// scores returns, for each member with enough samples, the weighted mean difference between the logarithm of its times and the
// pool's median for the same class.
func (p *pool) scores(now time.Time, kind signalKind, options Options) map[*member]float64 {
	medians := p.medians(now, kind, options)
	scores := make(map[*member]float64, len(p.members))

	for _, m := range p.members {
		sum, total := 0.0, 0.0

		for class, times := range m.latencies {
			median, ok := medians[class]
			if !ok {
				continue
			}

			mean, weight := times[kind].meanAndWeight(now, options.HalfLife)
			sum += weight * (mean - median)
			total += weight
		}

		if total >= m.requiredWeight(options) {
			scores[m] = sum / total
		}
	}

	return scores
}

// medians returns the pool's median logarithm for each class that at least minMembersForMedian members serve.
func (p *pool) medians(now time.Time, kind signalKind, options Options) map[string]float64 {
	byClass := make(map[string][]float64)

	for _, m := range p.members {
		for class, times := range m.latencies {
			if mean, weight := times[kind].meanAndWeight(now, options.HalfLife); weight >= 1 {
				byClass[class] = append(byClass[class], mean)
			}
		}
	}

	medians := make(map[string]float64, len(byClass))

	for class, means := range byClass {
		if len(means) >= minMembersForMedian {
			medians[class] = lowerMedian(means)
		}
	}

	return medians
}

// robustStdDev estimates the standard deviation from the median absolute deviation.
func robustStdDev(scores map[*member]float64) float64 {
	if len(scores) == 0 {
		return 0
	}

	values := make([]float64, 0, len(scores))
	for _, s := range scores {
		values = append(values, s)
	}

	median := lowerMedian(values)
	for i := range values {
		values[i] = math.Abs(values[i] - median)
	}

	return madToStdDev * lowerMedian(values)
}

// lowerMedian sorts values and returns the median. Of two middle values it returns the lower one, so that the slow half of a
// small pool does not raise the median and hide itself.
func lowerMedian(values []float64) float64 {
	slices.Sort(values)

	return values[(len(values)-1)/2]
}
