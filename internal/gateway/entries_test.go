package gateway

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/prober"
)

const maxTestEntries = 64

// rosterOf returns the roster of a fleet of which every twentieth node has four times the capacity of the others, without
// the nodes that are lost.
func rosterOf(size int, lost ...int) *roster {
	var (
		listing cataloguer.Listing
		members []prober.Member
	)

	for i := range size {
		capacity := 0.2
		if i%20 == 0 {
			capacity = 0.8
		}

		name := fmt.Sprintf("10.0.%d.%d:7", i/250, i%250)
		listing.Nodes = append(listing.Nodes, cataloguer.Node{Name: name, Address: name + "0", Capacity: capacity})

		if i > 0 && !slices.Contains(lost, i) {
			members = append(members, prober.Member{Name: name, Address: name + "0", State: prober.Live, Incarnation: 1})
		}
	}

	r := &roster{nodes: cataloguer.NewRegistry(listing).Nodes, ready: true}
	r.derive(members, loader.Node{PeerListen: "10.0.0.0:7", Advertise: "10.0.0.0:70"})

	return r
}

// Guards against leaving nodes that count as possibly live.
func TestLeavingAndDeadNodesAreAbsent(t *testing.T) {
	r := rosterOf(9, 5, 6, 7, 8)
	r.dead = 4

	leaving := []prober.Member{
		{Name: "10.0.0.1:7", State: prober.Live, Incarnation: 1, Leaving: true},
		{Name: "unlisted", State: prober.Live, Incarnation: 1, Leaving: true},
		{Name: "10.0.0.2:7", State: prober.Live, Incarnation: 1},
	}

	r.derive(leaving, loader.Node{PeerListen: "10.0.0.0:7", Advertise: "10.0.0.0:70"})
	assert.Equal(t, r.absent, 5)
}

// Guards against nodes that were removed by plan and hold shares of limits for ten minutes, and against ones that are withdrawn while they
// restart.
func TestDeparturesOfNodes(t *testing.T) {
	now := time.Now()

	for _, c := range []struct {
		member prober.Member
		dead   time.Duration
		want   bool
	}{
		{member: prober.Member{State: prober.Dead}, dead: 9 * time.Minute},
		{member: prober.Member{State: prober.Dead}, dead: 11 * time.Minute, want: true},
		{member: prober.Member{State: prober.Dead, Leaving: true}, dead: 50 * time.Second},
		{member: prober.Member{State: prober.Dead, Leaving: true}, dead: 70 * time.Second, want: true},
		{member: prober.Member{State: prober.Live, Leaving: true}, dead: time.Hour},
		{member: prober.Member{State: prober.Suspect, Leaving: true}, dead: time.Hour},
	} {
		c.member.Since = now.Add(-c.dead)
		assert.Check(t, hasDeparted(&c.member, now) == c.want, "%+v", c)
	}
}

// Guards against a large fleet whose callers use few of its nodes: they take 64 addresses from a response, and all
// responses began with the same ones.
func TestCallersAreSpreadOverAllNodesByCapacity(t *testing.T) {
	for _, size := range []int{100, 1_000, 2_000} {
		r := rosterOf(size)
		used := make(map[string]float64)

		const callers = 2_000

		for caller := range callers {
			addresses := r.entriesFor(fmt.Sprint("10.9.0.", caller), maxTestEntries)
			assert.Equal(t, len(addresses), maxTestEntries)

			for _, address := range addresses {
				used[address]++
			}
		}

		assert.Equal(t, len(used), size)

		strong, weak := 0.0, 0.0
		strongest, weakest := 0.0, math.Inf(1)

		for _, e := range r.entries {
			if e.weight > 0.5 {
				strong += used[e.address] / float64(size/20)
			} else {
				weak += used[e.address] / float64(size-size/20)
				strongest, weakest = max(strongest, used[e.address]), min(weakest, used[e.address])
			}
		}

		t.Logf("%d nodes: a strong one is used by %.0f callers, a weak one by %.0f (%.0f to %.0f)", size, strong, weak, weakest, strongest)
		assert.Check(t, strong > weak)
		assert.Check(t, strong < 4.4*weak)
		assert.Check(t, strongest < 1.6*weak)

		if size >= 1_000 {
			// With 100 nodes, most of which each caller gets, the strong ones can't be in more lists than all.
			assert.Check(t, strong > 3*weak)
		}
	}
}

// Guards against callers who drop their connections each time that they ask: they stop using an address that is missing from
// a new response.
func TestAddressesOfACallerStay(t *testing.T) {
	before, after := rosterOf(1_000), rosterOf(1_000, 7, 400, 813)

	for caller := range 500 {
		name := fmt.Sprint("10.9.0.", caller)
		kept := before.entriesFor(name, maxTestEntries)
		assert.DeepEqual(t, kept, before.entriesFor(name, maxTestEntries))

		now := after.entriesFor(name, maxTestEntries)
		missing := 0

		for _, address := range kept {
			if !slices.Contains(now, address) {
				missing++
				assert.Assert(t, slices.Contains([]string{"10.0.0.7:70", "10.0.1.150:70", "10.0.3.63:70"}, address), address)
			}
		}

		assert.Assert(t, missing <= 3)
	}
}

func TestSmallFleetsOfferAllNodes(t *testing.T) {
	assert.Equal(t, len(rosterOf(64).entriesFor("a", maxTestEntries)), 64)
	assert.Equal(t, len(rosterOf(65).entriesFor("a", maxTestEntries)), 64)
	assert.Equal(t, len(rosterOf(300).entriesFor("a", 0)), 300)
}
