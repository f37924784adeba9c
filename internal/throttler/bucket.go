package throttler

import (
	"math"
	"time"
)

const (
	// burstTime is the time for which a bucket saves up what its upstream did not get, in addition to one request. It covers
	// the interval between two looks at the queue of a pool.
	burstTime = 100 * time.Millisecond
	// roundingTolerance allows for floating-point error in sums of elapsed times.
	roundingTolerance = 1e-9
)

// Bucket admits requests to one upstream at the rate of its limit. It is not safe for concurrent use.
type Bucket struct {
	limit Limit
	// share is the part of the limit that the bucket may use, from 0 to 1, and cost the tokens that it takes for a request.
	share, cost float64
	// tokens is what requests may cost, as of at. It is negative after requests that other nodes admitted.
	tokens float64
	at     time.Time
}

// NewBucket returns a bucket that admits any number of requests.
func NewBucket(share, cost float64) Bucket {
	return Bucket{share: share, cost: cost}
}

// SetLimit changes the limit, unless it is older than the current one. A bucket that had none starts empty: another node may
// just have used what it would allow.
func (b *Bucket) SetLimit(now time.Time, limit Limit) {
	if b.limit.supersedes(&limit) {
		return
	}

	if !b.limit.Active() || b.limit.isOtherRun(limit.Born) {
		b.tokens, b.at = 0, now
	}

	b.advance(now)
	b.limit = limit
	b.tokens = min(b.tokens, b.capacity())
}

// SetTerms changes the part of the limit that the bucket may use, from 0 to 1, and what a request costs. A bucket that had
// no part starts empty.
func (b *Bucket) SetTerms(now time.Time, share, cost float64) {
	if b.share == 0 {
		b.tokens, b.at = 0, now
	}

	b.advance(now)
	b.share, b.cost = share, cost
	b.tokens = min(b.tokens, b.capacity())
}

// Limit returns the limit; its Version is 0 if none was ever set.
func (b *Bucket) Limit() Limit {
	return b.limit
}

// Rate returns the number of requests a second that the bucket admits, +Inf if it is not limited.
func (b *Bucket) Rate() float64 {
	if !b.limit.Active() {
		return math.Inf(1)
	}

	return b.share * b.limit.PerSecond / b.cost
}

// Admits reports whether the bucket admits a request now.
func (b *Bucket) Admits(now time.Time) bool {
	if !b.limit.Active() {
		return true
	}

	b.advance(now)

	return b.share > 0 && b.tokens >= b.cost-roundingTolerance
}

// Take counts a request that the bucket admitted.
func (b *Bucket) Take(now time.Time) {
	b.take(now, b.cost)
}

// TakeElsewhere counts a request that another node admitted.
func (b *Bucket) TakeElsewhere(now time.Time) {
	b.take(now, CostDeciding)
}

func (b *Bucket) take(now time.Time, cost float64) {
	if !b.limit.Active() {
		return
	}

	b.advance(now)
	b.tokens = max(b.tokens-cost, -b.capacity())
}

// Requests returns the number of requests that the bucket admits now; below 0 after too many.
func (b *Bucket) Requests(now time.Time) float64 {
	b.advance(now)

	return b.tokens / b.cost
}

func (b *Bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.share*b.limit.PerSecond, b.capacity())
		b.at = now
	}
}

// capacity is the largest number of tokens.
func (b *Bucket) capacity() float64 {
	return b.cost + b.limit.PerSecond*burstTime.Seconds()
}
