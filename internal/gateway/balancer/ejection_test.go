package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// failingPool is an overloaded pool in which some engines fail their requests.
type failingPool struct {
	*simulation

	// fails reports whether an upstream fails its next request.
	fails func(upstream string) bool
	// sent and failed count the requests by upstream, after the first second.
	sent, failed map[string]int
}

// settle places a request, or ends it shortly after it is sent if the upstream fails it.
func (f *failingPool) settle(now time.Time, id, upstream string) {
	late := now.Sub(start) > time.Second
	if late {
		f.sent[upstream]++
	}

	if !f.fails(upstream) {
		f.place(now, id, false)

		return
	}

	if late {
		f.failed[upstream]++
	}

	f.pool.RecordEnd(now.Add(5*time.Millisecond), id, balancer.Failed)
}

// run sends twice the load that the engines can take, for 5 seconds.
func (f *failingPool) run(engines int) {
	for i := range 500 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		f.settleGrants(now)

		for j := range engines {
			id := fmt.Sprintf("n%d.%d", i, j)

			if choice, decision := f.pool.Acquire(now, "node", notes(id, fmt.Sprint("s", (i*7+j)%200))); decision == balancer.Granted {
				f.settle(now, id, choice.Upstream)
			}
		}
	}
}

func (f *failingPool) settleGrants(now time.Time) {
	f.endDue(now)

	for _, g := range f.pool.GrantQueued(now) {
		if !g.Refused {
			f.settle(now, g.ID, g.Choice.Upstream)
		}
	}
}

func newFailingPool(p *balancer.Pool, fails func(upstream string) bool) *failingPool {
	return &failingPool{
		simulation: &simulation{pool: p, placed: map[string]bool{}, asked: map[string]time.Time{}},
		fails:      fails, sent: map[string]int{}, failed: map[string]int{},
	}
}

// Under overload, the empty slots of an engine that fails every request at once must not attract the queued
// requests while all other engines are full.
func TestFailingEngineDrawsNothingUnderOverload(t *testing.T) {
	f := newFailingPool(engines(10, 12), func(upstream string) bool { return upstream == "a" })
	f.run(10)

	// One trial every 2 seconds, and as many again while the ejection time grows.
	assert.Assert(t, f.failed["a"] <= 8, "%d requests failed", f.failed["a"])
	assert.Assert(t, f.sent["b"] > 10)
}

// When all engines fail half of their requests under overload, they must not all be ejected.
func TestEnginesThatAllFailHalfAreUsed(t *testing.T) {
	turn := 0
	f := newFailingPool(engines(10, 12), func(string) bool {
		turn++

		return turn%2 == 0
	})
	f.run(10)

	total, used := 0, 0

	for _, sent := range f.sent {
		total += sent

		if sent > 0 {
			used++
		}
	}

	assert.Assert(t, used == 10 && total > 400, "%d requests at %d engines", total, used)
}
