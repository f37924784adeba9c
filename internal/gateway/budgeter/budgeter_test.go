package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/budgeter"
)

func newBudgeter(extra float64, nodes int) *budgeter.Budgeter {
	return budgeter.New(budgeter.Options{Ratio: 0.2, Extra: extra, Window: 10 * time.Second, Nodes: func() int { return nodes }})
}

// spend returns how many extra attempts are allowed at once.
func spend(b *budgeter.Budgeter, now time.Time) int {
	allowed := 0
	for b.Spend(now, "chat") {
		allowed++
	}

	return allowed
}

// Symptom: a failure of all upstreams doubles the load on those that are left.
// Sequence: each of nine nodes meets the same failures and tries again.
// Cause: each held to the bound that all of them share.
func TestNodesShareTheExtraAttempts(t *testing.T) {
	b := newBudgeter(58, 9)
	now := time.Now()

	for range 50 {
		b.First(now, "chat")
	}

	assert.Equal(t, spend(b, now), 50/5+58/9)
}

func TestBudgetComesBackAfterItsWindow(t *testing.T) {
	b := newBudgeter(5, 1)
	now := time.Now()

	assert.Equal(t, spend(b, now), 5)
	assert.Equal(t, spend(b, now.Add(9*time.Second)), 0)
	assert.Equal(t, spend(b, now.Add(12*time.Second)), 5)
	assert.Equal(t, spend(b, now.Add(time.Hour)), 5)
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	b := newBudgeter(1, 1)
	now := time.Now()

	assert.Assert(t, b.Spend(now, "chat"))
	assert.Assert(t, !b.Spend(now, "chat"))
	assert.Assert(t, b.Spend(now, "desk"))
}

// Symptom: in a fleet of many VMs no failed request is tried again while there is little traffic.
// Sequence: 370 nodes share 200 extra attempts; a node has served five requests in its window when one fails.
// Cause: the node's part of the extra attempts was cut to a whole number, none, before the ratio of its requests was added.
func TestPartsOfAnAttemptAddUp(t *testing.T) {
	b := newBudgeter(200, 370)
	now := time.Now()

	for range 3 {
		b.First(now, "chat")
	}

	// 0.54 of the extra attempts and 0.6 for the requests.
	assert.Equal(t, spend(b, now), 1)
}

// A bound that was given for a part of a fleet may be a fraction. All nodes together must stay below it.
func TestNodesStayBelowABoundThatIsAFraction(t *testing.T) {
	const (
		extra = 33.2
		nodes = 24
	)

	allowed := 0
	for range nodes {
		allowed += spend(newBudgeter(extra, nodes), time.Now())
	}

	assert.Assert(t, allowed > 0)
	assert.Assert(t, float64(allowed) <= extra, "%d extra attempts", allowed)
}
