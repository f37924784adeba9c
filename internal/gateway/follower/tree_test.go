package follower

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// fleetNodes returns nodes in several failure domains. In each domain, the nodes with an index below strong are
// strong VMs.
func fleetNodes(count, domains, strong int) ([]string, []cataloguer.Node) {
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

// If parents are chosen by hashing alone, changes take seconds to reach a fleet of few strong and many weak VMs, and
// most of their bytes cross failure domains.
func TestTreeFeedsEachFailureDomainOnceThroughStrongNodes(t *testing.T) {
	for _, size := range []struct{ count, domains, strong int }{{1, 1, 1}, {9, 3, 3}, {65, 3, 2}, {295, 5, 3}, {370, 12, 2}} {
		names, nodes := fleetNodes(size.count, size.domains, size.strong)
		listed := cataloguer.NewRegistry(cataloguer.Listing{Nodes: nodes}).Nodes
		trees := make(map[string]*tree, len(names))

		for _, node := range nodes {
			trees[node.Name] = newTree(node, names, &listed)
		}

		hasParent, crossDomain := map[string]int{}, 0

		for i, node := range nodes {
			nodeTree := trees[node.Name]
			assert.Assert(t, nodeTree.depth <= 3, "%d nodes: depth %d", size.count, nodeTree.depth)
			assert.Assert(t, len(nodeTree.children) <= fanOut+size.domains)

			if nodeTree.parent == "" {
				assert.Equal(t, nodeTree.rank, 0)
				assert.Equal(t, node.Capacity, 0.8)

				continue
			}

			parent := nodes[slices.Index(names, nodeTree.parent)]
			hasParent[node.Name]++

			assert.Assert(t, slices.Contains(trees[nodeTree.parent].children, node.Name), "node %d is missing from its parent's children", i)
			assert.Equal(t, nodeTree.depth, max(trees[nodeTree.parent].depth, 0)+1)

			if parent.FailureDomain != node.FailureDomain {
				crossDomain++

				assert.Equal(t, node.Capacity, 0.8, "a weak node is the head of its failure domain")
			}
		}

		assert.Equal(t, len(hasParent), size.count-1)

		if size.count > fanOut+1 {
			assert.Equal(t, crossDomain, size.domains-1)
		}
	}
}

// Guards against nodes that all pull from the root until they are listed, each as the head of a failure domain of its own:
// after a start of 1,000 nodes the root's link was busy for seconds and those that it didn't answer read the store.
func TestUnlistedNodesPullWithinTheirFailureDomain(t *testing.T) {
	const domains = 12

	for _, count := range []int{100, 1000, 2000} {
		names, nodes := fleetNodes(count, domains, 2)
		listedCount := count / 4
		listed := cataloguer.NewRegistry(cataloguer.Listing{Nodes: nodes[:listedCount]}).Nodes
		rootDomain, pullFromRoot := "", 0

		for _, node := range nodes[listedCount:] {
			nodeTree := newTree(node, append(slices.Clone(names[:listedCount]), node.Name), &listed)
			root, _ := listed.Get(nodeTree.order[0])
			rootDomain = root.FailureDomain

			if node.FailureDomain != rootDomain && nodeTree.parent == root.Name {
				pullFromRoot++
			}
		}

		assert.Assert(t, pullFromRoot < domains, "%d nodes: %d unlisted nodes outside failure domain %s pull from the root", count, pullFromRoot, rootDomain)
	}
}
