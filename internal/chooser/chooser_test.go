package chooser

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestChooser_EmptyChoosesNobody(t *testing.T) {
	assert.Equal(t, New(nil).Choose("a"), "")
	assert.Equal(t, len(New(nil).Several("a", 2)), 0)
}

// Symptom: names move although their nodes stay, or two nodes choose unlike.
// Sequence: the same nodes are given in another order, or one node goes.
// Cause: a choice that depends on the order or on the number of nodes.
func TestChooser_OnlyNamesOfTheLostNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringMatching(`n[0-9]{1,3}`), 2, 9, rapid.ID[string]).Draw(t, "nodes")
		name := rapid.String().Draw(t, "name")
		before := New(nodes).Several(name, 2)
		lost := rapid.SampledFrom(nodes).Draw(t, "lost")

		slices.Reverse(nodes)
		assert.DeepEqual(t, New(nodes).Several(name, 2), before)
		assert.Equal(t, New(nodes).Choose(name), before[0])

		kept := slices.DeleteFunc(nodes, func(v string) bool { return v == lost })
		after := New(kept).Several(name, 2)

		for _, v := range before {
			assert.Assert(t, v == lost || slices.Contains(after, v))
		}
	})
}
