package tallier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/tallier"
)

const window = 5 * time.Second

// clocks holds a tallier's monotonic clock and the error of its wall clock.
type clocks struct {
	now  time.Duration
	step time.Duration
}

func (c *clocks) timeOfDay() time.Time {
	return time.Unix(1_000_000, 0).Add(c.now + c.step)
}

func newTallier(c *clocks) *tallier.Tallier {
	return tallier.New(tallier.Options{
		Incarnation: "l", Window: window, Now: func() time.Duration { return c.now }, TimeOfDay: c.timeOfDay,
	})
}

// Guards against counts that are lost or counted twice if the account that includes them is not written.
func TestBatchesAreRepeatedUntilTheyAreStored(t *testing.T) {
	tally := newTallier(&clocks{})
	tally.Count("salon", 0)

	first := tally.Collect(tallier.CollectParams{})
	tally.Count("salon", 0)
	second := tally.Collect(tallier.CollectParams{Incarnation: "l"})

	assert.Equal(t, len(first.Batches), 1)
	assert.Equal(t, len(second.Batches), 2)
	assert.DeepEqual(t, second.Batches[0], first.Batches[0])

	third := tally.Collect(tallier.CollectParams{Incarnation: "l", StoredSequence: 1})
	assert.DeepEqual(t, third.Batches, second.Batches[1:])

	// Stored batches of another incarnation don't remove batches of this one.
	assert.DeepEqual(t, tally.Collect(tallier.CollectParams{Incarnation: "before", StoredSequence: 2}).Batches, second.Batches[1:])
	assert.Equal(t, len(tally.Collect(tallier.CollectParams{Incarnation: "l", StoredSequence: 2}).Batches), 0)
}

// Guards against counts in the wrong window after the wall clock was set.
func TestWindowsFollowTheCollectorsTime(t *testing.T) {
	c := &clocks{}
	tally := newTallier(c)
	truth := c.timeOfDay()

	tally.Collect(tallier.CollectParams{TimeMS: truth.UnixMilli()})

	c.step = time.Hour
	c.now = 2 * time.Second
	tally.Count("salon", time.Second)

	want := tallier.Counts{truth.Add(time.Second).Unix() / int64(window.Seconds()): {"salon": 1}}
	assert.DeepEqual(t, tally.Collect(tallier.CollectParams{}).Batches[0].Counts, want)
}

func TestRequestsOfNoOrganisationAreNotCounted(t *testing.T) {
	tally := newTallier(&clocks{})
	tally.Count("", 0)
	assert.Equal(t, len(tally.Collect(tallier.CollectParams{}).Batches), 0)
}

// Guards against memory that grows while no node collects the counts.
func TestUncollectedCountsAreBounded(t *testing.T) {
	c := &clocks{}
	tally := newTallier(c)

	for range 1000 {
		c.now += window
		tally.Count("salon", 0)
	}

	assert.Equal(t, len(tally.Collect(tallier.CollectParams{}).Batches[0].Counts), 12)
}
