package throttler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/throttler"
)

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// Guards against an answer from before the limit that ends or raises it: it arrives late, from a node that was frozen.
func TestOnlyLaterAnswersEndOrRaiseALimit(t *testing.T) {
	table := throttler.NewTable()
	before := table.Version("u")

	limit, changed := table.Observe(start, "u", 4, true, before)
	assert.Assert(t, changed)
	assert.Equal(t, limit, throttler.Limit{Upstream: "u", PerSecond: 4, Version: 1})

	for _, late := range []struct {
		rate  float64
		named bool
	}{{0, false}, {9, true}} {
		_, changed = table.Observe(start, "u", late.rate, late.named, before)
		assert.Assert(t, !changed, late.rate)
	}

	limit, changed = table.Observe(start, "u", 2, true, before)
	assert.Assert(t, changed)
	assert.Equal(t, limit.PerSecond, 2.0)

	limit, changed = table.Observe(start, "u", 9, true, table.Version("u"))
	assert.Assert(t, changed)
	assert.Equal(t, limit.PerSecond, 9.0)

	limit, changed = table.Observe(start, "u", 0, false, table.Version("u"))
	assert.Assert(t, changed && !limit.Active())
	assert.DeepEqual(t, table.Counters(), throttler.Counters{Named: 4, Changed: 3, Ended: 1})
}

// Guards against an upstream that names a rate of 0 and never gets a request by which it could say that the limit ended.
func TestRateOfNothingStillAdmitsAFew(t *testing.T) {
	table := throttler.NewTable()
	limit, _ := table.Observe(start, "u", 0, true, 0)
	assert.Assert(t, limit.Active())

	bucket := throttler.NewBucket(1, throttler.CostDeciding)
	bucket.SetLimit(start, limit)
	assert.Assert(t, !bucket.Admits(start.Add(50*time.Second)))
	assert.Assert(t, bucket.Admits(start.Add(61*time.Second)))
}

// Guards against nodes that keep different limits after two of them heard different rates at the same time.
func TestNodesAgreeOnTheNewestLimit(t *testing.T) {
	limits := []throttler.Limit{
		{Upstream: "u", PerSecond: 5, Version: 1},
		{Upstream: "u", PerSecond: 3, Version: 2},
		{Upstream: "u", PerSecond: 8, Version: 2},
		{Upstream: "u", PerSecond: 0, Version: 2},
	}

	for first := range limits {
		table := throttler.NewTable()

		for i := range limits {
			table.Merge(limits[(first+i)%len(limits)])
		}

		limit, _ := table.Get("u")
		assert.Equal(t, limit, limits[1])
	}
}

// Guards against a limit that outlives the run of the upstream that named it.
func TestLimitEndsWithTheRunOfItsUpstream(t *testing.T) {
	table := throttler.NewTable()
	table.Update(start, throttler.StartTimes{"u": 100}, nil, 0)

	limit, _ := table.Observe(start, "u", 4, true, 0)
	assert.Equal(t, limit.Born, int64(100))

	table.Update(start, throttler.StartTimes{"u": 200}, []throttler.Limit{limit}, 0)

	_, known := table.Get("u")
	assert.Assert(t, !known)

	_, remove := table.Unstored(start, func(string) bool { return true })
	assert.DeepEqual(t, remove, []string{"u"})
}

// Guards against a limit that is forgotten while the list lacks its upstream for a moment, as after an outage of the store.
func TestLimitIsKeptWhileItsUpstreamIsUnlisted(t *testing.T) {
	table := throttler.NewTable()
	listed := throttler.StartTimes{"u": 0}
	table.Update(start, listed, nil, 0)
	table.Observe(start, "u", 4, true, 0)

	table.Update(start.Add(time.Second), throttler.StartTimes{}, nil, 0)
	table.Update(start.Add(40*time.Second), listed, nil, 0)

	limit, _ := table.Get("u")
	assert.Assert(t, limit.Active())

	table.Update(start.Add(time.Minute), throttler.StartTimes{}, nil, 0)
	table.Update(start.Add(3*time.Minute), throttler.StartTimes{}, nil, 0)

	_, known := table.Get("u")
	assert.Assert(t, !known)
}

