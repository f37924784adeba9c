package server

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/claimer"
)

// Symptom: one node of the fleet uses several times the memory of the others. Sequence: hashing gives it
// several shards of claims, or a crash does. Cause: a choice that looks at each shard by itself.
func TestShardsAreSpreadEvenly(t *testing.T) {
	assert.Equal(t, len(spreadShards(nil)), 0)
	for _, nodes := range []int{1, 2, 3, 9, 31, 32, 33, 100, 370} {
		live := make([]string, nodes)
		for i := range live {
			live[i] = fmt.Sprintf("node-%d", i)
		}
		before := spreadShards(live)
		held := map[string]int{}
		for _, holder := range before {
			held[holder]++
			assert.Assert(t, held[holder] <= (claimer.Shards+nodes-1)/nodes)
		}
		moved := 0
		rest := slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name == before[0] })
		for shard, holder := range spreadShards(rest) {
			if holder != before[shard] {
				moved++
			}
		}
		t.Logf("nodes=%d shards of the node=%d moved when it goes=%d", nodes, held[before[0]], moved)
		assert.Assert(t, nodes < 33 || moved <= 4)
	}
}
