package broker_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// Guards against nodes that each learn of an upstream's pause by a refused request of their own: what one node is told, all
// nodes keep.
func TestRestingUpstreamIsChosenForNoNode(t *testing.T) {
	withFleet(t, 4, 2, 6, func(t *testing.T, f *fleet) {
		counts := choose(f, f.names[:1], 1, "before")
		assert.DeepEqual(t, counts, map[string]int{"u0": 1})

		id := fmt.Sprint("before", f.names[0], 0)
		f.nodes[f.names[0]].MarkResting(id, 2*time.Second)
		f.nodes[f.names[0]].RecordEnd(id, balancer.Rejected)
		time.Sleep(50 * time.Millisecond)

		counts = choose(f, f.names, 1, "resting")
		assert.DeepEqual(t, counts, map[string]int{"u1": 4})

		// Where all upstreams pause, a refused request is told when the first of them ends its pause.
		for _, node := range f.names {
			f.nodes[node].MarkResting(fmt.Sprint("resting", node, 0), 4*time.Second)
		}

		time.Sleep(50 * time.Millisecond)

		choice, ok := f.nodes["n3"].Choose(context.Background(), service, work("refused"))
		assert.Assert(t, !ok)
		assert.Assert(t, choice.ExpectedWaitMS > 1800 && choice.ExpectedWaitMS < 2000, "%v ms", choice.ExpectedWaitMS)

		time.Sleep(2 * time.Second)

		_, ok = f.nodes["n3"].Choose(context.Background(), service, work("after"))
		assert.Assert(t, ok)
	})
}

// All nodes must stop sending requests to an upstream that is leaving, not only the one that it told.
func TestLeavingUpstreamIsChosenForNoNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		f := newFleet(ctx, t, 4, 2, 6)
		time.Sleep(3 * time.Second)

		chosen := func(node string, i int) string {
			work := balancer.Request{ID: fmt.Sprint(node, "-", i), TimeLimit: time.Second}
			choice, ok := f.nodes[node].Choose(ctx, service, work)
			assert.Assert(t, ok)

			if choice.Upstream == "u0" {
				f.nodes[node].MarkLeaving(work.ID)
			}

			f.nodes[node].RecordEnd(work.ID, balancer.Served)
			time.Sleep(20 * time.Millisecond)

			return choice.Upstream
		}

		// Of two equally good upstreams, the first one in the list is chosen.
		assert.Equal(t, chosen("n0", 0), "u0")

		for _, node := range f.names {
			for i := range 5 {
				assert.Equal(t, chosen(node, 1000+i), "u1")
			}
		}

		// After a restart, the upstream is no longer leaving.
		f.listing.Upstreams[0].Born = 8
		f.listing.Upstreams[1].Draining = true

		for _, n := range f.nodes {
			n.Update(serviceState(f.listing))
		}

		assert.Equal(t, chosen("n3", 2000), "u0")
	})
}
