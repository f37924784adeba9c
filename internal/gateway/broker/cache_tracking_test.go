package broker_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/broker"
	"quincepath.example/quincepath/internal/gateway/cachetracker"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// recordingTracker records how many engines each node asks last.
type recordingTracker struct {
	mu      sync.Mutex
	targets []cachetracker.Target
}

func (r *recordingTracker) Update(_ context.Context, targets []cachetracker.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.targets = targets
}

func (r *recordingTracker) ids() []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	var ids []string
	for _, target := range r.targets {
		ids = append(ids, target.ID)
	}

	slices.Sort(ids)

	return ids
}

// Guards against engines that several nodes ask, that nobody asks after the holder is gone, or that are asked although the
// operators' configuration doesn't call for it.
func TestOnlyTheHolderAsksTheEngines(t *testing.T) {
	for _, calls := range []int{0, 12} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()

			names := []string{"n0", "n1", "n2"}
			live := names

			var mu sync.Mutex

			trackers := map[string]*recordingTracker{}

			for _, name := range names {
				options := nodeOptions(name, func() []string {
					mu.Lock()
					defer mu.Unlock()

					return live
				}, nil)
				options.Scheduling = balancer.Options{CacheTracking: true}
				b := broker.New(options)
				state := serviceState(cataloguer.Listing{Upstreams: []cataloguer.Upstream{
					{ID: "u0", Service: service, Slots: 4}, {ID: "u1", Service: service, Slots: 4}, {ID: "u2", Service: service, Slots: 4, Draining: true},
				}})
				state.Configuration.Services[0].Engine = &cataloguer.Engine{Slots: 4, CacheTokens: 1000, EventTokens: 1, CacheCalls: calls}
				b.Update(state)

				trackers[name] = &recordingTracker{}
				go b.TrackCaches(ctx, trackers[name])
			}

			asking := func() []string {
				var nodes []string

				for _, name := range names {
					if ids := trackers[name].ids(); len(ids) > 0 {
						assert.DeepEqual(t, ids, []string{"u0", "u1"})

						nodes = append(nodes, name)
					}
				}

				return nodes
			}

			time.Sleep(250 * time.Millisecond)

			before := asking()
			if calls == 0 {
				assert.Equal(t, len(before), 0)

				return
			}

			assert.Equal(t, len(before), 1)

			mu.Lock()
			live = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == before[0] })
			mu.Unlock()
			time.Sleep(250 * time.Millisecond)

			after := asking()
			assert.Equal(t, len(after), 1)
			assert.Assert(t, after[0] != before[0])
		})
	}
}
