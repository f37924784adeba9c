package follower_test

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// longIDs returns a few IDs that make a state of some 120 KB compressed, a quarter of that of 10,000 upstreams.
func longIDs() []string {
	random := rand.New(rand.NewPCG(1, 2))

	var ids []string

	for range 10 {
		ids = append(ids, longText(random))
	}

	return ids
}

// longText returns a text of 16 KB that can hardly be compressed.
func longText(random *rand.Rand) string {
	data := make([]byte, 12<<10)
	for i := range data {
		data[i] = byte(random.Uint32())
	}

	return base64.StdEncoding.EncodeToString(data)
}

// Guards against a start of all nodes at once in which the time until the last one has the state grows with the square of
// the fleet: each of three seeds sent the state of the whole fleet to a third of it over its narrow link, and the nodes
// whose time was up read the whole store, all of them at once.
func TestStartOfAllNodesGrowsWithTheLogarithmOfTheFleet(t *testing.T) {
	sizes := []int{100, 1000}
	if count, err := strconv.Atoi(os.Getenv("QUINCEPATH_START_NODES")); err == nil {
		sizes = append(sizes, count)
	}

	for _, count := range sizes {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 0)
				defer f.stop()

				f.upstreamIDs = longIDs()
				// The link is a quarter of 20 Mbit/s too.
				f.linkBytesPerMS = narrowLinkBytesPerMS / 4
				f.startNodes(t, count)

				took := f.timeUntilAll(func(s *cataloguer.State) bool {
					return s.HasConfiguration() && s.Registry.Upstreams.Len() == len(f.upstreamIDs)
				})

				f.mu.Lock()
				defer f.mu.Unlock()

				busiest := traffic{}
				for _, sent := range f.sentBy {
					busiest.responses = max(busiest.responses, sent.responses)
					busiest.bytes = max(busiest.bytes, sent.bytes)
				}

				t.Logf("%d nodes: all have the state after %v, %d calls of the store, busiest node %+v", count, took, f.calls, busiest)
				assert.Check(t, took < 8*time.Second, "%d nodes: all have the state after %v", count, took)
				// One write lists 32 nodes.
				assert.Check(t, f.calls < 100+count/10, "%d nodes: %d calls of the store", count, f.calls)
				// The state is some 170 KB. Each node sends it to two others at once, and later changes to its children.
				assert.Check(t, busiest.bytes < 40*170_000, "%d nodes: the busiest one sent %d bytes", count, busiest.bytes)
			})
		})
	}
}

// Guards against a time limit for the whole list that a fleet outgrows: a node on a narrow link that read the list of 20,000
// upstreams gave up after 2.5 s and began again, without end.
func TestLongListOverANarrowLinkIsRead(t *testing.T) {
	for _, pages := range []int{2, 20, 40} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 0)
			defer f.stop()

			f.registryPages, f.pageDelay = pages, 150*time.Millisecond
			f.start(t, "n0", nil)

			took := f.timeUntilAll(func(s *cataloguer.State) bool { return s.Registry.Position.Revision > 0 })
			assert.Assert(t, took < time.Duration(pages)*200*time.Millisecond+time.Second, "%d pages: %v", pages, took)
		})
	}
}

// Guards against a delta of many pages that begins anew with each change of the registry, so that a node on a narrow link
// gets nothing as long as the registry goes on changing, as it does while thousands of upstreams start.
func TestLongDeltasArriveWhileTheRegistryChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()

		f.upstreamIDs = []string{"u0", "u1", "u2", "u3", "u4", "u5", "marker"}
		f.addresses = make(map[string]string)

		time.Sleep(10 * time.Second)

		// A delta of a change is three or four pages of 33 KB, 0.9 s over this link; the reader finds a change each 0.6 s.
		f.mu.Lock()
		f.linkBytesPerMS = narrowLinkBytesPerMS / 18
		f.mu.Unlock()

		random := rand.New(rand.NewPCG(3, 4))

		for i := range 40 {
			addresses := map[string]string{"marker": fmt.Sprintf("change%05d", i)}

			for _, id := range f.upstreamIDs[:6] {
				addresses[id] = longText(random)
			}

			f.update(func() { f.addresses = addresses })
			time.Sleep(600 * time.Millisecond)

			for name, m := range f.members {
				marker, _ := m.catalog.State().Registry.Upstreams.Get("marker")
				assert.Assert(t, i < 8 || marker.Address >= fmt.Sprintf("change%05d", i-8), "%s knows %s after change %d", name, marker.Address, i)
			}
		}
	})
}
