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

		for i := 0; chosen("n0", i) != "u0"; i++ {
			// Of two equally good upstreams, the first one in the list is chosen.
			f.state.Registry.Upstreams[0], f.state.Registry.Upstreams[1] = f.state.Registry.Upstreams[1], f.state.Registry.Upstreams[0]

			for _, n := range f.nodes {
				n.Update(f.state)
			}
		}

		for _, node := range f.names {
			for i := range 5 {
				assert.Equal(t, chosen(node, 1000+i), "u1")
			}
		}

		// After a restart, the upstream is no longer leaving.
		for i := range f.state.Registry.Upstreams {
			if f.state.Registry.Upstreams[i].ID == "u0" {
				f.state.Registry.Upstreams[i].Born = 8
			} else {
				f.state.Registry.Upstreams[i].Draining = true
			}
		}

		for _, n := range f.nodes {
			n.Update(f.state)
		}

		assert.Equal(t, chosen("n3", 2000), "u0")
	})
}
