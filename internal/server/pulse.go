package server

import (
	"sync"
	"sync/atomic"
	"time"
)

// pulse knows when one upstream last sent anything on any connection of this node.
type pulse struct {
	made time.Time
	// last is the time from made to the last byte, in nanoseconds; negative before the first.
	last atomic.Int64
}

func newPulse() *pulse {
	p := &pulse{made: time.Now()}
	p.last.Store(-1)

	return p
}

// beat says that bytes came just now.
func (p *pulse) beat() {
	p.last.Store(int64(time.Since(p.made)))
}

// within says whether bytes came within the given time.
func (p *pulse) within(limit time.Duration) bool {
	last := p.last.Load()

	return last >= 0 && time.Since(p.made)-time.Duration(last) < limit
}

// pulses holds the pulse of each upstream, by address. It is safe for concurrent use.
type pulses struct {
	byAddress sync.Map
}

func (p *pulses) of(address string) *pulse {
	if found, ok := p.byAddress.Load(address); ok {
		return found.(*pulse)
	}

	found, _ := p.byAddress.LoadOrStore(address, newPulse())

	return found.(*pulse)
}
