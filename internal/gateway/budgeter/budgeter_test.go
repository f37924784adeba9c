package budgeter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/budgeter"
)

// standalone is a node without peers that runs on a fake clock.
type standalone struct {
	*budgeter.Budgeter

	now time.Duration
}

func newStandalone(extra float64, nodes int) *standalone {
	a := &standalone{now: time.Hour}
	a.Budgeter = budgeter.New(budgeter.Options{
		Ratio: 0.2, Extra: extra, Window: 10 * time.Second, Logger: zerolog.Nop(),
		Share: func() float64 { return 1 / float64(nodes) },
		Now:   func() time.Duration { return a.now },
	})

	return a
}

// advance moves the clock forward while the process runs.
func (a *standalone) advance(d time.Duration) {
	for end := a.now + d; a.now < end; {
		a.now = min(a.now+100*time.Millisecond, end)
		a.MarkRunning()
	}
}

// serve counts requests, spread evenly over the given time.
func (a *standalone) serve(count int, d time.Duration) {
	for range count {
		a.CountRequest("chat")
		a.advance(d / time.Duration(count))
	}
}

// spendAll uses up the budget and returns the number of extra attempts it allowed. Each attempt is answered immediately.
func (a *standalone) spendAll() int {
	allowed := 0

	for {
		permit, ok := a.Acquire(context.Background(), "chat")
		if !ok {
			return allowed
		}

		permit.Complete(true)

		allowed++
	}
}

// If each node applied the limit of the whole fleet to itself, a failure of all upstreams would double the load on those that
// are left, since nine nodes see the same failures and retry.
func TestNodesShareTheExtraAttempts(t *testing.T) {
	a := newStandalone(58, 9)
	a.serve(100, 20*time.Second)

	assert.Equal(t, a.spendAll(), 50/2/5+58/9)

	// Requests after the start of the window count for it as well.
	a.serve(50, 9900*time.Millisecond)
	assert.Equal(t, a.spendAll(), 50/2/5)
}

func TestBudgetComesBackAfterItsWindow(t *testing.T) {
	a := newStandalone(5, 1)
	assert.Equal(t, a.spendAll(), 5)

	a.advance(9 * time.Second)
	assert.Equal(t, a.spendAll(), 0)

	a.advance(3 * time.Second)
	assert.Equal(t, a.spendAll(), 5)

	a.advance(time.Hour)
	assert.Equal(t, a.spendAll(), 5)
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	a := newStandalone(1, 1)

	_, ok := a.Acquire(context.Background(), "chat")
	assert.Assert(t, ok)

	_, ok = a.Acquire(context.Background(), "chat")
	assert.Assert(t, !ok)

	_, ok = a.Acquire(context.Background(), "desk")
	assert.Assert(t, ok)
}

// In a large fleet with little traffic, failed requests were not retried: 370 nodes shared 200 extra attempts, and each node's
// share was rounded down to none before the ratio of its five requests was added.
func TestPartsOfAnAttemptAddUp(t *testing.T) {
	a := newStandalone(200, 370)
	for range 5 {
		a.CountRequest("chat")
	}

	// 0.54 from the shared extra attempts plus 0.5 from the ratio of the requests.
	assert.Equal(t, a.spendAll(), 1)
}

// The limit for a part of a fleet may be a fraction. All nodes together must stay below it.
func TestNodesStayBelowABoundThatIsAFraction(t *testing.T) {
	const (
		extra = 33.2
		nodes = 24
	)

	allowed := 0
	for range nodes {
		allowed += newStandalone(extra, nodes).spendAll()
	}

	assert.Assert(t, allowed > 0)
	assert.Assert(t, float64(allowed) <= extra, "%d extra attempts", allowed)
}

// An extra attempt must not arrive in a later window than the last one in which it counts.
func TestAttemptCountsUntilItSurelyHasArrived(t *testing.T) {
	a := newStandalone(1, 1)
	permit, ok := a.Acquire(context.Background(), "chat")
	assert.Assert(t, ok)

	// The attempt is in flight.
	a.advance(time.Minute)
	assert.Equal(t, a.spendAll(), 0)

	// The attempt got no answer.
	permit.Complete(false)
	a.advance(14 * time.Second)
	assert.Equal(t, a.spendAll(), 0)

	a.advance(2 * time.Second)
	assert.Equal(t, a.spendAll(), 1)
}

// An attempt for which no upstream was found must not use up budget.
func TestAttemptThatWasNotSentIsGivenBack(t *testing.T) {
	a := newStandalone(1, 1)
	permit, ok := a.Acquire(context.Background(), "chat")
	assert.Assert(t, ok)

	permit.Cancel()
	permit.Complete(true)
	assert.Equal(t, a.spendAll(), 1)
}

// A node must not run out of budget while other nodes leave theirs unused.
func TestBusiestNodeUsesWhatOthersDoNot(t *testing.T) {
	for _, nodes := range []int{6, 9, 65, 370} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			f := newFleet(1, nodes, 0)
			f.run(settlingTime)
			f.nodes[0].rate = 20
			f.run(2 * window)

			begin := f.now
			f.fail(window)

			usage := f.usageFrom(begin)
			t.Log(usage)
			// At least nine in ten of the attempts allowed in a window in which each request needs one.
			assert.Assert(t, float64(usage.extras) >= 0.9*min(usage.allowed, 20*window.Seconds()), usage.String())
			assert.Assert(t, float64(usage.extras) <= usage.allowed, usage.String())
		})
	}
}

// The first node of a deployment must be able to retry requests in the first seconds, without using up what other nodes need
// later.
func TestFirstNodeOfADeploymentHasItsPartAtOnce(t *testing.T) {
	scenarios := map[string]func(*fleet){"alone": steady, "others join": joinMany, "it restarts": restartInTurn}

	for name, scenario := range scenarios {
		for _, nodes := range []int{1, 9} {
			t.Run(fmt.Sprint(name, nodes), func(t *testing.T) {
				f := newFleet(1, nodes, 10)
				f.run(step)

				permit, ok := f.nodes[0].budget.Acquire(t.Context(), "chat")
				assert.Assert(t, ok)
				permit.Cancel()

				scenario(f)

				worst := f.worstWindow()
				assert.Assert(t, float64(worst.extras) <= worst.allowed, worst.String())
			})
		}
	}
}

// A peer must not be able to borrow more than one attempt, or to increase this node's budget with a negative amount.
func TestBorrowedAmountIsChecked(t *testing.T) {
	a := newStandalone(10, 1)

	for _, amount := range []float64{-1, 0, 1.5} {
		params, err := json.Marshal(map[string]any{"service": "chat", "amount": amount})
		assert.NilError(t, err)

		_, err = a.HandleBorrow(context.Background(), "peer", params)
		assert.Assert(t, err != nil, amount)
	}
}

// No sequence of faults may let the nodes together exceed the budget.
func TestBudgetHoldsOnRandomDays(t *testing.T) {
	for seed := range uint64(randomRuns) {
		f := newFleet(seed, 6+int(seed%7), 1+float64(seed%4)*6)
		f.run(settlingTime)
		f.runRandomFaults(rand.New(rand.NewPCG(seed, 7)))

		worst := f.worstWindow()
		assert.Assert(t, float64(worst.extras) <= worst.allowed, "seed %d: %s", seed, worst)
	}
}
