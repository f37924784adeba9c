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

func (n *network) lose(share float64) {
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

// silenceHolder cuts the holder off and loses what a holder sends by itself, so that the
// one asked in its place reaches no entry. It returns both names and a node that is neither.
func (n *network) silenceHolder() (silent, next string, entry *node) {
	silent = n.holderNode().name
	others := slices.DeleteFunc(n.Live(), func(name string) bool { return name == silent })
	next = newPlacement(n.tree).holder(others, "assistente")
	entry = n.nodes[others[(slices.Index(others, next)+1)%len(others)]]
	n.setCut(silent, true)

	n.mu.Lock()
	defer n.mu.Unlock()

	n.dropped[MethodDecided] = true
	n.dropped[MethodInFlight] = true

	return silent, next, entry
}

// disturb freezes, cuts off and mends one node after the other, and loses messages, until stop.
// A cut node still answers its own callers; it is not named as live meanwhile.
func (n *network) disturb(random *rand.Rand, stop chan struct{}) {
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
			n.lose(0)

			return
		default:
		}

		name := names[random.IntN(len(names))]
		n.lose(random.Float64() * 0.2)

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

// Symptom: a note waited until its caller gave up, 40 s and more, though every engine was idle.
// Sequence: the holder is silent, so a request is queued at another node, which
// can't reach the entry that asks; it grants, and the grant is lost on the way; it forgets the entry after
// five comparisons without an answer, 5 s, when the entry is about to ask again; asked, it rebuilds
// for 1 s, since nobody answers it, and only then grants anew.
// Cause: the entry was forgotten in the time after which it asks again, though its asks showed that it lived. Seen
// as pool_rebuild_began each 5 s at a node with is_holder=false, and slots_withheld beside free slots after each.
func TestGrantThatDidNotArriveIsMadeGoodByTheNextAsk(t *testing.T) {
	inVirtualTime(t, 3, 2, 4, fixed(), func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Second)

		_, _, entry := n.silenceHolder()

		options := entry.router.options

		for i := range 20 {
			// Requests at other moments of the comparisons, which come each second.
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)

			bounded, stop := context.WithTimeout(ctx, 40*time.Second)
			waited, err := entry.run(bounded, "chat", time.Millisecond)

			stop()
			assert.NilError(t, err, "request %d waited %s", i, waited)
			assert.Assert(t, waited <= options.ResendInterval+2*time.Second, "request %d waited %s", i, waited)
		}
	})
}
