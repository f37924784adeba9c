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

const (
	window = 5 * time.Second
	due    = 10 * time.Second
	// first is the window that starts when the clock is zero.
	first = 200_000
)

// noTerm is the guard of a term in a store that has seen none.
var noTerm = storer.Compare{Key: "number", Target: storer.TargetMod}

// fleet is a store, and nodes with a common clock.
type fleet struct {
	store    *keeper.Store
	now      time.Duration
	talliers map[string]*tallier.Tallier
}

func newFleet(names ...string) *fleet {
	f := &fleet{store: keeper.NewStore(keeper.StoreOptions{}), talliers: make(map[string]*tallier.Tallier)}
	for _, name := range names {
		f.start(name, name+".1")
	}

	return f
}

// start starts a node that remembers nothing.
func (f *fleet) start(name, incarnation string) {
	f.talliers[name] = tallier.New(tallier.Options{
		Incarnation: incarnation, Window: window, Now: func() time.Duration { return f.now }, TimeOfDay: f.timeOfDay,
	})
}

func (f *fleet) timeOfDay() time.Time {
	return time.Unix(0, 0).Add(first*window + f.now)
}

func (f *fleet) collector(t *testing.T) *collector.Collector {
	t.Helper()

	c := collector.New(collector.Options{
		Node: "a", Store: keeper.NewLocal(f.store, nil), Window: window, ReportDeadline: due, Now: func() time.Duration { return f.now },
	})
	_, err := c.Load(t.Context())
	assert.NilError(t, err)

	return c
}

// round collects from the named nodes, closes windows and saves the account.
func (f *fleet) round(t *testing.T, c *collector.Collector, names ...string) error {
	t.Helper()

	for _, name := range names {
		c.AddResult(name, f.now, f.talliers[name].Collect(c.CollectParams(name)))
	}

	c.UpdateTime(len(f.talliers))
	c.CloseWindows()

	return c.Save(t.Context(), noTerm, f.store.Era())
}

// Guards against a report that misses the counts of a node which is briefly unreachable, and against one that waits too long for
// such a node.
func TestWindowWaitsForNodesThatHoldCounts(t *testing.T) {
	f := newFleet("a", "b", "c")
	c := f.collector(t)
	assert.NilError(t, f.round(t, c, "a", "b", "c"))
	f.talliers["c"].Count("salon", 0)

	f.now = window + time.Second
	assert.NilError(t, f.round(t, c, "a", "b"))
	assert.Equal(t, len(c.PendingReports()), 0)

	f.now = window + 3*time.Second
	assert.NilError(t, f.round(t, c, "a", "b", "c"))
	assert.DeepEqual(t, c.PendingReports(), []collector.Report{{Window: first, Counts: map[string]int64{"salon": 1}, ClosedBy: "a"}})
	c.MarkReported(first)

	f.now = 2*window + 7*time.Second
	assert.NilError(t, f.round(t, c, "a", "b"))
	assert.DeepEqual(t, c.PendingReports(), []collector.Report{{Window: first + 1, Counts: map[string]int64{}, ClosedBy: "a"}})
}

// Guards against two nodes that close a window with different counts.
func TestSecondWriterLoadsTheStoredAccount(t *testing.T) {
	f := newFleet("a", "b")
	one, other := f.collector(t), f.collector(t)
	assert.NilError(t, f.round(t, one, "a", "b"))
	f.talliers["a"].Count("salon", 0)
	f.talliers["b"].Count("salon", 0)

	f.now = window + time.Second
	assert.ErrorIs(t, f.round(t, other, "a"), collector.ErrConflict)
	assert.Equal(t, len(other.PendingReports()), 0)
	assert.NilError(t, f.round(t, one, "a", "b"))

	_, err := other.Load(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, other.PendingReports(), one.PendingReports())
	assert.DeepEqual(t, one.PendingReports(), []collector.Report{{Window: first, Counts: map[string]int64{"salon": 2}, ClosedBy: "a"}})
}

// Guards against true time that is based on half of the clocks or fewer.
func TestTrueTimeNeedsMostNodes(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	c := f.collector(t)
	assert.NilError(t, f.round(t, c, "a", "b"))

	_, known := c.UntilSettled()
	assert.Assert(t, !known)

	assert.NilError(t, f.round(t, c, "a", "b", "c"))

	_, known = c.UntilSettled()
	assert.Assert(t, known)
}
