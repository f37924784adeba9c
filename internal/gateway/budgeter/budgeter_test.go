package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/budgeter"
)

func newBudgeter(extra, nodes int) *budgeter.Budgeter {
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
