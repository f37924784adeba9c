package follower

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// fanOut is the number of nodes of a failure domain that pull from the same parent. Three levels reach 4,000 nodes.
const fanOut = 20

// tree is the distribution tree from the store to all nodes, as seen by one node. Each node computes it from the live
// nodes, so no election is needed.
//
// The strongest nodes are at the top. With hashing alone, a fleet of few strong and many weak VMs would have weak
// ones there, whose links are saturated for seconds by each change. Each failure domain receives updates once,
// through its head, since bytes between failure domains are paid for. In a small fleet all nodes pull from the root,
// as each level adds latency.
type tree struct {
	// order holds all nodes: the strong ones first, each group sorted by hash.
	order []string
	// rank is this node's position in order; 0 for the root, which reads the store for all.
	rank int
	// parent is the node to pull from; empty for the root.
	parent string
	// depth is the number of nodes between this one and the store; 0 for the root.
	depth int
	// children are the nodes that pull from this one.
	children []string
}

// SortByHash returns the nodes sorted by the hash of their names. All nodes agree on this order without
// communication, and similar names don't get adjacent positions.
func SortByHash(nodes []string) []string {
	type hashed struct {
		name string
		hash uint64
	}

	order := make([]hashed, 0, len(nodes))
	for _, name := range nodes {
		order = append(order, hashed{name: name, hash: xxhash.Sum64String(name)})
	}

	slices.SortFunc(order, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })

	names := make([]string, 0, len(order))
	for _, node := range order {
		names = append(names, node.name)
	}

	return names
}

// orderNodes returns the nodes in the order of the tree: the strong ones first, each group sorted by hash.
func orderNodes(nodes []string, listed *cataloguer.Index[cataloguer.Node]) []string {
	strong, weak := cataloguer.SplitByCapacity(SortByHash(nodes), listed)

	return append(strong, weak...)
}

// precedes reports whether a live node comes before another one in the order.
func (t *tree) precedes(name, other string) bool {
	position := slices.Index(t.order, name)

	return position >= 0 && position < slices.Index(t.order, other)
}

// newTree returns the tree of the live nodes as seen by one of them. Unlisted nodes count as weak. The failure domain of self
// is known before it is listed: if it weren't, each of hundreds of nodes that start together would take itself for the head
// of a failure domain of its own and pull from the root.
func newTree(self cataloguer.Node, live []string, listed *cataloguer.Index[cataloguer.Node]) *tree {
	domainOf := func(name string) string {
		if name == self.Name {
			return self.FailureDomain
		}

		node, _ := listed.Get(name)

		return node.FailureDomain
	}

	t := &tree{order: orderNodes(live, listed)}
	t.rank = max(slices.Index(t.order, self.Name), 0)

	if len(t.order) <= fanOut+1 {
		t.setDomainPosition(t.order, t.rank)

		return t
	}

	// The head of each failure domain, its first node in order, pulls from the root; the others pull from nodes of
	// their domain.
	var domainHeads, domainNodes []string

	domain := self.FailureDomain
	seen := make(map[string]bool)

	for _, name := range t.order {
		nodeDomain := domainOf(name)
		if !seen[nodeDomain] {
			seen[nodeDomain] = true

			domainHeads = append(domainHeads, name)
		}

		if nodeDomain == domain {
			domainNodes = append(domainNodes, name)
		}
	}

	position := max(slices.Index(domainNodes, self.Name), 0)
	t.setDomainPosition(domainNodes, position)

	switch {
	case t.rank == 0:
		t.children = append(t.children, domainHeads[1:]...)
	case position == 0:
		t.parent = t.order[0]
	}

	if domainNodes[0] != t.order[0] {
		t.depth++
	}

	return t
}

// setDomainPosition sets the parent, children and depth that follow from the position among the nodes of one failure
// domain.
func (t *tree) setDomainPosition(domainNodes []string, position int) {
	first := min(position*fanOut+1, len(domainNodes))
	last := min(first+fanOut, len(domainNodes))
	t.children = slices.Clone(domainNodes[first:last])

	if position > 0 {
		t.parent = domainNodes[(position-1)/fanOut]
	}

	for ; position > 0; position = (position - 1) / fanOut {
		t.depth++
	}
}
