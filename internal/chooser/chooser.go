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
	table *rendezvous.Rendezvous
}

// New returns a chooser among the nodes, whose order doesn't matter.
func New(nodes []string) *Chooser {
	nodes = slices.Clone(nodes)

	return &Chooser{nodes: nodes, table: rendezvous.New(nodes, xxhash.Sum64String)}
}

// Among returns a chooser among other nodes: c itself when they are the same in
// the same order. A nil chooser has no nodes yet.
func (c *Chooser) Among(nodes []string) *Chooser {
	if c != nil && slices.Equal(c.nodes, nodes) {
		return c
	}

	return New(nodes)
}

// Choose returns the node for a name, or "" when there are no nodes.
func (c *Chooser) Choose(name string) string {
	return c.table.Lookup(name)
}

// Several returns up to count different nodes for a name, that of Choose first.
// If one of them goes, the others stay chosen.
func (c *Chooser) Several(name string, count int) []string {
	var chosen []string

	rest := c

	for len(chosen) < count && len(rest.nodes) > 0 {
		next := rest.Choose(name)
		chosen = append(chosen, next)

		// The library's Remove indexes past the end of its nodes, so the table is made anew.
		rest = New(slices.DeleteFunc(slices.Clone(rest.nodes), func(v string) bool { return v == next }))
	}

	return chosen
}
