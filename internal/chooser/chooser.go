// Package chooser assigns names to nodes by rendezvous hashing.
//
// Nodes with the same list of nodes choose the same ones without exchanging
// messages. Adding or removing a node moves only the names that it gains or had.
package chooser

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Chooser chooses among a fixed set of nodes. It is immutable and safe for concurrent use.
type Chooser struct {
	nodes []string
	// hashes holds the hash of each node, in the order of nodes.
	hashes []uint64
	table  *rendezvous.Rendezvous
}

// New returns a chooser among the nodes. Their order doesn't affect the choice.
func New(nodes []string) *Chooser {
	nodes = slices.Clone(nodes)

	return &Chooser{nodes: nodes, hashes: hashNodes(nodes), table: rendezvous.New(nodes, xxhash.Sum64String)}
}

// WithNodes returns a chooser among the given nodes: c itself if it has the same
// nodes in the same order. A nil chooser has no nodes.
func (c *Chooser) WithNodes(nodes []string) *Chooser {
	if c != nil && slices.Equal(c.nodes, nodes) {
		return c
	}

	return New(nodes)
}

// Choose returns the node for a name, or "" if there are no nodes.
func (c *Chooser) Choose(name string) string {
	return c.table.Lookup(name)
}

// ChooseN returns up to count distinct nodes for a name, the one that Choose returns first.
// Removing one of them leaves the others chosen.
func (c *Chooser) ChooseN(name string, count int) []string {
	return names(rank(name, c.nodes, c.hashes, count))
}

// candidate is a node with its score for a name.
type candidate struct {
	node  string
	score uint64
}

// rank returns up to count nodes with the highest scores for a name, best first. The hashes are those of the nodes.
func rank(name string, nodes []string, hashes []uint64, count int) []candidate {
	best := make([]candidate, 0, count+1)
	key := xxhash.Sum64String(name)

	for i, node := range nodes {
		best = insertCandidate(best, candidate{node: node, score: score(key ^ hashes[i])}, count)
	}

	return best
}

// insertCandidate adds a candidate to the best ones, which are sorted by score, and drops the worst beyond count.
func insertCandidate(best []candidate, next candidate, count int) []candidate {
	if len(best) == count && (count == 0 || next.score <= best[count-1].score) {
		return best
	}

	index := len(best)
	for index > 0 && best[index-1].score < next.score {
		index--
	}

	best = slices.Insert(best, index, next)

	return best[:min(len(best), count)]
}

func names(best []candidate) []string {
	chosen := make([]string, 0, len(best))
	for _, b := range best {
		chosen = append(chosen, b.node)
	}

	return chosen
}

func hashNodes(nodes []string) []uint64 {
	hashes := make([]uint64, len(nodes))

	for i, node := range nodes {
		hashes[i] = xxhash.Sum64String(node)
	}

	return hashes
}

// score is the score that the rendezvous library gives a node for a name, from the XOR of
// their hashes. ChooseN needs the same scores to agree with Choose.
func score(x uint64) uint64 {
	const multiplier = 2685821657736338717

	x ^= x >> 12
	x ^= x << 25
	x ^= x >> 27

	return x * multiplier
}

// Fraction maps a hash to a number above 0 and below 1.
func Fraction(hash uint64) float64 {
	const bits = 53

	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// WeightedScore returns the score of a candidate for a name from a hash of both. The candidate with the highest score wins
// with a probability proportional to its weight (weighted rendezvous hashing).
func WeightedScore(weight float64, hash uint64) float64 {
	return weight / -math.Log(Fraction(hash))
}
