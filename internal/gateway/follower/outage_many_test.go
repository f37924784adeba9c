package follower_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// someNodes returns the reader and as many more nodes as are wanted, the first by their numbers or the last ones.
func someNodes(nodes, wanted int, reader string, last bool) map[string]bool {
	chosen := map[string]bool{reader: true}

	for i := range nodes {
		if last {
			i = nodes - 1 - i
		}

		if len(chosen) < wanted {
			chosen[fmt.Sprint("n", i)] = true
		}
	}

	return chosen
}

// lists reports whether the node lists an upstream.
func (m *member) lists(id string) bool {
	return m.catalog.State().Registry.Upstreams.Contains(id)
}

// Guards against an upstream that has left and gets requests again from nodes that ran all the while: several others stood still together,
// as on one host, and are each other's witnesses.
func TestUpstreamThatLeftWhileManyNodesStoodStillStaysAway(t *testing.T) {
	for _, test := range []struct{ nodes, frozen int }{{9, 5}, {9, 8}, {40, 10}, {40, 20}, {40, 35}} {
		for _, last := range []bool{false, true} {
			t.Run(fmt.Sprint(test, last), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, reader := newFleetWithUpstreams(t, test.nodes)
					defer f.stop()

					frozen := someNodes(test.nodes, test.frozen, reader, last)
					for name := range frozen {
						f.freeze(name, 4500*time.Millisecond)
					}

					time.Sleep(500 * time.Millisecond)
					f.update(func() { f.upstreamIDs = without(f.upstreamIDs, "b") })
					time.Sleep(5200 * time.Millisecond)

					for range 300 {
						for name, m := range f.members {
							assert.Assert(t, frozen[name] || !m.lists("b"), "%s ran all the while and lists it", name)
						}

						time.Sleep(10 * time.Millisecond)
					}
				})
			})
		}
	}
}
