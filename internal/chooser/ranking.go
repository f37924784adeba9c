package chooser

import (
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
	// best holds the best nodes for each name, best first.
	best map[string][]candidate
	// scored counts the scores computed.
	scored int
}

// NewRanking returns a ranking without nodes and names that keeps the given number of nodes for each name.
func NewRanking(count int) *Ranking {
	return &Ranking{count: count, best: make(map[string][]candidate)}
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
			best = insertCandidate(best, candidate{node: node, score: score(key ^ xxhash.Sum64String(node))}, r.count)
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

// setNodes replaces the nodes and returns those that came and went.
func (r *Ranking) setNodes(nodes []string) (added []string, removed map[string]bool) {
	removed = make(map[string]bool)

	for _, node := range r.nodes {
		if _, ok := slices.BinarySearch(nodes, node); !ok {
			removed[node] = true
		}
	}

	for _, node := range nodes {
		if _, ok := slices.BinarySearch(r.nodes, node); !ok {
			added = append(added, node)
		}
	}

	r.nodes = slices.Clone(nodes)
	r.hashes = hashNodes(r.nodes)

	return added, removed
}

// rank computes the best nodes for a name from all nodes.
func (r *Ranking) rank(name string) []candidate {
	r.scored += len(r.nodes)

	return rank(name, r.nodes, r.hashes, r.count)
}
