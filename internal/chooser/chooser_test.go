package chooser

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestChooser_EmptyChoosesNobody(t *testing.T) {
	assert.Equal(t, New(nil).Choose("a"), "")
	assert.Equal(t, len(New(nil).ChooseN("a", 2)), 0)
}

// A choice that depends on the order or the number of nodes would move names whose nodes
// remain, or let two nodes choose differently, when the nodes are given in another order or
// one of them is removed.
func TestChooser_OnlyNamesOfTheLostNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringMatching(`n[0-9]{1,3}`), 2, 9, rapid.ID[string]).Draw(t, "nodes")
		name := rapid.String().Draw(t, "name")
		before := New(nodes).ChooseN(name, 2)
		lost := rapid.SampledFrom(nodes).Draw(t, "lost")

		slices.Reverse(nodes)
		assert.DeepEqual(t, New(nodes).ChooseN(name, 2), before)
		assert.Equal(t, New(nodes).Choose(name), before[0])

		kept := slices.DeleteFunc(nodes, func(v string) bool { return v == lost })
		after := New(kept).ChooseN(name, 2)

		for _, v := range before {
			assert.Assert(t, v == lost || slices.Contains(after, v))
		}
	})
}

// Nodes must agree on the holders of a pool: ChooseN must return the nodes that Choose returns
// if each chosen node is removed before the next call.
func TestSeveralAreThoseChosenOneAfterTheOther(t *testing.T) {
	for size := range 12 {
		var nodes []string
		for i := range size {
			nodes = append(nodes, fmt.Sprint("node", i))
		}

		for i := range 200 {
			name := fmt.Sprint("pool", i)
			rest := slices.Clone(nodes)

			var want []string

			for len(want) < 8 && len(rest) > 0 {
				next := New(rest).Choose(name)
				want = append(want, next)
				rest = slices.DeleteFunc(rest, func(node string) bool { return node == next })
			}

			got := New(nodes).ChooseN(name, 8)
			assert.Assert(t, slices.Equal(got, want), "%d nodes, %s: %v, want %v", size, name, got, want)
		}
	}
}
