package broker_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/broker"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

// allocatedBy returns the bytes that a function allocates.
func allocatedBy(run func()) float64 {
	var before, after runtime.MemStats

	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)

	return float64(after.TotalAlloc - before.TotalAlloc)
}

// heldBy returns the bytes that stay in use after a function has run.
func heldBy(run func()) float64 {
	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)
	run()
	runtime.GC()
	runtime.ReadMemStats(&after)

	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// Guards against nodes for which each change of one upstream costs as much as the whole fleet has upstreams. Hundreds of
// changes of a release, a scale-in or a wave of crashes, each of them on every node, then cost the square of the fleet.
func TestChangeOfOneUpstreamCostsTheSameInALargeFleet(t *testing.T) {
	const changes = 50

	cost := make(map[int]float64)
	sizes := []int{1_000, 10_000, 20_000}

	for _, size := range sizes {
		var listing cataloguer.Listing
		for i := range size {
			listing.Upstreams = append(listing.Upstreams, cataloguer.Upstream{ID: fmt.Sprint("u", i), Service: service, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 16})
		}

		now := time.Hour
		catalog := cataloguer.New(func() time.Duration { return now })
		node := broker.New(nodeOptions("n0", func() []string { return []string{"n0"} }, link{}))
		update := func() {
			node.Update(&cataloguer.State{Configuration: serviceState(cataloguer.Listing{}).Configuration, Registry: catalog.State().Registry})
		}

		held := heldBy(func() {
			catalog.ApplyRegistry(cataloguer.NewRegistry(listing), false)
			update()
		})
		assert.Check(t, held < 600*float64(size), "%d upstreams take %.0f bytes", size, held)

		cost[size] = allocatedBy(func() {
			for i := range int64(changes) {
				registry := catalog.State().Registry
				delta := cataloguer.RegistryDelta{
					Position:  storer.Position{Revision: i + 1},
					Upstreams: cataloguer.ListDelta[cataloguer.Upstream]{Put: []cataloguer.Upstream{{ID: fmt.Sprint("u", i*17), Service: service, Born: i + 1, Slots: 16}}},
				}
				catalog.ApplyRegistry(registry.Apply(&delta), false)
				update()
			}
		}) / changes
		t.Logf("%d upstreams: %.0f bytes in use, %.0f bytes allocated for a change", size, held, cost[size])
		runtime.KeepAlive(node)
	}

	assert.Check(t, cost[20_000] < 2*cost[1_000], "a change allocates %.0f bytes with 20,000 upstreams, %.0f with 1,000", cost[20_000], cost[1_000])
}

// Guards against requests and reports for pools that a node doesn't know, which must neither fail nor leave anything behind,
// and against pools that lose what they know of their upstreams while they are in use.
func TestNodeKeepsThePoolsThatItUses(t *testing.T) {
	withFleet(t, 3, 90, 4, func(t *testing.T, f *fleet) {
		counts := choose(f, f.names, 20, "first")

		total := 0
		for _, count := range counts {
			total += count
		}

		assert.Equal(t, total, 60)
		time.Sleep(2 * time.Minute)

		running := 0
		for _, stats := range f.nodes["n0"].Stats(time.Now()) {
			running += len(stats.Servers)
		}

		held := 0
		for _, stats := range f.nodes["n0"].Stats(time.Now()) {
			if stats.Holder == "n0" {
				held++
			}
		}

		assert.Assert(t, held > 0 && held < 6, "holds %d pools", held)
		assert.Assert(t, running < 90, "knows of %d servers", running)
	})
}
