package retrier

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxRetryBudget is the maximum RetryBudget of a class.
	maxRetryBudget = 0.1
	// maxCreditAttempts is the number of first attempts whose credit a class can accumulate, which is 10 retries at
	// maxRetryBudget. All nodes together start with that credit for each class. Without it, the first crash after a node starts
	// would end responses that could be resumed.
	maxCreditAttempts = 100
	// roundingTolerance allows for floating-point sums, such as ten times 0.1, that are slightly less than 1.
	roundingTolerance = 1e-9
	// fullCost is the cost of an extra attempt that repeats all the work of the last one. minCost is the minimum cost: without it,
	// streams that break often could be resumed without limit.
	fullCost = 1
	minCost  = 0.1
)

// ClassKey identifies a class of a service.
type ClassKey struct {
	Service string
	Class   string
}

// Budget limits the load of extra attempts on upstreams. In any interval, their total cost is at most RetryBudget for each first
// attempt of a class, plus the accumulated credit of the class, plus the node's minimum retries. An attempt that repeats all
// the work of the last one costs 1; the resume of a broken stream costs the fraction that it repeats. It is safe for concurrent use.
//
// Without a budget, a failure of all upstreams would multiply the load by the number of attempts just when capacity is lost, and
// the load would stay high after the fault is over. The minimum retries allow a class with little traffic to retry at
// all. They are shared by all classes of the node: with many services and nodes, a minimum for each class would exceed the
// budgets.
//
// A node starts with its share of one node's credit and minimum retries. It may have spent its own just before a restart, and if
// all nodes restarted, the full amounts would add up.
type Budget struct {
	// nodeCount returns the number of nodes that may exist.
	nodeCount func() int

	mu sync.Mutex
	// credit is measured in retries and is never negative. A class without an entry has its share of the maximum credit.
	credit     map[ClassKey]float64
	minRetries *rate.Limiter
	// initialBurstReduced is true once the burst of minRetries has been reduced to the node's share.
	initialBurstReduced bool
}

func newBudget(minRetriesPerSecond float64, minRetryBurst int, nodeCount func() int) *Budget {
	return &Budget{
		nodeCount:  nodeCount,
		credit:     make(map[ClassKey]float64),
		minRetries: rate.NewLimiter(rate.Limit(minRetriesPerSecond), minRetryBurst),
	}
}

// Earn adds the credit of one first attempt. The share is limited to the range from 0 to maxRetryBudget.
func (b *Budget) Earn(class ClassKey, share float64) {
	share = clampShare(share)

	b.mu.Lock()
	defer b.mu.Unlock()

	b.credit[class] = min(b.creditLocked(class, share)+share, maxCreditAttempts*share)
}

// Spend charges one extra attempt to the credit of the class, or a whole retry to the minimum retries if the credit is less than
// cost. The cost is greater than 0 and at most 1. It returns false if neither is sufficient.
func (b *Budget) Spend(now time.Time, class ClassKey, share, cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if credit := b.creditLocked(class, clampShare(share)); credit >= cost-roundingTolerance {
		b.credit[class] = max(credit-cost, 0)

		return true
	}

	b.reduceInitialBurstLocked(now)

	return b.minRetries.AllowN(now, 1)
}

// reduceInitialBurstLocked reduces the burst of minRetries to the node's share before its first use. The caller holds b.mu.
func (b *Budget) reduceInitialBurstLocked(now time.Time) {
	if b.initialBurstReduced {
		return
	}

	b.initialBurstReduced = true
	burst := b.minRetries.Burst()
	b.minRetries.AllowN(now, burst-burst/b.nodeCountLocked())
}

// nodeCountLocked returns the number of nodes that may exist, at least 1. The caller holds b.mu.
func (b *Budget) nodeCountLocked() int {
	return max(b.nodeCount(), 1)
}

func (b *Budget) creditLocked(class ClassKey, share float64) float64 {
	if credit, ok := b.credit[class]; ok {
		return credit
	}

	return maxCreditAttempts * share / float64(b.nodeCountLocked())
}

func clampShare(share float64) float64 {
	return min(max(share, 0), maxRetryBudget)
}
