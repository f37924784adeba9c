package follower_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// freeze makes a node stand still for a while: it does nothing, and answers nobody. Calls end when their callers give up.
func (f *fleet) freeze(name string, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.frozen == nil {
		f.frozen, f.frozenFor = make(map[string]chan struct{}), make(map[string]time.Duration)
	}

	thawed := make(chan struct{})
	f.frozen[name] = thawed

	time.AfterFunc(duration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()

		delete(f.frozen, name)

		f.frozenFor[name] += duration
		close(thawed)
	})
}

// awaitThaw waits while a node stands still.
func (f *fleet) awaitThaw(name string) {
	f.awaitThawUntil(context.Background(), name)
}

// awaitThawUntil waits while a node stands still, and returns false if the context ends before.
func (f *fleet) awaitThawUntil(ctx context.Context, name string) bool {
	f.mu.Lock()
	thawed := f.frozen[name]
	f.mu.Unlock()

	if thawed == nil {
		return true
	}

	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

// paused returns the total time for which the node stood still.
func (m *member) paused() time.Duration {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	return m.fleet.frozenFor[m.name]
}

// without returns the IDs but one.
func without(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
}

// newFleetWithUpstreams returns a fleet that has been running for a while, and the node that reads the store.
func newFleetWithUpstreams(t *testing.T, count int) (f *fleet, reader string) {
	f = newFleet(t, count)
	f.update(func() { f.upstreamIDs = []string{"a", "b"} })
	time.Sleep(15 * time.Second)

	f.mu.Lock()
	defer f.mu.Unlock()

	return f, f.reader()
}

// Guards against an upstream that has left and gets requests again from all nodes: a node that stood still takes its own pause for an outage
// of the store, retains the upstream that its first read lacks, and passes it on at a newer position.
func TestUpstreamThatLeftWhileANodeStoodStillStaysAway(t *testing.T) {
	for _, test := range []struct {
		nodes int
		// leavesBefore is how long before the end of the pause the upstream leaves.
		leavesBefore time.Duration
		// callDelay delays each answer between nodes.
		callDelay time.Duration
	}{
		{1, 4 * time.Second, 0}, {1, 100 * time.Millisecond, 0},
		{2, 4 * time.Second, 30 * time.Millisecond}, {2, 100 * time.Millisecond, 30 * time.Millisecond},
		{9, 4 * time.Second, 0}, {9, 4 * time.Second, 30 * time.Millisecond}, {9, time.Second, 30 * time.Millisecond},
		{9, 100 * time.Millisecond, 30 * time.Millisecond}, {9, 4 * time.Second, 150 * time.Millisecond},
		{40, 4 * time.Second, 30 * time.Millisecond}, {40, 100 * time.Millisecond, 30 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, reader := newFleetWithUpstreams(t, test.nodes)
				defer f.stop()

				f.update(func() { f.callDelay = test.callDelay })
				f.freeze(reader, 4500*time.Millisecond)
				time.Sleep(4500*time.Millisecond - test.leavesBefore)
				f.update(func() { f.upstreamIDs = without(f.upstreamIDs, "b") })
				time.Sleep(test.leavesBefore)

				// The usual time until all nodes know a change, from the time when all run.
				time.Sleep(1200*time.Millisecond + test.callDelay)

				for range 300 {
					assert.Equal(t, f.knowing("b"), 0)
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against upstreams that live and get no requests, as a node that stood still during an outage of the store takes their
// expired entries for departures.
func TestUpstreamsMissingAfterAnOutageAreKeptByANodeThatStoodStill(t *testing.T) {
	for _, test := range []struct {
		nodes int
		// frozen is for how long the node stands still, which ends thawsBefore the return of the store.
		frozen, thawsBefore time.Duration
	}{
		{1, 0, 0},
		{1, 3 * time.Second, 500 * time.Millisecond},
		{9, 0, 0},
		{9, 4500 * time.Millisecond, 0},
		{9, 4500 * time.Millisecond, 300 * time.Millisecond},
		{9, 4500 * time.Millisecond, -300 * time.Millisecond},
		{9, 4500 * time.Millisecond, -1200 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, reader := newFleetWithUpstreams(t, test.nodes)
				defer f.stop()

				const outage = 6 * time.Second

				f.update(func() { f.down = true })
				time.Sleep(outage - test.thawsBefore - test.frozen)

				if test.frozen > 0 {
					f.freeze(reader, test.frozen)
				}

				time.Sleep(test.frozen + min(test.thawsBefore, 0))

				if test.thawsBefore > 0 {
					time.Sleep(test.thawsBefore)
				}

				f.update(func() { f.down, f.upstreamIDs = false, without(f.upstreamIDs, "b") })

				for range 180 {
					assert.Equal(t, f.knowing("b"), test.nodes)
					time.Sleep(10 * time.Millisecond)
				}

				f.update(func() { f.upstreamIDs = append(f.upstreamIDs, "b") })

				for range 300 {
					assert.Equal(t, f.knowing("b"), test.nodes)
					time.Sleep(10 * time.Millisecond)
				}
			})
		})
	}
}
