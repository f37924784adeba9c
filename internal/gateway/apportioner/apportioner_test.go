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
	assert.Equal(t, a.Share(0, false), 0.0)

	a.Update(nodeNames(9))
	assert.Equal(t, a.Share(0, true), 0.0)

	c.advance(settlingTime - 2*time.Millisecond)
	assert.Equal(t, a.Share(0, true), 0.0)

	c.advance(2 * time.Millisecond)
	assert.Equal(t, a.Share(0, true), 1.0/9)
}

// A node must not use a share based on an old list, which may lack newer nodes.
func TestPartEndsWithAListThatIsOld(t *testing.T) {
	c := &clock{}
	a := newApportioner(c)
	a.Update(nodeNames(9))
	c.advance(settlingTime)

	assert.Equal(t, a.Share(maxListAge, true), 1.0/9)
	assert.Equal(t, a.Share(maxListAge+1, true), 0.0)
	assert.Equal(t, a.Share(0, true), 1.0/9)
}

// Shares must not grow while usage by nodes that left still counts.
func TestPartsOfNodesThatLeftAreKeptForAWhile(t *testing.T) {
	c := &clock{}
	a := newApportioner(c)
	a.Update(nodeNames(9))
	c.advance(settlingTime)

	// An increase applies at once.
	a.Update(nodeNames(12))
	assert.Equal(t, a.Share(0, true), 1.0/12)

	a.Update(nodeNames(6))
	assert.Equal(t, a.Share(0, true), 1.0/12)

	c.advance(settlingTime / 2)
	a.Update(nodeNames(8))
	c.advance(settlingTime / 2)
	a.Update(nodeNames(7))

	// The highest count since the decrease was eight.
	c.advance(2 * time.Millisecond)
	assert.Equal(t, a.Share(0, true), 1.0/8)

	c.advance(settlingTime)
	assert.Equal(t, a.Share(0, true), 1.0/7)
}

// A node that was removed from the list must stop using its share, and wait again once it is listed.
func TestNodeThatIsNotListedHasNoPart(t *testing.T) {
	c := &clock{}
	a := newApportioner(c)
	a.Update(nodeNames(9))
	c.advance(settlingTime)
	a.Update(nodeNames(9)[1:])
	assert.Equal(t, a.Share(0, true), 0.0)

	a.Update(nodeNames(9))
	assert.Equal(t, a.Share(0, true), 0.0)

	c.advance(settlingTime)
	assert.Equal(t, a.Share(0, true), 1.0/9)
}

// The first node of a deployment must not keep using its share without being listed, since other nodes can't count it then.
func TestFirstNodeUsesItsPartAtOnce(t *testing.T) {
	c := &clock{}
	a := newApportioner(c)
	a.Update(nil)
	a.SetFirstNode()
	assert.Equal(t, a.Share(0, true), 1.0)

	c.advance(5*time.Second + time.Millisecond)
	assert.Equal(t, a.Share(0, true), 0.0)

	a.Update(nodeNames(3))
	assert.Equal(t, a.Share(0, true), 1.0/3)

	// A node that was removed from the list has to wait like any other.
	a.Update(nodeNames(3)[1:])
	a.Update(nodeNames(3))
	assert.Equal(t, a.Share(0, true), 0.0)
}
