package collector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/gateway/collector"
	"quincepath.example/quincepath/internal/standin/keeper"
)

// Guards against windows that are withheld or reported anew during an upgrade: an account of an earlier release names no era and numbers
// no writes, also when its node writes between those of this release.
func TestAccountOfAnEarlierReleaseIsTakenOver(t *testing.T) {
	earlier := golden.Get(t, "account_of_earlier_release.json")
	f := newFleet("a", "b")
	f.store = keeper.NewStore(keeper.StoreOptions{NamesEras: true})
	c := f.collector(t)
	c.ObserveEra(f.store.Era(), f.now)

	for range 2 {
		_, err := f.store.Put("usage", earlier, 0)
		assert.NilError(t, err)

		f.now = 2*window + time.Second
		_, err = c.Load(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, f.round(t, c, "a", "b"))

		reports := c.PendingReports()
		assert.Equal(t, len(reports), 2)
		assert.DeepEqual(t, reports[0], collector.Report{Window: first, Counts: map[string]int64{"salon": 2}})
		assert.Equal(t, reports[1].Window, int64(first+1))
		assert.Equal(t, c.Status().WithheldWindows, int64(0))
	}
}
