package chooser

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestRankingChoosesWhatAChooserDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranking := NewRanking(3)

		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			nodes := rapid.SliceOfNDistinct(rapid.StringMatching(`n[0-9]{1,2}`), 0, 12, rapid.ID[string]).Draw(t, "nodes")
			pools := rapid.SliceOfNDistinct(rapid.StringMatching(`p[0-9]`), 0, 6, rapid.ID[string]).Draw(t, "pools")

			slices.Sort(nodes)
			ranking.Update(nodes, pools)

			for _, pool := range append(pools, "unknown") {
				assert.DeepEqual(t, ranking.Best(pool), New(nodes).ChooseN(pool, 3))
			}
		}
	})
}

// Guards against holders that are all found anew when one node comes or goes, on each node, which costs nodes times pools:
// a rolling restart of a fleet then costs each of its nodes the cube of the fleet.
func TestOneNodeMovesFewRankings(t *testing.T) {
	for _, size := range []int{100, 1_000, 2_000} {
		var nodes, pools []string
		for i := range size {
			nodes = append(nodes, fmt.Sprintf("n%04d", i))
		}

		for i := range size * 2 / 3 {
			pools = append(pools, fmt.Sprint("chat/", i))
		}

		ranking := NewRanking(8)
		ranking.Update(nodes, pools)

		const changes = 20

		ranking.scored = 0

		for i := range changes {
			lost := nodes[i*3]
			ranking.Update(slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == lost }), pools)
			ranking.Update(nodes, pools)
		}

		// The node that goes is among the eight best of 16/3 pools on average, which are ranked anew; the one that returns
		// has a score for each pool.
		perChange := ranking.scored / changes
		assert.Assert(t, perChange < 10*size, "%d nodes: %d scores for a node that goes and returns", size, perChange)
	}
}

// Guards against a ranking that depends on the way to the current nodes and weights, so that two nodes choose differently, and
// against choices that are not in proportion to the weights.
func TestWeightedRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := make(map[string]float64)
		weight := func(node string) float64 { return weights[node] }
		ranking := NewWeightedRanking(3, weight)

		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			nodes := rapid.SliceOfNDistinct(rapid.StringMatching(`n[0-9]{1,2}`), 0, 12, rapid.ID[string]).Draw(t, "nodes")
			pools := rapid.SliceOfNDistinct(rapid.StringMatching(`p[0-9]`), 0, 6, rapid.ID[string]).Draw(t, "pools")

			slices.Sort(nodes)

			for _, node := range nodes {
				weights[node] = float64(rapid.IntRange(0, 3).Draw(t, "weight"))
			}

			ranking.Update(nodes, pools)

			for _, pool := range append(pools, "unknown") {
				fresh := NewWeightedRanking(3, weight)
				fresh.Update(nodes, nil)
				assert.DeepEqual(t, ranking.Best(pool), fresh.Best(pool))
			}
		}
	})

	ranking := NewWeightedRanking(1, func(node string) float64 { return map[string]float64{"a": 1, "b": 3}[node] })
	ranking.Update([]string{"a", "b", "c"}, nil)

	counts := make(map[string]int)
	for i := range 4000 {
		counts[ranking.Best(fmt.Sprint("p", i))[0]]++
	}

	assert.Assert(t, counts["c"] == 0 && counts["b"] > 2850 && counts["b"] < 3150, "%v", counts)
}
