package collector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/collector"
	"quincepath.example/quincepath/internal/gateway/tallier"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/internal/storer"
)

// closeFirstWindow lets a collector on node a close and hand out the first window, and returns a copy of the store from before that.
func (f *fleet) closeFirstWindow(t *testing.T, c *collector.Collector) *keeper.Copy {
	t.Helper()

	assert.NilError(t, f.round(t, c, "a", "b"))
	f.talliers["a"].Count("salon", 0)
	assert.NilError(t, f.round(t, c, "a", "b"))

	loss := f.store.TakeCopy()
	f.talliers["b"].Count("salon", 0)
	f.now = window + time.Second
	assert.NilError(t, f.round(t, c, "a", "b"))
	f.handOut(c, "a", "a", "b")

	return loss
}

func (f *fleet) handOut(c *collector.Collector, self string, nodes ...string) {
	for _, name := range c.HandOut(self, nodes) {
		c.AddResult(name, f.now, f.talliers[name].Collect(c.CollectParams(name)))
	}
}

// Guards against a second report of a window whose closing the store has lost: it is the same as the first one, or there is none.
func TestWindowThatTheStoreLostIsReportedAsBefore(t *testing.T) {
	first := []collector.Report{{Window: first, Counts: map[string]int64{"salon": 2}, ClosedBy: "a"}}

	tests := []struct {
		name string
		// namesEras is false if only the versions of the account tell of the return.
		namesEras, restarts, forgets bool
		want                         []collector.Report
	}{
		{name: "the same process", namesEras: true, want: first},
		{name: "the same process, no eras", want: first},
		{name: "another node, others remember", namesEras: true, restarts: true, want: first},
		{name: "another node, others remember, no eras", restarts: true, want: first},
		{name: "nobody remembers", namesEras: true, restarts: true, forgets: true},
	}

	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet("a", "b")
			f.store = keeper.NewStore(keeper.StoreOptions{NamesEras: test.namesEras})
			c := f.collector(t)
			loss := f.closeFirstWindow(t, c)
			assert.DeepEqual(t, c.PendingReports(), first)

			f.store.Restore(loss, false)

			// Without what node a counted, the window would be closed with other counts.
			f.start("a", "a.2")

			if test.forgets {
				f.start("b", "b.2")
			}

			if test.restarts {
				c = f.collector(t)
			}

			var reported []collector.Report

			for range 12 {
				f.now += time.Second

				if _, err := c.Load(t.Context()); err == nil {
					assert.NilError(t, f.round(t, c, "a", "b"))
				}

				for _, report := range c.PendingReports() {
					if report.Window == first[0].Window {
						reported = []collector.Report{report}
					}
				}
			}

			assert.DeepEqual(t, reported, test.want)
			assert.Equal(t, c.Status().WithheldWindows > 0, test.forgets)
		})
	}
}

// Guards against a window without requests that is reported in two encodings, by the node that closed it and by one that read it.
func TestReportWithoutCountsIsTheSameForAnyNode(t *testing.T) {
	f := newFleet("a", "b")
	one := f.collector(t)
	assert.NilError(t, f.round(t, one, "a", "b"))

	f.now = window + time.Second
	assert.NilError(t, f.round(t, one, "a", "b"))

	other := f.collector(t)
	assert.Equal(t, len(other.PendingReports()), 1)
	assert.DeepEqual(t, other.PendingReports(), one.PendingReports())
	assert.Assert(t, other.PendingReports()[0].Counts != nil)
}

// Guards against a second report of a window by a node that sees no other one and whose clock is behind: by that clock the window hadn't
// ended when the store returned.
func TestLostWindowIsNotClosedAnewByAClockThatIsBehind(t *testing.T) {
	f := newFleet("a", "b")
	f.store = keeper.NewStore(keeper.StoreOptions{NamesEras: true})
	loss := f.closeFirstWindow(t, f.collector(t))
	f.store.Restore(loss, false)

	behind := tallier.New(tallier.Options{
		Incarnation: "c.1", Window: window, Now: func() time.Duration { return f.now },
		TimeOfDay: func() time.Time { return f.timeOfDay().Add(-2 * time.Second) },
	})
	c := f.collector(t)

	for range 24 {
		c.AddResult("c", f.now, behind.Collect(c.CollectParams("c")))
		c.UpdateTime(1)
		c.CloseWindows()
		assert.NilError(t, c.Save(t.Context(), noTerm, f.store.Era()))

		for _, report := range c.PendingReports() {
			assert.Assert(t, report.Window != first, "reported again: %v, and before with 2 requests", report.Counts)
		}

		f.now += 500 * time.Millisecond
	}
}

