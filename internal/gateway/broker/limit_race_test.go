package broker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

// Guards against requests that are refused while a rate limit is learned: between the moments at which the node and its pool
// learn of it, the pool chooses the same upstream again for each choice that is declined.
func TestChoiceAfterADeclinedOneKnowsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		b := New(Options{
			Self: "n", Live: func() []string { return []string{"n"} }, Leaving: func() []string { return nil },
			LimitShare: func() float64 { return 1 }, Now: func() time.Duration { return time.Since(start) }, Logger: zerolog.Nop(),
		})
		b.Update(&cataloguer.State{
			Configuration: cataloguer.Configuration{Version: 1, Services: []cataloguer.Service{{Name: "s"}}},
			Registry: cataloguer.NewRegistry(cataloguer.Listing{
				Position: storer.Position{Revision: 1}, Upstreams: []cataloguer.Upstream{{ID: "u0", Service: "s", Slots: 9}},
			}),
		})

		choose := func(id string) balancer.Choice {
			choice, ok := b.Choose(t.Context(), "s", balancer.Request{ID: id, TimeLimit: time.Minute, Target: time.Second})
			assert.Assert(t, ok)

			return choice
		}

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		go b.Run(ctx)

		// The node has held the pool for long enough to decide.
		_ = choose("a")
		time.Sleep(10 * time.Second)
		b.RecordEnd("a", balancer.Served)

		choice := choose("b")

		// The pool is not told.
		_, changed := b.limits.Observe(time.Now(), "u0", 1.5, true, 0)
		assert.Assert(t, changed)
		assert.Assert(t, !b.MayUse(choice))
		b.RecordEnd("b", balancer.Abandoned)

		assert.Assert(t, b.MayUse(choose("c")), "the upstream is chosen again without its limit")
	})
}
