package keeper

import (
	"maps"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/storer"
)

// maxLeaseSeconds is the published bound, which a time.Duration still holds.
const maxLeaseSeconds = 9_000_000_000

type lease struct {
	// seconds is the length that a renewal starts anew.
	seconds int64
	expires time.Time
	timer   *time.Timer
	keys    map[string]struct{}
}

// Grant starts a lease of a whole number of seconds, at least 1. An id of 0 lets the store choose one.
func (s *Store) Grant(id, seconds int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seconds = min(max(seconds, 1), maxLeaseSeconds)
	if id == 0 {
		s.lastLease++
		id = s.lastLease
	}
	if s.leases[id] != nil {
		return 0, refuse(storer.StatusFailedPrecondition, "etcdserver: lease already exists")
	}
	s.startLease(id, seconds)

	return id, nil
}

// KeepAlive starts the lease's time anew and returns its seconds; 0 means that the lease has ended.
func (s *Store) KeepAlive(id int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0
	}
	length := time.Duration(l.seconds) * time.Second
	l.expires = time.Now().Add(length)
	l.timer.Reset(length)

	return l.seconds
}

// Revoke ends a lease and deletes its keys; it returns the store's revision.
func (s *Store) Revoke(id int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0, refuse(storer.StatusNotFound, "etcdserver: requested lease not found")
	}
	s.end(id, l)

	return s.revision, nil
}

// expire runs from the lease's timer. A renewal may come between the timer's start and the
// lock; without the look at expires it would be answered and the lease ended all the same.
func (s *Store) expire(id int64, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != l || time.Now().Before(l.expires) {
		return
	}
	s.end(id, l)
}

func (s *Store) end(id int64, l *lease) {
	l.timer.Stop()
	delete(s.leases, id)
	var found []storer.KeyValue
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		found = append(found, s.values[key])
	}
	if s.remove(found, s.revision+1) > 0 {
		s.commit(s.revision + 1)
	}
}

func (s *Store) attach(kv storer.KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		l.keys[kv.Key] = struct{}{}
	}
}

func (s *Store) detach(kv storer.KeyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, kv.Key)
	}
}

// vmVersion is a list of VMs and the time at which it was set.
type vmVersion struct {
	set time.Time
	vms []storer.VM
}

// SetVMs replaces the list of VMs; VMs shows it after the lag.
func (s *Store) SetVMs(vms []storer.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vmVersion{set: time.Now(), vms: vms})
}

// VMs returns the list as it was one lag ago.
func (s *Store) VMs() storer.VMList {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-s.options.VMLag)
	for len(s.vms) > 1 && !s.vms[1].set.After(asOf) {
		s.vms = s.vms[1:]
	}
	list := storer.VMList{VMs: []storer.VM{}, AsOf: asOf}
	if len(s.vms) > 0 && !s.vms[0].set.After(asOf) {
		list.VMs = s.vms[0].vms
	}

	return list
}
