package broker_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// Guards against holders that don't hear how long work takes at a server from responses that aren't streams, and against loads
// that are sent while nothing uses them.
func TestLoadOfPlainResponsesReachesTheHolders(t *testing.T) {
	for _, paced := range []bool{false, true} {
		withFleet(t, 4, 1, 6, func(t *testing.T, f *fleet) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()

			f.scheduling.ServerPace = paced
			for _, name := range f.names {
				f.start(ctx, name)
			}

			time.Sleep(3 * time.Second)

			holder, others := f.holder()
			node := f.nodes[others[0]]
			_, ok := node.Choose(ctx, service, work("r"))
			assert.Assert(t, ok)

			node.RecordLoad("r", balancer.Load{Running: 3, Slots: 6, WorkTime: 250})
			node.RecordEnd("r", balancer.Served)
			time.Sleep(100 * time.Millisecond)

			server := f.nodes[holder].Stats(time.Now())[service+"/0"].Servers[0]
			if paced {
				assert.Equal(t, server.WorkTime, 250.0)
				assert.Equal(t, server.Slots, 6)
			} else {
				assert.Equal(t, server.WorkTime, 0.0)
			}

			assert.Equal(t, server.Running, 0)
		})
	}
}
