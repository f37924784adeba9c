package follower

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// fanOut is the number of nodes of a failure domain that ask the same parent. Three levels reach 4,000 nodes.
const fanOut = 20

// tree is the way of changes from the store to all nodes, as one node sees it. Each node computes it from the live ones,
// so nobody has to be elected.
//
// The strongest nodes stand at the top: with hashing alone a fleet of few strong and many weak VMs has weak ones there, whose links
// are full for seconds with each change. Each failure domain is fed once, by its first node, since bytes between failure
// domains are paid for. A fleet that is small enough hangs on its first node alone: news are older with each level.
type tree struct {
	// order holds all nodes, the strong ones first, else by hash.
	order []string
	// rank is this node's place in the order, 0 for the one that reads the store for all.
	rank int
	// parent is the node to ask; empty for the first one.
	parent string
	// depth is the number of nodes between this one and the store; 0 for the first.
	depth int
	// children are the nodes that ask this one.
	children []string
}

// SortByHash sorts nodes so that all nodes agree on it without a message and a name says nothing of the place.
func SortByHash(nodes []string) []string {
	order := slices.Clone(nodes)

	slices.SortFunc(order, func(a, b string) int {
		left, right := xxhash.Sum64String(a), xxhash.Sum64String(b)

		switch {
		case left < right:
			return -1
		case left > right:
			return 1
		default:
			return 0
		}
	})

	return order
}

// isBefore says whether a live node goes before another one in the tree's order.
func (t *tree) isBefore(name, other string) bool {
	place := slices.Index(t.order, name)

	return place >= 0 && place < slices.Index(t.order, other)
}

// newTree returns the tree over the live nodes as the node named self sees it. Nodes that aren't listed yet count as weak.
func newTree(self string, live []string, listed []cataloguer.Node) *tree {
	known := make(map[string]cataloguer.Node, len(listed))
	for _, node := range listed {
		known[node.Name] = node
	}

	strong, weak := cataloguer.SplitByCapacity(SortByHash(live), listed)
	t := &tree{order: append(strong, weak...)}
	t.rank = max(slices.Index(t.order, self), 0)

	if len(t.order) <= fanOut+1 {
		t.placeIn(t.order, t.rank)

		return t
	}

	// The first node of each failure domain hangs on the first of all, the others on those of their own.
	var heads, own []string

	domain := known[self].FailureDomain
	seen := make(map[string]bool)

	for _, name := range t.order {
		at := known[name].FailureDomain
		if !seen[at] {
			seen[at] = true

			heads = append(heads, name)
		}

		if at == domain {
			own = append(own, name)
		}
	}

	place := max(slices.Index(own, self), 0)
	t.placeIn(own, place)

	switch {
	case t.rank == 0:
		t.children = append(t.children, heads[1:]...)
	case place == 0:
		t.parent = t.order[0]
	}

	if own[0] != t.order[0] {
		t.depth++
	}

	return t
}

// placeIn sets what follows from the place among the nodes of one failure domain.
func (t *tree) placeIn(own []string, place int) {
	first := min(place*fanOut+1, len(own))
	last := min(first+fanOut, len(own))
	t.children = slices.Clone(own[first:last])

	if place > 0 {
		t.parent = own[(place-1)/fanOut]
	}

	for ; place > 0; place = (place - 1) / fanOut {
		t.depth++
	}
}
