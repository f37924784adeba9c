package granter

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func (n *network) freeze(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.frozen[name] = make(chan struct{})
}

func (n *network) thaw(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	close(n.frozen[name])
	delete(n.frozen, name)
}

func (n *network) setLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.loss = share
}

func (n *network) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.cut[name] = cut
}

func (n *network) setDown(name string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.down[name] = down
}

// cutOffHolder cuts off the holder and drops all messages that holders initiate, so that
// the replacement can't reach an entry. It returns both names and a node that is neither.
func (n *network) cutOffHolder() (holder, replacement string, entry *node) {
	holder = n.holderNode().name
	others := slices.DeleteFunc(n.Live(), func(name string) bool { return name == holder })
	replacement = newPlacement(n.settings).holder(others, "assistente")
	entry = n.nodes[others[(slices.Index(others, replacement)+1)%len(others)]]
	n.setCut(holder, true)

	n.mu.Lock()
	defer n.mu.Unlock()

	n.dropped[MethodDecided] = true
	n.dropped[MethodInFlight] = true

	return holder, replacement, entry
}

// injectFaults freezes or takes down random nodes, one at a time, and loses messages,
// until stop is closed. A node that is down still serves its own callers, but is not
// listed as live.
func (n *network) injectFaults(random *rand.Rand, stop chan struct{}) {
	names := n.Live()
	wait := func() {
		select {
		case <-stop:
		case <-time.After(time.Duration(100+random.IntN(900)) * time.Millisecond):
		}
	}

	for {
		select {
		case <-stop:
			n.setLoss(0)

			return
		default:
		}

		name := names[random.IntN(len(names))]
		n.setLoss(random.Float64() * 0.2)

		if random.IntN(2) == 0 {
			n.freeze(name)
			wait()
			n.thaw(name)
		} else {
			n.setDown(name, true)
			wait()
			n.setDown(name, false)
		}

		wait()
	}
}

// Guards against requests that wait until their callers give up, 40 s and more,
// although all engines are idle. The holder doesn't answer, so a request is queued at
// another node, which can't send messages to the entry. Its grant is lost. If it
// removes the entry after five failed comparisons, 5 s, the grant is gone just before
// the entry sends the request again. It then rebuilds for 1 s because no entry
// answers, and its new grant is lost as well. The entry must be kept for longer than
// the time after which it resends, because its requests show that it is alive. In the
// log this appeared as pool_rebuild_began each 5 s at a node with is_holder=false,
// each followed by slots_withheld with free slots.
func TestGrantThatDidNotArriveIsMadeGoodByTheNextAsk(t *testing.T) {
	inVirtualTime(t, 3, 2, 4, fixedSlotOptions(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		_, _, entry := n.cutOffHolder()

		options := entry.router.options

		for i := range 20 {
			// The requests start at different offsets to the comparisons, which come each second.
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)

			requestCtx, stop := context.WithTimeout(ctx, 40*time.Second)
			waited, err := entry.run(requestCtx, "chat", time.Millisecond)

			stop()
			assert.NilError(t, err, "request %d waited %s", i, waited)
			assert.Assert(t, waited <= options.ResendInterval+2*time.Second, "request %d waited %s", i, waited)
		}
	})
}
