package collector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/collector"
	"quincepath.example/quincepath/internal/gateway/tallier"
	"quincepath.example/quincepath/internal/standin/keeper"
)

// reportFor collects for some windows, marks what is pending as reported, and returns the reported windows.
func (f *fleet) reportFor(t *testing.T, c *collector.Collector, windows int) []int64 {
	t.Helper()

	var reported []int64

	for end := f.now + time.Duration(windows)*window; f.now < end; f.now += 500 * time.Millisecond {
		if !c.Loaded() {
			_, err := c.Load(t.Context())
			assert.NilError(t, err)
		}

		assert.NilError(t, f.round(t, c, "a", "b"))

		for _, report := range c.PendingReports() {
			reported = append(reported, report.Window)
			c.MarkReported(report.Window)
		}
	}

	return reported
}

// Guards against windows that are withheld for ever, once a node or the account names an era that the store hasn't reached: the store was
// replaced, or went back to a release that names none.
func TestReportsGoOnAfterAnAccountOfALaterEra(t *testing.T) {
	for _, test := range []struct {
		name                 string
		inAccount, namesEras bool
	}{
		{name: "a node, no eras"},
		{name: "a node", namesEras: true},
		{name: "the account, no eras", inAccount: true},
		{name: "the account", inAccount: true, namesEras: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet("a", "b")
			f.store = keeper.NewStore(keeper.StoreOptions{NamesEras: test.namesEras})

			if test.inAccount {
				_, err := f.store.Put("usage", []byte(`{"era":3,"writes":50,"next":200000,"open":{},"lives":{},"reports":[]}`), 0)
				assert.NilError(t, err)
			} else {
				f.talliers["b"].Collect(tallier.CollectParams{Account: tallier.AccountVersion{Era: 3, Writes: 50}})
			}

			c := f.collector(t)
			f.reportFor(t, c, 3)
			assert.Equal(t, len(f.reportFor(t, c, 4)), 4, "%d windows are withheld", c.Status().WithheldWindows)
		})
	}
}
