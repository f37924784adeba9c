package follower

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

// readersAt returns how many nodes of a fleet read the store at the given configuration age. They have just started and have
// a list from their peers that has only one strong and eleven weak nodes.
func readersAt(t *testing.T, age time.Duration, count int) int {
	t.Helper()

	const domains = 12

	names, nodes := fleetNodes(count, domains, 1)
	names, listed, others := names[domains-1:2*domains-1], nodes[domains-1:2*domains-1], nodes[2*domains-1:]
	readers := 0

	for _, node := range others {
		now := time.Hour
		catalog := cataloguer.New(func() time.Duration { return now })
		f := New(Options{
			Catalog:   catalog,
			Self:      node,
			Seeds:     func() []string { return names[:3] },
			LiveNodes: func() []string { return append(slices.Clone(names), node.Name) },
		})

		catalog.ApplyConfiguration(cataloguer.Configuration{Version: 1}, now)
		catalog.ApplyFreshRegistry(cataloguer.NewRegistry(cataloguer.Listing{Position: storer.Position{Revision: 1}, Nodes: listed}), false, now)

		now += age
		f.lastAnsweredPullAt = now

		if _, ok := f.scheduleRead(f.tree()); ok {
			readers++
		}
	}

	return readers
}

// Guards against a start of all nodes in which those that aren't listed yet take their rank among the few listed ones for
// their rank among all: nine of twelve ranks read the store soon, so most of the fleet did.
func TestNodesThatKnowFewOthersLeaveTheStoreToThem(t *testing.T) {
	for _, count := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			assert.Equal(t, readersAt(t, 2500*time.Millisecond, count), 0)
		})
	}
}
