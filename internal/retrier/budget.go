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
	// highest share that is 10 retries. A class starts with it, or the first crash
	// after a node's start would break off answers that could be resumed.
	creditAttempts = 100
	// creditSlack allows for sums such as ten times 0.1, which are a hair less than 1.
	creditSlack = 1e-9
)

// Pair names a class of a service.
type Pair struct {
	Service string
	Class   string
}

// Budget bounds the extra attempts that reach upstreams: over any span at most
// RetryBudget for each first attempt of a class, plus its saved credit, plus
// the node's floor. It is safe for concurrent use.
//
// Without it, a failure that hits all upstreams multiplies the load by the
// number of attempts just when capacity is lost; it would show as a load that
// stays up after the fault is over. The floor lets a class with little traffic
// retry at all. All classes of the node share the floor: a floor for each
// class would, with many services and many nodes, outgrow the budgets.
type Budget struct {
	mu sync.Mutex
	// credit is in retries, never below zero; a class that isn't in it has all it can save.
	credit map[Pair]float64
	floor  *rate.Limiter
}

func newBudget(floorPerSecond float64, floorBurst int) *Budget {
	return &Budget{
		credit: make(map[Pair]float64),
		floor:  rate.NewLimiter(rate.Limit(floorPerSecond), floorBurst),
	}
}

// Earn credits one first attempt; shares outside 0 to 0.1 are cut.
func (b *Budget) Earn(pair Pair, share float64) {
	share = cutShare(share)

	b.mu.Lock()
	defer b.mu.Unlock()

	b.credit[pair] = min(b.creditOf(pair, share)+share, creditAttempts*share)
}

// Spend takes one extra attempt from the class's credit, else from the floor.
// It returns false when neither has one.
func (b *Budget) Spend(now time.Time, pair Pair, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if credit := b.creditOf(pair, cutShare(share)); credit >= 1-creditSlack {
		b.credit[pair] = max(credit-1, 0)

		return true
	}

	return b.floor.AllowN(now, 1)
}

func (b *Budget) creditOf(pair Pair, share float64) float64 {
	if credit, ok := b.credit[pair]; ok {
		return credit
	}

	return creditAttempts * share
}

func cutShare(share float64) float64 {
	return min(max(share, 0), maxRetryBudget)
}
