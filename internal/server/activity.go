package server

import (
	"sync"
	"sync/atomic"
	"time"
)

// activity knows when one upstream last sent anything on any connection of this node.
type activity struct {
	made time.Time
	// last is the time from made to the last byte, in nanoseconds; negative before the first.
	last atomic.Int64
}

func newActivity() *activity {
	a := &activity{made: time.Now()}
	a.last.Store(-1)

	return a
}

// mark says that bytes came just now.
func (a *activity) mark() {
	a.last.Store(int64(time.Since(a.made)))
}

// within says whether bytes came within the given time.
func (a *activity) within(limit time.Duration) bool {
	last := a.last.Load()

	return last >= 0 && time.Since(a.made)-time.Duration(last) < limit
}

// activities holds the activity of each upstream, by address. It is safe for concurrent use.
type activities struct {
	byAddress sync.Map
}

func (a *activities) of(address string) *activity {
	if found, ok := a.byAddress.Load(address); ok {
		return found.(*activity)
	}

	found, _ := a.byAddress.LoadOrStore(address, newActivity())

	return found.(*activity)
}
