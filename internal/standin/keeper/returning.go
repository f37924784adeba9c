package keeper

import (
	"maps"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/storer"
)

// Copy is the content of a store at some time.
type Copy struct {
	revision, compacted int64
	keys                []string
	values              map[string]storer.KeyValue
	history             []record
	historyBytes        int
	// leases holds the lengths of the leases in seconds, by their ids.
	leases    map[int64]int64
	lastLease int64
}

// TakeCopy returns a copy of the present content.
func (s *Store) TakeCopy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()

	c := &Copy{
		revision: s.revision, compacted: s.compacted, keys: slices.Clone(s.keys), values: maps.Clone(s.values),
		history: slices.Clone(s.history), historyBytes: s.historyBytes, leases: make(map[int64]int64, len(s.leases)), lastLease: s.lastLease,
	}
	for id, l := range s.leases {
		c.leases[id] = l.seconds
	}

	return c
}

// Restore replaces the content by a copy, as a store does that returns from a backup, and begins the next era if the store names eras. Leases
// start anew with their full length, or are gone with their keys if keepLeases is false. Watches aren't told.
func (s *Store) Restore(c *Copy, keepLeases bool) {
	s.returning.Lock()
	defer s.returning.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, l := range s.leases {
		l.timer.Stop()
	}

	s.revision, s.compacted, s.lastLease = c.revision, c.compacted, c.lastLease
	s.keys, s.values = slices.Clone(c.keys), maps.Clone(c.values)
	s.history, s.historyBytes = slices.Clone(c.history), c.historyBytes
	s.leases = make(map[int64]*lease)

	if s.era > 0 {
		s.era++
	}

	for id, seconds := range c.leases {
		s.startLease(id, seconds)
	}

	for _, kv := range c.values {
		s.attach(kv)
	}

	if !keepLeases {
		for id, l := range s.leases {
			s.end(id, l)
		}
	}
}

// startLease adds a lease that has its full length left.
func (s *Store) startLease(id, seconds int64) {
	length := time.Duration(seconds) * time.Second
	l := &lease{seconds: seconds, expires: time.Now().Add(length), keys: map[string]struct{}{}}
	l.timer = time.AfterFunc(length, func() { s.expire(id, l) })
	s.leases[id] = l
}
