package chooser

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ranking keeps the best nodes for many names while nodes come and go. It chooses the same nodes as ChooseN. A node that
// comes or goes costs one score for each name, and a new ranking only of the names whose best nodes include it; choosing
// all anew would cost nodes times names. It is not safe for concurrent use.
type Ranking struct {
	// count is the number of nodes kept for each name.
	count int
	// nodes are the nodes sorted by name, hashes their hashes.
	nodes  []string
	hashes []uint64
	// weight returns the weight of a node; nil if all have the same. weights are those of the nodes, nil without weight.
	weight  func(node string) float64
	weights []float64
	// best holds the best nodes for each name, best first.
	best map[string][]candidate
	// scored counts the scores computed.
	scored int
}

// NewRanking returns a ranking without nodes and names that keeps the given number of nodes for each name.
func NewRanking(count int) *Ranking {
	return &Ranking{count: count, best: make(map[string][]candidate)}
}

// NewWeightedRanking returns a Ranking that prefers nodes in proportion to their weights, which may change at each update. Nodes
// without a weight are chosen last.
func NewWeightedRanking(count int, weight func(node string) float64) *Ranking {
	r := NewRanking(count)
	r.weight = weight

	return r
}

// Update sets the nodes, which must be sorted, and the names.
func (r *Ranking) Update(nodes, names []string) {
	added, removed := r.setNodes(nodes)
	kept := make(map[string][]candidate, len(names))

	for _, name := range names {
		best, known := r.best[name]
		lost := known && slices.ContainsFunc(best, func(c candidate) bool { return removed[c.node] })

		if !known || lost {
			kept[name] = r.rank(name)

			continue
		}

		key := xxhash.Sum64String(name)
		for _, node := range added {
			i, _ := slices.BinarySearch(r.nodes, node)
			best = insertCandidate(best, r.candidate(key, i), r.count)
		}

		r.scored += len(added)
		kept[name] = best
	}

	r.best = kept
}

// Best returns the best nodes for a name; the caller may modify the result.
func (r *Ranking) Best(name string) []string {
	best, ok := r.best[name]
	if !ok {
		best = r.rank(name)
	}

	return names(best)
}

// setNodes replaces the nodes and returns those that came and went; a node whose weight changed did both.
func (r *Ranking) setNodes(nodes []string) (added []string, removed map[string]bool) {
	removed = make(map[string]bool)
	weights := r.weightsOf(nodes)

	for i, node := range r.nodes {
		if k, ok := slices.BinarySearch(nodes, node); !ok || r.weight != nil && weights[k] != r.weights[i] {
			removed[node] = true
		}
	}

	for _, node := range nodes {
		if _, ok := slices.BinarySearch(r.nodes, node); !ok || removed[node] {
			added = append(added, node)
		}
	}

	r.nodes = slices.Clone(nodes)
	r.hashes = hashNodes(r.nodes)
	r.weights = weights

	return added, removed
}

// weightsOf returns the weights of the nodes, or nil if all have the same.
func (r *Ranking) weightsOf(nodes []string) []float64 {
	if r.weight == nil {
		return nil
	}

	weights := make([]float64, len(nodes))
	for i, node := range nodes {
		weights[i] = r.weight(node)
	}

	return weights
}

// candidate returns the node at an index with its score for the name with the given hash.
func (r *Ranking) candidate(key uint64, index int) candidate {
	hash := score(key ^ r.hashes[index])
	if r.weight == nil {
		return candidate{node: r.nodes[index], score: hash}
	}

	// The bits of positive numbers are in the order of the numbers.
	return candidate{node: r.nodes[index], score: math.Float64bits(WeightedScore(r.weights[index], hash))}
}

// rank computes the best nodes for a name from all nodes.
func (r *Ranking) rank(name string) []candidate {
	r.scored += len(r.nodes)

	best := make([]candidate, 0, r.count+1)
	key := xxhash.Sum64String(name)

	for i := range r.nodes {
		best = insertCandidate(best, r.candidate(key, i), r.count)
	}

	return best
}
