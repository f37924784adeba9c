package apportioner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/apportioner"
)

const (
	fresh   = 10 * time.Second
	lasting = 16 * time.Second
	settled = fresh + lasting + time.Millisecond
)

type clock struct{ now time.Duration }

func (c *clock) pass(d time.Duration) { c.now += d }

func newNode(c *clock) *apportioner.Apportioner {
	return apportioner.New(apportioner.Options{Self: "n0", MaxListAge: fresh, Retention: lasting, Now: func() time.Duration { return c.now }})
}

func names(count int) []string {
	listed := make([]string, count)
	for i := range listed {
		listed[i] = fmt.Sprint("n", i)
	}

	return listed
}

// Guards against a node that uses a part before the others know of it.
func TestNodeWaitsUntilItIsKnown(t *testing.T) {
	c := &clock{}
	a := newNode(c)
	assert.Equal(t, a.Share(0, false), 0.0)

	a.Update(names(9))
	assert.Equal(t, a.Share(0, true), 0.0)

	c.pass(settled - 2*time.Millisecond)
	assert.Equal(t, a.Share(0, true), 0.0)

	c.pass(2 * time.Millisecond)
	assert.Equal(t, a.Share(0, true), 1.0/9)
}

// Guards against a node that uses a part by a list on which newer nodes may be missing.
func TestPartEndsWithAListThatIsOld(t *testing.T) {
	c := &clock{}
	a := newNode(c)
	a.Update(names(9))
	c.pass(settled)

	assert.Equal(t, a.Share(fresh, true), 1.0/9)
	assert.Equal(t, a.Share(fresh+1, true), 0.0)
	assert.Equal(t, a.Share(0, true), 1.0/9)
}

// Guards against parts that grow while what the nodes that left have used still counts.
func TestPartsOfNodesThatLeftAreKeptForAWhile(t *testing.T) {
	c := &clock{}
	a := newNode(c)
	a.Update(names(9))
	c.pass(settled)

	// More nodes count at once.
	a.Update(names(12))
	assert.Equal(t, a.Share(0, true), 1.0/12)

	a.Update(names(6))
	assert.Equal(t, a.Share(0, true), 1.0/12)

	c.pass(settled / 2)
	a.Update(names(8))
	c.pass(settled / 2)
	a.Update(names(7))

	// One more than eight is not sure to be gone yet.
	c.pass(2 * time.Millisecond)
	assert.Equal(t, a.Share(0, true), 1.0/8)

	c.pass(settled)
	assert.Equal(t, a.Share(0, true), 1.0/7)
}

// Guards against a node that goes on using its part although it was removed from the list.
func TestNodeThatIsNotListedHasNoPart(t *testing.T) {
	c := &clock{}
	a := newNode(c)
	a.Update(names(9))
	c.pass(settled)
	a.Update(names(9)[1:])
	assert.Equal(t, a.Share(0, true), 0.0)

	a.Update(names(9))
	assert.Equal(t, a.Share(0, true), 0.0)

	c.pass(settled)
	assert.Equal(t, a.Share(0, true), 1.0/9)
}

// Guards against the first node of a deployment that goes on without being listed, so that others can't count it.
func TestFirstNodeUsesItsPartAtOnce(t *testing.T) {
	c := &clock{}
	a := newNode(c)
	a.Update(nil)
	a.SetFirstNode()
	assert.Equal(t, a.Share(0, true), 1.0)

	c.pass(5*time.Second + time.Millisecond)
	assert.Equal(t, a.Share(0, true), 0.0)

	a.Update(names(3))
	assert.Equal(t, a.Share(0, true), 1.0/3)

	// It is no longer the first one once it was removed.
	a.Update(names(3)[1:])
	a.Update(names(3))
	assert.Equal(t, a.Share(0, true), 0.0)
}
