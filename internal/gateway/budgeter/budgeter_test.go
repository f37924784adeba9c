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

// alone is a node without peers, on a clock of its own.
type alone struct {
	*budgeter.Budgeter

	now time.Duration
}

func newAlone(extra float64, nodes int) *alone {
	a := &alone{now: time.Hour}
	a.Budgeter = budgeter.New(budgeter.Options{
		Ratio: 0.2, Extra: extra, Window: 10 * time.Second, Logger: zerolog.Nop(),
		Share: func() float64 { return 1 / float64(nodes) },
		Now:   func() time.Duration { return a.now },
	})

	return a
}

// pass lets so much time go by while the process runs.
func (a *alone) pass(d time.Duration) {
	for end := a.now + d; a.now < end; {
		a.now = min(a.now+100*time.Millisecond, end)
		a.MarkRunning()
	}
}

// serve takes requests evenly over the given time.
func (a *alone) serve(count int, d time.Duration) {
	for range count {
		a.CountRequest("chat")
		a.pass(d / time.Duration(count))
	}
}

// spend returns how many extra attempts are allowed at once. All of them are answered at once.
func (a *alone) spend() int {
	allowed := 0

	for {
		charge, ok := a.Acquire(context.Background(), "chat")
		if !ok {
			return allowed
		}

		charge.Complete(true)

		allowed++
	}
}

// Symptom: a failure of all upstreams doubles the load on those that are left.
// Sequence: each of nine nodes meets the same failures and tries again.
// Cause: each held to the bound that all of them share.
func TestNodesShareTheExtraAttempts(t *testing.T) {
	a := newAlone(58, 9)
	a.serve(100, 20*time.Second)

	assert.Equal(t, a.spend(), 50/2/5+58/9)

	// Requests after the window's begin count for it as well.
	a.serve(50, 9900*time.Millisecond)
	assert.Equal(t, a.spend(), 50/2/5)
}

func TestBudgetComesBackAfterItsWindow(t *testing.T) {
	a := newAlone(5, 1)
	assert.Equal(t, a.spend(), 5)

	a.pass(9 * time.Second)
	assert.Equal(t, a.spend(), 0)

	a.pass(3 * time.Second)
	assert.Equal(t, a.spend(), 5)

	a.pass(time.Hour)
	assert.Equal(t, a.spend(), 5)
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	a := newAlone(1, 1)

	_, ok := a.Acquire(context.Background(), "chat")
	assert.Assert(t, ok)

	_, ok = a.Acquire(context.Background(), "chat")
	assert.Assert(t, !ok)

	_, ok = a.Acquire(context.Background(), "desk")
	assert.Assert(t, ok)
}

// Symptom: in a fleet of many VMs no failed request is tried again while there is little traffic.
// Sequence: 370 nodes share 200 extra attempts; a node has served five requests in its window when one fails.
// Cause: the node's part of the extra attempts was cut to a whole number, none, before the ratio of its requests was added.
func TestPartsOfAnAttemptAddUp(t *testing.T) {
	a := newAlone(200, 370)
	for range 5 {
		a.CountRequest("chat")
	}

	// 0.54 of the extra attempts and 0.5 for the requests.
	assert.Equal(t, a.spend(), 1)
}

// A bound that was given for a part of a fleet may be a fraction. All nodes together must stay below it.
func TestNodesStayBelowABoundThatIsAFraction(t *testing.T) {
	const (
		extra = 33.2
		nodes = 24
	)

	allowed := 0
	for range nodes {
		allowed += newAlone(extra, nodes).spend()
	}

	assert.Assert(t, allowed > 0)
	assert.Assert(t, float64(allowed) <= extra, "%d extra attempts", allowed)
}

// Guards against extra attempts that arrive in a later window than the one in which they were counted.
func TestAttemptCountsUntilItSurelyHasArrived(t *testing.T) {
	a := newAlone(1, 1)
	charge, ok := a.Acquire(context.Background(), "chat")
	assert.Assert(t, ok)

	// It is under way.
	a.pass(time.Minute)
	assert.Equal(t, a.spend(), 0)

	// It got no answer.
	charge.Complete(false)
	a.pass(14 * time.Second)
	assert.Equal(t, a.spend(), 0)

	a.pass(2 * time.Second)
	assert.Equal(t, a.spend(), 1)
}

// Guards against attempts that cost a part of the budget although no upstream was found for them.
func TestAttemptThatWasNotSentIsGivenBack(t *testing.T) {
	a := newAlone(1, 1)
	charge, ok := a.Acquire(context.Background(), "chat")
	assert.Assert(t, ok)

	charge.Cancel()
	charge.Complete(true)
	assert.Equal(t, a.spend(), 1)
}

// Guards against a node that is out of its own budget while others leave theirs unused.
func TestBusiestNodeUsesWhatOthersDoNot(t *testing.T) {
	for _, nodes := range []int{6, 9, 65, 370} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			f := newFleet(1, nodes, 0)
			f.run(settled)
			f.nodes[0].rate = 20
			f.run(2 * window)

			begin := f.now
			f.fail(window)

			found := f.within(begin)
			t.Log(found)
			// Nine in ten of the attempts that are allowed in a window in which each request needs one.
			assert.Assert(t, float64(found.extras) >= 0.9*min(found.allowed, 20*window.Seconds()), found.String())
			assert.Assert(t, float64(found.extras) <= found.allowed, found.String())
		})
	}
}

// Guards against a deployment whose requests are not retried in its first seconds, and against one whose first node leaves nothing to others.
func TestFirstNodeOfADeploymentHasItsPartAtOnce(t *testing.T) {
	plays := map[string]func(*fleet){"alone": steady, "others join": joinMany, "it restarts": restartInTurn}

	for name, play := range plays {
		for _, nodes := range []int{1, 9} {
			t.Run(fmt.Sprint(name, nodes), func(t *testing.T) {
				f := newFleet(1, nodes, 10)
				f.run(step)

				charge, ok := f.nodes[0].budget.Acquire(t.Context(), "chat")
				assert.Assert(t, ok)
				charge.Cancel()

				play(f)

				worst := f.worst()
				assert.Assert(t, float64(worst.extras) <= worst.allowed, worst.String())
			})
		}
	}
}

// Guards against a peer's question that costs more than one attempt or makes room for it.
func TestBorrowedAmountIsChecked(t *testing.T) {
	a := newAlone(10, 1)

	for _, amount := range []float64{-1, 0, 1.5} {
		params, err := json.Marshal(map[string]any{"service": "chat", "amount": amount})
		assert.NilError(t, err)

		_, err = a.HandleBorrow(context.Background(), "peer", params)
		assert.Assert(t, err != nil, amount)
	}
}

// Guards against a sequence of faults in which nodes together exceed the budget.
func TestBudgetHoldsOnRandomDays(t *testing.T) {
	for seed := range uint64(randomDays) {
		f := newFleet(seed, 6+int(seed%7), 1+float64(seed%4)*6)
		f.run(settled)
		f.playRandom(rand.New(rand.NewPCG(seed, 7)))

		worst := f.worst()
		assert.Assert(t, float64(worst.extras) <= worst.allowed, "seed %d: %s", seed, worst)
	}
}
