package follower

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// fleetOf returns nodes of some failure domains, of which each with a number below strong in its domain is a strong VM.
func fleetOf(count, domains, strong int) ([]string, []cataloguer.Node) {
	names := make([]string, 0, count)
	nodes := make([]cataloguer.Node, 0, count)

	for i := range count {
		node := cataloguer.Node{Name: fmt.Sprintf("10.0.%d.%d:7", i%domains, i/domains), FailureDomain: fmt.Sprint("d", i%domains), Capacity: 0.2}
		if i/domains < strong {
			node.Capacity = 0.8
		}

		names, nodes = append(names, node.Name), append(nodes, node)
	}

	return names, nodes
}

// Symptom: changes take seconds to reach a fleet of few strong and many weak VMs, and most of their bytes cross failure domains.
// Sequence: each node computes whom to ask.
// Cause: parents were found by hashing alone.
func TestTreeFeedsEachFailureDomainOnceThroughStrongNodes(t *testing.T) {
	for _, size := range []struct{ count, domains, strong int }{{1, 1, 1}, {9, 3, 3}, {65, 3, 2}, {295, 5, 3}, {370, 12, 2}} {
		names, nodes := fleetOf(size.count, size.domains, size.strong)
		trees := make(map[string]*tree, len(names))

		for _, name := range names {
			trees[name] = newTree(name, names, nodes)
		}

		fed, crossing := map[string]int{}, 0

		for i, node := range nodes {
			t1 := trees[node.Name]
			assert.Assert(t, t1.depth <= 3, "%d nodes: depth %d", size.count, t1.depth)
			assert.Assert(t, len(t1.children) <= fanOut+size.domains)

			if t1.parent == "" {
				assert.Equal(t, t1.rank, 0)
				assert.Equal(t, node.Capacity, 0.8)

				continue
			}

			parent := nodes[slices.Index(names, t1.parent)]
			fed[node.Name]++

			assert.Assert(t, slices.Contains(trees[t1.parent].children, node.Name), "node %d isn't told by its parent", i)
			assert.Equal(t, t1.depth, max(trees[t1.parent].depth, 0)+1)

			if parent.FailureDomain != node.FailureDomain {
				crossing++

				assert.Equal(t, node.Capacity, 0.8, "a weak node feeds its failure domain")
			}
		}

		assert.Equal(t, len(fed), size.count-1)

		if size.count > fanOut+1 {
			assert.Equal(t, crossing, size.domains-1)
		}
	}
}
