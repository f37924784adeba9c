package granter

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// Symptom: of three pools, the one that a node held alone got half of all asks.
// Sequence: callers are steered evenly to two holders, one of which holds two
// pools; each asks its own. Cause: callers are spread over holders, not pools.
func TestPartsStayEvenUnderSteering(t *testing.T) {
	const asks = 60_000

	for _, holders := range [][]string{{"a", "b"}, {"a", "a", "b"}, {"a", "a", "a", "b", "c"}, {"a", "b", "b", "c", "c", "c"}} {
		steered := slices.Compact(slices.Clone(holders))
		counts, local := make([]int, len(holders)), 0

		for i := range asks {
			self := steered[i%len(steered)]
			part := choosePart(holders, self, xxhash.Sum64String(fmt.Sprint(i)))
			counts[part]++

			if holders[part] == self {
				local++
			}
		}

		for _, count := range counts {
			assert.Assert(t, count > asks/len(holders)*96/100 && count < asks/len(holders)*104/100, "%v: %v", holders, counts)
		}

		t.Logf("%v: %v, local %d", holders, counts, local)
		assert.Assert(t, local > asks/2, "%v: %d", holders, local)
	}

	assert.Equal(t, choosePart([]string{"", ""}, "a", 7), 1)
	assert.Equal(t, choosePart([]string{"b", "c"}, "a", 7), 1)
}

func TestOwnPoolIsAskedFirstUntilItQueues(t *testing.T) {
	// 40 servers make two pools, each held by another node.
	inVirtualTime(t, 3, 40, 1, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		holder := n.holderNode()
		assert.Assert(t, holder.router.holderOf("assistente#1") != holder.name)

		// The first ask begins a rebuild.
		_, err := holder.run(ctx, "chat", time.Millisecond)
		assert.NilError(t, err)
		time.Sleep(3 * time.Second)

		before := n.messages[MethodAsk]

		for range 20 {
			go func() { _, _ = holder.run(ctx, "chat", time.Hour) }()
		}

		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, holder.holder.Stats()["assistente"].Granted["chat"], 21)
		assert.Equal(t, n.messages[MethodAsk], before)

		// 40 slots are there, 20 of them in this pool.
		for range 20 {
			go func() { _, _ = holder.run(ctx, "chat", time.Hour) }()
		}

		time.Sleep(time.Second)
		assert.Assert(t, n.inUse() > 25, "%d", n.inUse())
	})
}

// Symptom: load reports cost twice of what is used. Sequence: two nodes hold the
// two pools of a service; each reads the reports of all 40 servers. Cause: a
// holder was known by the service, not by the pool.
func TestEachUpstreamIsHeldOnce(t *testing.T) {
	inVirtualTime(t, 3, 40, 1, fixed(), func(t *testing.T, _ context.Context, n *network) {
		counts := make(map[string]int)

		for name, node := range n.nodes {
			held := node.router.HeldUpstreams("assistente")
			assert.Equal(t, len(held) > 0, slices.Contains(node.router.HoldersOf("assistente"), name))

			for upstream := range held {
				counts[upstream]++
			}

			assert.Equal(t, len(node.router.HeldUpstreams("unknown")), 0)
		}

		assert.Equal(t, len(counts), 40)

		for upstream, count := range counts {
			assert.Equal(t, count, 1, upstream)
		}
	})
}
