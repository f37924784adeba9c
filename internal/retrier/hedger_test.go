package retrier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
)

func TestHedger(t *testing.T) {
	start := time.Date(2026, time.April, 2, 8, 0, 0, 0, time.UTC)
	class := configurer.Class{Name: "counter", Hedge: true, Repeatable: true, RetryBudget: 0.1}
	judge := New(Options{})
	h := NewHedger(judge.Budget())

	observe := func(class configurer.Class, count int) {
		for i := range count {
			h.Observe(start, "banco", class, time.Duration(i%100+1)*time.Millisecond)
		}
	}

	observe(class, estimateSamples-1)

	_, ok := h.Delay("banco", class)
	assert.Assert(t, !ok, "too few samples")

	observe(class, 1)

	after, ok := h.Delay("banco", class)
	assert.Assert(t, ok)
	assert.Assert(t, after >= 90*time.Millisecond && after <= 105*time.Millisecond, "%s", after)

	for name, other := range map[string]configurer.Class{
		"not repeatable": {Name: "booking", Hedge: true},
		"not hedged":     {Name: "chat", Repeatable: true},
	} {
		observe(other, 2*estimateSamples)

		_, ok := h.Delay("banco", other)
		assert.Assert(t, !ok && !h.Spend(start, "banco", other), name)
	}

	for range 10 + defaultMinRetryBurst {
		assert.Assert(t, h.Spend(start, "banco", class))
	}

	assert.Assert(t, !h.Spend(start, "banco", class), "retries and hedged attempts share one budget")
}
