package cacher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/prefixer"
)

var start = time.Date(2026, time.March, 12, 0, 0, 0, 0, time.UTC)

func TestLeastUsedTailsGoFirst(t *testing.T) {
	c := New(4, 0, 1)
	c.Store(start, []uint64{1, 2, 3})
	c.Store(start, []uint64{1, 2, 4})
	assert.Equal(t, c.Held([]uint64{1, 2, 3}), 3)
	c.Store(start, []uint64{1, 5})
	assert.Equal(t, c.Held([]uint64{1, 2, 3}), 2)
	assert.Equal(t, c.Held([]uint64{1, 5}), 2)
	assert.Equal(t, c.Held([]uint64{9, 1}), 0)
}

func TestEventsAreLateAndHaveGaps(t *testing.T) {
	c := New(1000, time.Second, 1)
	for i := range 800 {
		c.Store(start, []uint64{uint64(i + 1)})
	}

	shown, last := c.Events(start.Add(time.Second-1), 0)
	assert.Equal(t, len(shown)+last, 0)

	shown, last = c.Events(start.Add(time.Second), 0)
	assert.Assert(t, len(shown) > 660 && len(shown) < 740, "%d", len(shown))

	rest, _ := c.Events(start.Add(time.Second), last-1)
	assert.DeepEqual(t, rest, []prefixer.Event{{Sequence: last, Kind: prefixer.KindStored, PrefixHash: uint64(last)}})
}

func TestEvictionsShow(t *testing.T) {
	c := New(1, 0, 1)
	kinds := map[prefixer.Kind]int{}

	for i := range 100 {
		c.Store(start, []uint64{uint64(i + 1)})
	}

	shown, _ := c.Events(start, 0)
	for _, e := range shown {
		kinds[e.Kind]++
	}

	assert.Assert(t, kinds[prefixer.KindEvicted] > 70 && kinds[prefixer.KindStored] > 70, "%v", kinds)
}

func TestClearBeginsAnew(t *testing.T) {
	c := New(10, 0, 1)
	c.Store(start, []uint64{1, 2, 3, 4})
	c.Clear()
	assert.Equal(t, c.Held([]uint64{1}), 0)

	shown, last := c.Events(start, 0)
	assert.Equal(t, len(shown)+last, 0)
}