// Guards against a limit that only the memory of nodes holds: once all have restarted, it is forgotten.
func TestLimitIsStoredUntilItEnds(t *testing.T) {
	all := func(string) bool { return true }
	table := throttler.NewTable()
	listed := throttler.StartTimes{"u": 0}
	table.Update(start, listed, nil, 0)

	limit, _ := table.Observe(start, "u", 4, true, 0)
	put, _ := table.Unstored(start, all)
	assert.DeepEqual(t, put, []throttler.Limit{limit})

	// A write may be lost, but is not repeated at once.
	put, _ = table.Unstored(start.Add(time.Second), all)
	assert.Equal(t, len(put), 0)
	put, _ = table.Unstored(start.Add(4*time.Second), all)
	assert.Equal(t, len(put), 1)

	table.Update(start, listed, put, 0)

	restarted := throttler.NewTable()
	restarted.Update(start, listed, put, 0)

	known, _ := restarted.Get("u")
	assert.Equal(t, known, limit)

	table.Observe(start, "u", 0, false, table.Version("u"))
	_, remove := table.Unstored(start, all)
	assert.DeepEqual(t, remove, []string{"u"})

	// Other nodes learn from the store that it ended.
	restarted.Update(start, listed, nil, 0)

	known, _ = restarted.Get("u")
	assert.Assert(t, !known.Active())
}

// Guards against a limit that ends since the store lost it, at a node that didn't hear it from the upstream.
func TestLimitThatTheStoreLostIsStoredAgain(t *testing.T) {
	all := func(string) bool { return true }
	listed := throttler.StartTimes{"u": 0}
	limit := throttler.Limit{Upstream: "u", PerSecond: 4, Version: 1}
	table := throttler.NewTable()

	table.Update(start, listed, []throttler.Limit{limit}, 0)
	table.Update(start, listed, nil, 1)

	known, _ := table.Get("u")
	assert.Equal(t, known, limit)

	put, _ := table.Unstored(start, all)
	assert.DeepEqual(t, put, []throttler.Limit{limit})

	// It ends once the store has had it again.
	table.Update(start, listed, put, 1)
	table.Update(start, listed, nil, 1)

	known, _ = table.Get("u")
	assert.Assert(t, !known.Active())
}

// Guards against a new holder that admits at once what the former one has just admitted.
func TestBucketStartsEmpty(t *testing.T) {
	limit := throttler.Limit{Upstream: "u", PerSecond: 2, Version: 1}

	bucket := throttler.NewBucket(0, throttler.CostDeciding)
	bucket.SetLimit(start, limit)
	assert.Assert(t, !bucket.Admits(start.Add(time.Minute)))

	bucket.SetTerms(start.Add(time.Minute), 1, throttler.CostDeciding)
	assert.Assert(t, !bucket.Admits(start.Add(time.Minute+400*time.Millisecond)))
	assert.Assert(t, bucket.Admits(start.Add(time.Minute+500*time.Millisecond)))
}

// Guards against two deciders that admit the rate each: what one admits counts at the other.
func TestRequestsAdmittedElsewhereCount(t *testing.T) {
	bucket := throttler.NewBucket(1, throttler.CostDeciding)
	bucket.SetLimit(start, throttler.Limit{Upstream: "u", PerSecond: 2, Version: 1})

	for i := range 40 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		bucket.TakeElsewhere(now)
		assert.Assert(t, !bucket.Admits(now.Add(400*time.Millisecond)))
	}
}

// Guards against sides of a cut that together use more than one and a quarter times the limit.
func TestSharesOfSides(t *testing.T) {
	const listed = 370

	for first := range listed + 1 {
		sum := throttler.Share(first, listed) + throttler.Share(listed-first, listed)
		assert.Assert(t, sum <= 1.25, "%d of %d: %v", first, listed, sum)
	}

	assert.Equal(t, throttler.Share(6, 9), 1.0)
	assert.Equal(t, throttler.Share(3, 6), 0.25)
	assert.Equal(t, throttler.Share(1, 0), 1.0)
}

// Guards against an older limit that replaces a newer one because the goroutine that learned it was delayed.
func TestBucketKeepsTheNewerLimit(t *testing.T) {
	now := time.Now()
	bucket := throttler.NewBucket(1, 1)

	bucket.SetLimit(now, throttler.Limit{Upstream: "u", PerSecond: 1, Version: 2})
	bucket.SetLimit(now, throttler.Limit{Upstream: "u", PerSecond: 8, Version: 1})
	assert.Equal(t, bucket.Rate(), 1.0)

	bucket.SetLimit(now, throttler.Limit{Upstream: "u", PerSecond: 8, Version: 3})
	assert.Equal(t, bucket.Rate(), 8.0)
}