// Guards against a late write of a former holder: the account is written only while its term is the latest and began in the present era.
func TestAccountIsWrittenUnderThePresentTermOnly(t *testing.T) {
	f := newFleet("a", "b")
	f.store = keeper.NewStore(keeper.StoreOptions{NamesEras: true})
	c := f.collector(t)
	assert.NilError(t, f.round(t, c, "a", "b"))

	save := func(guard storer.Compare, era int64) error {
		f.now = window + time.Second
		_, err := c.Load(t.Context())
		assert.NilError(t, err)

		for _, name := range []string{"a", "b"} {
			c.AddResult(name, f.now, f.talliers[name].Collect(c.CollectParams(name)))
		}

		assert.Equal(t, len(c.CloseWindows()), 1)

		return c.Save(t.Context(), guard, era)
	}

	_, err := f.store.Put("number", nil, 0)
	assert.NilError(t, err)
	assert.ErrorIs(t, save(noTerm, 1), collector.ErrConflict)
	assert.Equal(t, len(c.PendingReports()), 0)

	guard := storer.Compare{Key: "number", Target: storer.TargetMod, Number: f.store.Revision()}
	f.store.Restore(f.store.TakeCopy(), false)
	assert.ErrorIs(t, save(guard, 1), collector.ErrTermOfEarlierEra)
	assert.Equal(t, len(c.PendingReports()), 0)
	assert.NilError(t, save(guard, 2))
}

// Guards against a remembered report without counts that is sent in another encoding than before.
func TestRememberedReportWithoutCountsIsTheSame(t *testing.T) {
	f := newFleet("a", "b")
	f.talliers["b"].Collect(tallier.CollectParams{Reports: []tallier.Report{{Window: first, ClosedBy: "b"}}})

	c := f.collector(t)
	assert.NilError(t, f.round(t, c, "a", "b"))
	assert.DeepEqual(t, c.PendingReports(), []collector.Report{{Window: first, Counts: map[string]int64{}, ClosedBy: "b"}})
}

// Guards against a window that is closed anew where the store names no eras: nodes know a later version of the account, though not its
// reports.
func TestVersionThatANodeKnowsShowsALostAccount(t *testing.T) {
	f := newFleet("a", "b")
	c := f.collector(t)
	assert.NilError(t, f.round(t, c, "a", "b"))
	f.talliers["a"].Count("salon", 0)

	loss := f.store.TakeCopy()
	f.now = window + time.Second
	assert.NilError(t, f.round(t, c, "a", "b"))
	f.talliers["b"].Collect(c.CollectParams("b"))
	f.store.Restore(loss, false)
	f.start("a", "a.2")

	c = f.collector(t)
	reported := f.reportFor(t, c, 3)
	assert.Assert(t, len(reported) > 0 && reported[0] == first+1, reported)
	assert.Equal(t, c.Status().WithheldWindows, int64(1))
}

// Guards against a report that is sent from the account of an earlier era, before the nodes were asked and the account is stored again.
func TestNothingIsSentBeforeALostAccountIsStored(t *testing.T) {
	f := newFleet("a", "b")
	f.store = keeper.NewStore(keeper.StoreOptions{NamesEras: true})
	c := f.collector(t)
	f.closeFirstWindow(t, c)
	assert.Equal(t, len(c.PendingReports()), 1)
	f.store.Restore(f.store.TakeCopy(), false)

	_, err := c.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(c.PendingReports()), 0)
	assert.NilError(t, f.round(t, c, "a", "b"))
	assert.Equal(t, len(c.PendingReports()), 1)
}
