// Package chooser chooses nodes for a name by rendezvous hashing.
//
// Nodes that know the same nodes choose the same ones without a message, and a
// node that comes or goes moves only the names that it gains or had.
package chooser

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Chooser chooses among fixed nodes. It is immutable, so safe for concurrent use.
type Chooser struct {
	nodes []string
	// hashes are those of the nodes, in their order.
	hashes []uint64
	table  *rendezvous.Rendezvous
}

// New returns a chooser among the nodes, whose order doesn't matter.
func New(nodes []string) *Chooser {
	nodes = slices.Clone(nodes)

	hashes := make([]uint64, len(nodes))

	for i, node := range nodes {
		hashes[i] = xxhash.Sum64String(node)
	}

	return &Chooser{nodes: nodes, hashes: hashes, table: rendezvous.New(nodes, xxhash.Sum64String)}
}

// WithNodes returns a chooser among other nodes: c itself when they are the same in
// the same order. A nil chooser has no nodes yet.
func (c *Chooser) WithNodes(nodes []string) *Chooser {
	if c != nil && slices.Equal(c.nodes, nodes) {
		return c
	}

	return New(nodes)
}

// Choose returns the node for a name, or "" when there are no nodes.
func (c *Chooser) Choose(name string) string {
	return c.table.Lookup(name)
}

// ChooseN returns up to count different nodes for a name, that of Choose first.
// If one of them goes, the others stay chosen.
func (c *Chooser) ChooseN(name string, count int) []string {
	type ranked struct {
		node  string
		score uint64
	}

	best := make([]ranked, 0, count+1)
	key := xxhash.Sum64String(name)

	for i, node := range c.nodes {
		next := ranked{node: node, score: score(key ^ c.hashes[i])}
		if len(best) == count && (count == 0 || next.score <= best[count-1].score) {
			continue
		}

		place := len(best)
		for place > 0 && best[place-1].score < next.score {
			place--
		}

		best = slices.Insert(best, place, next)
		best = best[:min(len(best), count)]
	}

	chosen := make([]string, 0, len(best))
	for _, b := range best {
		chosen = append(chosen, b.node)
	}

	return chosen
}

// score is the library's rank of a node for a name, from the hashes of both. Several has to agree with Choose.
func score(x uint64) uint64 {
	const multiplier = 2685821657736338717

	x ^= x >> 12
	x ^= x << 25
	x ^= x >> 27

	return x * multiplier
}
