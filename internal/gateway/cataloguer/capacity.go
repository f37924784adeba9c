package cataloguer

// strongCapacityRatio is the minimum capacity, relative to the strongest node, of a node that works on behalf of
// others: one that decides for a pool or is near the root of the distribution tree. A weaker node responds late, and
// all others would wait for it.
const strongCapacityRatio = 0.6

// SplitByCapacity splits nodes into strong and weak ones, preserving their order. Unlisted nodes count as weak unless
// none is listed.
func SplitByCapacity(names []string, listed []Node) (strong, weak []string) {
	capacities := make(map[string]float64, len(listed))
	for _, node := range listed {
		capacities[node.Name] = node.Capacity
	}

	highest := 0.0
	for _, name := range names {
		highest = max(highest, capacities[name])
	}

	for _, name := range names {
		if capacities[name] >= strongCapacityRatio*highest {
			strong = append(strong, name)
		} else {
			weak = append(weak, name)
		}
	}

	return strong, weak
}
