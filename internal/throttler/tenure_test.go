package throttler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/throttler"
)

func everyone(string) bool { return true }
func nobody(string) bool   { return false }

// Guards against a node that admits requests before it knows what the others admitted.
func TestNewDeciderWaits(t *testing.T) {
	for _, holders := range [][]string{{"a", "b"}, {"b", "a"}} {
		var tenure throttler.Tenure

		tenure.Update(start, "a", holders, everyone)

		part, _ := tenure.Terms(start.Add(2*time.Second), 1)
		assert.Equal(t, part, 0.0)

		part, _ = tenure.Terms(start.Add(3*time.Second), 0.25)
		assert.Equal(t, part, 0.25)

		// Once it is neither, it admits nothing, and has to wait again.
		tenure.Update(start.Add(4*time.Second), "a", []string{"b", "c"}, everyone)

		part, _ = tenure.Terms(start.Add(time.Minute), 1)
		assert.Equal(t, part, 0.0)

		tenure.Update(start.Add(time.Minute), "a", holders, everyone)

		part, _ = tenure.Terms(start.Add(time.Minute+time.Second), 1)
		assert.Equal(t, part, 0.0)
	}
}

// Guards against two nodes that each admit the whole limit, since a cut took the holder from one of them.
func TestNodeThatTakesOverAdmitsAPart(t *testing.T) {
	cost := func(tenure *throttler.Tenure, at time.Duration) float64 {
		_, cost := tenure.Terms(start.Add(at), 1)

		return cost
	}

	var standby throttler.Tenure

	standby.Update(start, "b", []string{"a", "b"}, everyone)
	assert.Equal(t, cost(&standby, time.Minute), throttler.CostTakingOver)

	// The holder doesn't answer any more.
	standby.Update(start.Add(time.Minute), "b", []string{"b", "c"}, nobody)
	assert.Equal(t, cost(&standby, time.Minute+3*time.Second), throttler.CostTakingOver)
	assert.Equal(t, cost(&standby, time.Minute+4*time.Second), throttler.CostDeciding)

	var successor throttler.Tenure

	// The holder is leaving, and tells so.
	successor.Update(start, "b", []string{"a", "b"}, everyone)
	successor.Update(start.Add(time.Minute), "b", []string{"b", "c"}, everyone)
	assert.Equal(t, cost(&successor, time.Minute), throttler.CostDeciding)

	// A node that restarts doesn't know the former holder.
	var restarted throttler.Tenure

	restarted.Update(start, "b", []string{"b", "c"}, everyone)
	assert.Equal(t, cost(&restarted, 3*time.Second), throttler.CostTakingOver)
}
