package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// failingPool is a pool under more load than its engines bear, some of which fail their requests.
type failingPool struct {
	*shop

	// fails says whether an upstream fails its next request.
	fails func(upstream string) bool
	// sent and failed count the requests after the first second, by upstream.
	sent, failed map[string]int
}

// settle ends a request that fails soon after it is sent.
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

// run sends twice what the engines can take, for five seconds.
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
		shop:  &shop{pool: p, placed: map[string]bool{}, asked: map[string]time.Time{}},
		fails: fails, sent: map[string]int{}, failed: map[string]int{},
	}
}

// Load: an overload beside an engine that fails each request at once. Guards against the empty places of a failing engine
// drawing what waits while all others are full.
func TestFailingEngineDrawsNothingUnderOverload(t *testing.T) {
	f := newFailingPool(engines(10, 12), func(upstream string) bool { return upstream == "a" })
	f.run(10)

	// One trial every two seconds, and as many again while the span grows.
	assert.Assert(t, f.failed["a"] <= 8, "%d requests failed", f.failed["a"])
	assert.Assert(t, f.sent["b"] > 10)
}

// Load: an overload in which all engines fail half of their requests. Guards against leaving all of them out.
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
