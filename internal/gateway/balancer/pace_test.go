package balancer_test

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// unevenSpeeds returns the speeds of the engines of a load.
func unevenSpeeds(count int) []float64 {
	var speeds []float64
	for i := range count {
		speeds = append(speeds, []float64{0.6, 1, 1.6}[i%3])
	}

	return speeds
}

// Guards against decisions that change while the setting is off: the golden file holds what the code before it decided.
func TestDecisionsWithoutPaceAreAsBefore(t *testing.T) {
	l := newPaceLoad(1, balancer.Options{}, paceClasses(12, 52, 57), unevenSpeeds(18), true)
	l.closed = 5000
	l.play(5000)

	log := strings.Join(l.decisions, "\n")
	golden.Assert(t, fmt.Sprintf("decisions %d, refused %v, sha256 %x\n", len(l.decisions), l.refused, sha256.Sum256([]byte(log))), "decisions_without_pace.golden")
}
