package granter

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// compared returns the bytes that entries answered to comparisons within a time.
func (n *network) compared(during time.Duration) int {
	n.mu.Lock()
	n.bytes[MethodInFlight+" answer"] = 0
	n.mu.Unlock()
	time.Sleep(during)

	n.mu.Lock()
	defer n.mu.Unlock()

	return n.bytes[MethodInFlight+" answer"]
}

// Symptom: comparisons were nine tenths of what nodes sent. Sequence: an entry
// has five attempts in flight and nothing changes; each second it lists them
// all. Cause: the holder didn't say what it knows already.
func TestEqualStatesSendNoList(t *testing.T) {
	inVirtualTime(t, 2, 2, 4, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		entry, holder := n.other(), n.holderNode().holder

		for range 5 {
			go func() { _, _ = entry.run(ctx, "chat", time.Hour) }()
		}

		time.Sleep(3 * time.Second)
		assert.Equal(t, n.compared(5*time.Second), 5*len(`{"same":true}`))
		assert.Equal(t, n.inUse(), 5)

		// What the entry doesn't know is freed.
		item := askItem{ID: "unknown", Service: "assistente", Class: "chat", Organisation: "a"}
		holder.take(entry.name, askParams{Asks: []askItem{item}})
		assert.Equal(t, n.inUse(), 6)
		assert.Assert(t, n.compared(5*time.Second) > 500)
		assert.Equal(t, n.inUse(), 5)
		assert.Equal(t, n.compared(5*time.Second), 5*len(`{"same":true}`))
	})
}

// The next holder knows nothing, so that the entry's answer to it must be the list.
func TestDifferenceSendsTheList(t *testing.T) {
	inVirtualTime(t, 3, 2, 3, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		first := n.holderNode()
		n.setDown(first.name, true)

		next, entry := n.holderNode(), n.other()
		n.setDown(first.name, false)

		for range 5 {
			go func() { _, _ = entry.run(ctx, "chat", time.Hour) }()
		}

		time.Sleep(3 * time.Second)
		n.setDown(first.name, true)
		next.holder.claim(next.holder.open("assistente", 0))

		assert.Assert(t, n.compared(900*time.Millisecond) > 500)
		assert.DeepEqual(t, next.holder.Stats()["assistente"].InFlight, first.holder.Stats()["assistente"].InFlight)
		assert.Equal(t, n.compared(2*time.Second), 2*len(`{"same":true}`))
	})
}
