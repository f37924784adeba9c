package cataloguer

// strongPart is the part of the strongest node's capacity that a node needs to work for others: to decide for a pool, or
// to stand at the top of the tree by which changes travel. A weak one answers late, and all others would wait for it.
const strongPart = 0.6

// SplitByCapacity parts nodes into strong and weak ones, each in the order given. Nodes that aren't listed count as weak
// unless all do.
func SplitByCapacity(names []string, listed []Node) (strong, weak []string) {
	capacities := make(map[string]float64, len(listed))
	for _, node := range listed {
		capacities[node.Name] = node.Capacity
	}

	most := 0.0
	for _, name := range names {
		most = max(most, capacities[name])
	}

	for _, name := range names {
		if capacities[name] >= strongPart*most {
			strong = append(strong, name)
		} else {
			weak = append(weak, name)
		}
	}

	return strong, weak
}
