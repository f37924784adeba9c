package claimer

import "time"

const (
	// foreignBytes is the largest journal that is kept in memory of a shard that another node writes.
	foreignBytes = 128 << 10
	// foreignLoads is how many larger ones may be in memory at a time.
	foreignLoads = 2
)

// A node that can't reach the holders writes all shards by itself. Without a bound it
// would hold the window of the whole fleet, many times its own share, and end for
// lack of memory; one would see its heap grow with each shard that it reads. So it reads
// large shards one or two at a time and forgets them when nothing waits for them. A
// claim that waits too long for its turn is refused, which says truly that it did not run.

// takePlace waits until the shard may be read. It returns false when the claimer ends.
func (s *shard) takePlace() bool {
	if s.placed || s.claimer.holder(s.number) == "" {
		return true
	}

	select {
	case s.claimer.places <- struct{}{}:
		s.placed = true

		return true
	case <-s.claimer.ctx.Done():
		return false
	}
}

// leavePlace lets another shard be read once this one is small or forgotten. The caller holds s.mu.
func (s *shard) leavePlace(idle bool) {
	large := s.loaded && s.journal.size > foreignBytes
	if !s.placed || large && !idle {
		return
	}

	if large {
		s.forget()
	}

	s.placed = false
	<-s.claimer.places
}

// forget frees the journal's memory; it is read anew when it is needed. The caller holds s.mu.
func (s *shard) forget() {
	s.loaded = false
	s.journal = newJournal(s.number)
}

// maintain queues a write of the idle shard's time, or forgets the journal of one that another node writes.
func (s *shard) maintain(foreign bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	idle := time.Since(s.used) > s.claimer.options.TickInterval
	switch {
	case !s.loaded || s.running:
	case foreign && idle:
		s.forget()
	case !foreign && s.journal.revision > 0:
		s.enqueue(newOperation(kindTick, ""))
	}
}
