package throttler_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/throttler"
)

// Guards against an upstream that never gets a request again, as an entry that another writer left names a limit that nothing ends.
func TestOddLimitHoldsNothingBack(t *testing.T) {
	now := time.Unix(1_764_720_000, 0)

	for name, odd := range map[string]throttler.Limit{
		"rate of nothing": {Upstream: "u", PerSecond: 1e-300, Version: 1}, "rate below zero": {Upstream: "u", PerSecond: -1, Version: 1},
		"no rate": {Upstream: "u", PerSecond: math.NaN(), Version: 1}, "last version": {Upstream: "u", PerSecond: 1, Version: math.MaxInt64},
		"version below zero": {Upstream: "u", PerSecond: 1, Version: math.MinInt64}, "no upstream": {PerSecond: 1, Version: 1},
	} {
		table := throttler.NewTable()
		assert.Assert(t, !table.Merge(odd), name)
		table.Update(now, throttler.StartTimes{"u": 0}, []throttler.Limit{odd}, 0)

		_, known := table.Get("u")
		assert.Assert(t, !known, name)

		// What the upstream itself names holds, and replaces the entry.
		limit, changed := table.Observe(now, "u", 4, true, 0)
		assert.Assert(t, changed && limit.PerSecond == 4 && limit.Version == 1, "%s: %v", name, limit)
	}
}
