package follower_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an upstream that has left and gets requests again from nodes that ran all the while: several others stood still together,
// as on one host, and are each other's witnesses.
func TestUpstreamThatLeftWhileManyNodesStoodStillStaysAway(t *testing.T) {
	for _, test := range []struct{ nodes, frozen int }{{9, 5}, {9, 8}, {40, 10}, {40, 20}, {40, 35}} {
		for _, last := range []bool{false, true} {
			t.Run(fmt.Sprint(test, last), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, reader := newFleetWithUpstreams(t, test.nodes)
					defer f.stop()

					frozen := map[string]bool{reader: true}

					for i := range test.nodes {
						name := fmt.Sprint("n", i)
						if last {
							name = fmt.Sprint("n", test.nodes-1-i)
						}

						if len(frozen) < test.frozen {
							frozen[name] = true
						}
					}

					for name := range frozen {
						f.freeze(name, 4500*time.Millisecond)
					}

					time.Sleep(500 * time.Millisecond)
					f.update(func() { f.upstreamIDs = without(f.upstreamIDs, "b") })
					time.Sleep(5200 * time.Millisecond)

					for range 300 {
						for name, m := range f.members {
							_, lists := m.catalog.State().Registry.Upstreams.Get("b")
							assert.Assert(t, !lists || frozen[name], "%s ran all the while and lists it", name)
						}

						time.Sleep(10 * time.Millisecond)
					}
				})
			})
		}
	}
}
