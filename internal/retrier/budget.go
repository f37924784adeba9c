package retrier

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxRetryBudget is the highest share that a class may set.
	maxRetryBudget = 0.1
	// creditAttempts is of how many first attempts a class may save up the credit; at the
	// highest share that is 10 retries. The classes of all nodes start with it together, or the
	// first crash after a node's start would break off answers that could be resumed.
	creditAttempts = 100
	// creditSlack allows for sums such as ten times 0.1, which are a hair less than 1.
	creditSlack = 1e-9
	// fullCost is what an extra attempt costs that repeats all that the last one did,
	// leastCost what any costs: without it streams that break often could be resumed without bound.
	fullCost  = 1
	leastCost = 0.1
)

// ClassKey names a class of a service.
type ClassKey struct {
	Service string
	Class   string
}

// Budget bounds the load that extra attempts put on upstreams: over any span
// their costs add up to at most RetryBudget for each first attempt of a class,
// plus its saved credit, plus the node's floor. An attempt that repeats all costs
// 1, and the resume of a broken stream its part. It is safe for concurrent use.
//
// Without it, a failure that hits all upstreams multiplies the load by the
// number of attempts just when capacity is lost; it would show as a load that
// stays up after the fault is over. The floor lets a class with little traffic
// retry at all. All classes of the node share the floor: a floor for each
// class would, with many services and many nodes, outgrow the budgets.
//
// A node starts with its part of one node's credit and floor: it may have spent its own
// just before, and when all nodes are restarted these would add up.
type Budget struct {
	// nodes returns the number of nodes that may exist.
	nodes func() int

	mu sync.Mutex
	// credit is in retries, never below zero; a class that isn't in it has its part of what it can save.
	credit map[ClassKey]float64
	floor  *rate.Limiter
	// floorCut says that the floor was cut to the node's part of it.
	floorCut bool
}

func newBudget(floorPerSecond float64, floorBurst int, nodes func() int) *Budget {
	return &Budget{
		nodes:  nodes,
		credit: make(map[ClassKey]float64),
		floor:  rate.NewLimiter(rate.Limit(floorPerSecond), floorBurst),
	}
}

// Earn credits one first attempt; shares outside 0 to 0.1 are cut.
func (b *Budget) Earn(pair ClassKey, share float64) {
	share = cutShare(share)

	b.mu.Lock()
	defer b.mu.Unlock()

	b.credit[pair] = min(b.creditOf(pair, share)+share, creditAttempts*share)
}

// Spend takes one extra attempt of the given cost, above 0 to 1, from the class's
// credit, else a whole one from the floor. It returns false when neither has it.
func (b *Budget) Spend(now time.Time, pair ClassKey, share, cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if credit := b.creditOf(pair, cutShare(share)); credit >= cost-creditSlack {
		b.credit[pair] = max(credit-cost, 0)

		return true
	}

	b.cutFloor(now)

	return b.floor.AllowN(now, 1)
}

// cutFloor leaves the node its part of the floor with which it starts; b.mu is held.
func (b *Budget) cutFloor(now time.Time) {
	if b.floorCut {
		return
	}

	b.floorCut = true
	burst := b.floor.Burst()
	b.floor.AllowN(now, burst-burst/b.nodeCount())
}

// nodeCount is the number of nodes that may exist, at least 1; b.mu is held.
func (b *Budget) nodeCount() int {
	return max(b.nodes(), 1)
}

func (b *Budget) creditOf(pair ClassKey, share float64) float64 {
	if credit, ok := b.credit[pair]; ok {
		return credit
	}

	return creditAttempts * share / float64(b.nodeCount())
}

func cutShare(share float64) float64 {
	return min(max(share, 0), maxRetryBudget)
}
