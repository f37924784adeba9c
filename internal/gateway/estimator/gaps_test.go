package estimator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a probability of too long a gap that isn't the fraction of streams that have one, whatever the engine's kind:
// two streams in ten meet a slow phase that makes gaps 2.5 times as long.
func TestProbabilityOfLongGapsIsLearned(t *testing.T) {
	for _, factor := range []float64{0.3, 1, 4} {
		random := rand.New(rand.NewPCG(1, 2))
		gaps := newGaps(200)

		for range 3000 {
			ratio := factor * math.Exp(0.1*random.NormFloat64())
			if random.Float64() < 0.2 {
				ratio *= 2.5
			}

			gaps.Observe(time.Second, 40*ratio, 40)
		}

		spread := gaps.Spread(time.Second)
		assert.Assert(t, spread.MissProbability(2.2*factor*40, 40) > 0.1)
		assert.Assert(t, spread.MissProbability(2.2*factor*40, 40) < 0.3)
		assert.Assert(t, spread.MissProbability(6*factor*40, 40) < 0.02)
		assert.Assert(t, spread.MissProbability(0.5*factor*40, 40) > 0.8)
	}
}

// Guards against state that grows with the number of gap limits in the configuration.
func TestGapLimitsBeyondTheMostShareOneDistribution(t *testing.T) {
	gaps := newGaps(200)
	for i := range 3 * maxSpreads {
		gaps.Observe(time.Duration(i+1)*time.Millisecond, 1, 1)
	}

	assert.Equal(t, len(gaps.spreads), maxSpreads)
}
