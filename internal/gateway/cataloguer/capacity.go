package cataloguer

// strongCapacityRatio is the minimum capacity, relative to the strongest node, of a node that works on behalf of
// others: one that decides for a pool or is near the root of the distribution tree. A weaker node responds late, and
// all others would wait for it.
const strongCapacityRatio = 0.6

// spreadCapacityRatio is the minimum where holders are chosen in proportion to their capacity, so that a weak node holds a pool more
// rarely than a strong one.
const spreadCapacityRatio = 0.3

// SplitByCapacity splits nodes into strong and weak ones, preserving their order. Unlisted nodes count as weak unless
// none is listed.
func SplitByCapacity(names []string, listed *Index[Node]) (strong, weak []string) {
	return splitByCapacity(names, listed, strongCapacityRatio)
}

// SplitForSpreading splits nodes as SplitByCapacity does, with a lower bound for strong ones.
func SplitForSpreading(names []string, listed *Index[Node]) (strong, weak []string) {
	return splitByCapacity(names, listed, spreadCapacityRatio)
}

func splitByCapacity(names []string, listed *Index[Node], ratio float64) (strong, weak []string) {
	capacities := make([]float64, len(names))
	highest := 0.0

	for i, name := range names {
		// Get returns a node without capacity if it is not listed.
		node, _ := listed.Get(name)
		capacities[i] = node.Capacity
		highest = max(highest, node.Capacity)
	}

	for i, name := range names {
		if capacities[i] >= ratio*highest {
			strong = append(strong, name)
		} else {
			weak = append(weak, name)
		}
	}

	return strong, weak
}
