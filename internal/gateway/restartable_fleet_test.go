package gateway_test

import (
	"context"
	"sync"
	"testing"

	"quincepath.example/quincepath/internal/gateway"
)

// restartableFleet is the nodes of a test, each in its own failure domain.
type restartableFleet struct {
	t     *testing.T
	nodes []*restartableNode
	// isServing sends a request to a node and reports whether it is served.
	isServing func(n *restartableNode) bool
}

// newRestartableFleet returns nodes that aren't started yet. The number distinguishes the fleet from those of other tests.
func newRestartableFleet(t *testing.T, s gateway.Store, number, size int) *restartableFleet {
	t.Helper()

	f := &restartableFleet{t: t}

	for i := range size {
		f.nodes = append(f.nodes, &restartableNode{t: t, store: s, settings: cutNodeSettings(number, i, size)})
	}

	return f
}

// startNodes starts the nodes, which are stopped at the end of the test, and waits until all serve and know each other.
func (f *restartableFleet) startNodes() {
	for _, n := range f.nodes {
		n.start()
	}

	f.t.Cleanup(func() {
		var stops sync.WaitGroup
		defer stops.Wait()

		for _, n := range f.nodes {
			stops.Go(n.stop)
		}
	})

	for _, n := range f.nodes {
		f.waitUntilServing(n)
		waitUntil(f.t, func() bool { return liveNodes(n) == len(f.nodes) })
	}
}

func (f *restartableFleet) waitUntilServing(n *restartableNode) {
	waitUntil(f.t, func() bool { return f.isServing(n) })
}

// restartInTurn restarts one node after the other.
func (f *restartableFleet) restartInTurn(ctx context.Context) {
	for _, n := range f.nodes {
		if ctx.Err() != nil {
			return
		}

		n.stop()
		n.start()
		f.waitUntilServing(n)
	}
}
