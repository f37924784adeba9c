package apportioner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/apportioner"
)

const (
	maxListAge   = 10 * time.Second
	retention    = 16 * time.Second
	settlingTime = maxListAge + retention + time.Millisecond
)

type clock struct{ now time.Duration }

func (c *clock) advance(d time.Duration) { c.now += d }

// listAge is the freshness of a list; negative if the list was never confirmed.
type listAge time.Duration

// Age implements apportioner.Freshness.
func (l *listAge) Age() (time.Duration, bool) { return time.Duration(*l), *l >= 0 }

func newApportioner(c *clock) *apportioner.Apportioner {
	return apportioner.New(apportioner.Options{Self: "n0", MaxListAge: maxListAge, Retention: retention, Now: func() time.Duration { return c.now }})
}

func nodeNames(count int) []string {
	listed := make([]string, count)
	for i := range listed {
		listed[i] = fmt.Sprint("n", i)
	}

	return listed
}

// A node must not use a share before the other nodes know about it, or the shares add up to more than the limit.
func TestNodeWaitsUntilItIsKnown(t *testing.T) {
	c := &clock{}
	a := newApportioner(c)
	assert.Equal(t, a.Share(), 0.0)

	unconfirmed := listAge(-1)
	a.Update(nodeNames(9), &unconfirmed)
	assert.Equal(t, a.Share(), 0.0)

	a.Update(nodeNames(9), new(listAge))
	assert.Equal(t, a.Share(), 0.0)

	c.advance(settlingTime - 2*time.Millisecond)
	assert.Equal(t, a.Share(), 0.0)

	c.advance(2 * time.Millisecond)
	assert.Equal(t, a.Share(), 1.0/9)
}

// A node must not use a share based on an old list, which may lack newer nodes.
func TestPartEndsWithAListThatIsOld(t *testing.T) {
	c := &clock{}
	a := newApportioner(c)
	age := new(listAge)
	a.Update(nodeNames(9), age)
	c.advance(settlingTime)

	*age = listAge(maxListAge)
	assert.Equal(t, a.Share(), 1.0/9)

	*age = listAge(maxListAge + 1)
	assert.Equal(t, a.Share(), 0.0)

	*age = 0
	assert.Equal(t, a.Share(), 1.0/9)
}

// Guards against a share that is computed from an old list because a newer one, which was not taken yet, was confirmed.
func TestConfirmationOfAnotherListSaysNothing(t *testing.T) {
	c := &clock{}
	a := newApportioner(c)
	old := new(listAge)
	a.Update(nodeNames(9), old)
	c.advance(settlingTime)

	*old = listAge(maxListAge + 1)
	assert.Equal(t, a.Share(), 0.0)

	a.Update(nodeNames(30), new(listAge))
	assert.Equal(t, a.Share(), 1.0/30)
}

// Shares must not grow while usage by nodes that left still counts.
func TestPartsOfNodesThatLeftAreKeptForAWhile(t *testing.T) {
	c := &clock{}
	a := newApportioner(c)
	a.Update(nodeNames(9), new(listAge))
	c.advance(settlingTime)

	// An increase applies at once.
	a.Update(nodeNames(12), new(listAge))
	assert.Equal(t, a.Share(), 1.0/12)

	a.Update(nodeNames(6), new(listAge))
	assert.Equal(t, a.Share(), 1.0/12)

	c.advance(settlingTime / 2)
	a.Update(nodeNames(8), new(listAge))
	c.advance(settlingTime / 2)
	a.Update(nodeNames(7), new(listAge))

	// The highest count since the decrease was eight.
	c.advance(2 * time.Millisecond)
	assert.Equal(t, a.Share(), 1.0/8)

	c.advance(settlingTime)
	assert.Equal(t, a.Share(), 1.0/7)
}

// A node that was removed from the list must stop using its share, and wait again once it is listed.
func TestNodeThatIsNotListedHasNoPart(t *testing.T) {
	c := &clock{}
	a := newApportioner(c)
	a.Update(nodeNames(9), new(listAge))
	c.advance(settlingTime)
	a.Update(nodeNames(9)[1:], new(listAge))
	assert.Equal(t, a.Share(), 0.0)

	a.Update(nodeNames(9), new(listAge))
	assert.Equal(t, a.Share(), 0.0)

	c.advance(settlingTime)
	assert.Equal(t, a.Share(), 1.0/9)
}

// The first node of a deployment must not keep using its share without being listed, since other nodes can't count it then.
func TestFirstNodeUsesItsPartAtOnce(t *testing.T) {
	c := &clock{}
	a := newApportioner(c)
	a.Update(nil, new(listAge))
	a.SetFirstNode()
	assert.Equal(t, a.Share(), 1.0)

	c.advance(5*time.Second + time.Millisecond)
	assert.Equal(t, a.Share(), 0.0)

	a.Update(nodeNames(3), new(listAge))
	assert.Equal(t, a.Share(), 1.0/3)

	// A node that was removed from the list has to wait like any other.
	a.Update(nodeNames(3)[1:], new(listAge))
	a.Update(nodeNames(3), new(listAge))
	assert.Equal(t, a.Share(), 0.0)
}
