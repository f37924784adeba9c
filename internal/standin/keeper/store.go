// Package keeper is a stand-in for the platform's key-value service and list of VMs.
//
// Store is the core without any network code, for tests in one process and
// under virtual time; Local gives it the client's methods with faults on
// demand; Server answers the published HTTP/JSON mapping of the etcd v3 API.
package keeper

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/storer"
)

// MaxValueBytes is the size above which a value is refused.
const MaxValueBytes = 1 << 20

const (
	defaultHistoryEvents = 10_000
	defaultHistoryBytes  = 64 << 20
	// leasesAbove is the number above which the store chooses ids of leases.
	leasesAbove = 1000
)

// StatusError is a refusal with a gRPC status code.
type StatusError struct {
	Code    int
	Message string
}

// Error returns the code and the message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, e.Message)
}

func refuse(code int, message string) error {
	return &StatusError{Code: code, Message: message}
}

// StoreOptions bound a Store.
type StoreOptions struct {
	// HistoryEvents bounds the events kept for watches and old reads; 0 means 10,000.
	HistoryEvents int
	// HistoryBytes bounds the keys and values of these events; 0 means 64 MB.
	HistoryBytes int
	// VMLag is the time after which a list of VMs set is seen.
	VMLag time.Duration
	// NamesEras says that answers name the store's era, from 1 on.
	NamesEras bool
}

// record is one change in the history.
type record struct {
	event storer.Event
	// previous is what the change replaced; its Version is 0 when the key was absent.
	previous storer.KeyValue
}

// size is the record's part of HistoryBytes, in bytes.

func (r record) size() int {
	return len(r.event.KeyValue.Key) + len(r.event.KeyValue.Value) + len(r.previous.Value)
}

// Store keeps keys with revisions, a bounded history, leases and watches.
// All methods are safe for concurrent use; values passed in and out are shared and never changed.
type Store struct {
	options StoreOptions
	// returning is held for reading by calls that name the era in which they were carried out. It is locked before mu.
	returning sync.RWMutex

	mu sync.Mutex
	// era counts the returns from a copy; 0 if the store names none.
	era      int64
	revision int64
	// compacted is the oldest revision that can still be read; 0 means all can.
	compacted int64
	// keys holds the keys of values in order.
	keys   []string
	values map[string]storer.KeyValue
	// history holds the changes from compacted on, in order of revision.
	history []record
	// historyBytes is the sum of the sizes of history.
	historyBytes int
	leases       map[int64]*lease
	// lastLease is the highest id of a lease that the store chose.
	lastLease int64
	watchers  map[*Watcher]struct{}
	// silent says that further watches tell nothing.
	silent bool
	// vms holds the lists of VMs in order of setting, from the one that shows on.
	vms []vmVersion
}

// NewStore returns an empty store at revision 1.
func NewStore(options StoreOptions) *Store {
	if options.HistoryEvents == 0 {
		options.HistoryEvents = defaultHistoryEvents
	}
	if options.HistoryBytes == 0 {
		options.HistoryBytes = defaultHistoryBytes
	}

	var era int64
	if options.NamesEras {
		era = 1
	}

	return &Store{
		options:   options,
		era:       era,
		revision:  1,
		values:    map[string]storer.KeyValue{},
		leases:    map[int64]*lease{},
		lastLease: leasesAbove,
		watchers:  map[*Watcher]struct{}{},
	}
}

// Revision returns the store's present revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.revision
}

// Era returns the store's present era; 0 if it names none.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.era
}

// Query is a read of one key or of a range.
type Query struct {
	Key      string
	RangeEnd string
	// Limit bounds the keys returned; 0 means no bound.
	Limit int64
	// Revision is the past revision to read at; 0 means now.
	Revision int64
}

// Range returns the keys in order and the store's present revision.
func (s *Store) Range(q Query) (storer.OpResult, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Key == "" {
		return storer.OpResult{}, 0, refuse(storer.StatusInvalidArgument, "etcdserver: key is not provided")
	}
	if q.Revision > s.revision {
		return storer.OpResult{}, 0, refuse(storer.StatusOutOfRange, "etcdserver: mvcc: required revision is a future revision")
	}
	if q.Revision > 0 && q.Revision < s.compacted {
		return storer.OpResult{}, 0, refuse(storer.StatusOutOfRange, "etcdserver: mvcc: required revision has been compacted")
	}
	if q.Revision > 0 && q.Revision < s.revision {
		return limited(s.at(q), q.Limit), s.revision, nil
	}

	return limited(s.current(q.Key, q.RangeEnd), q.Limit), s.revision, nil
}

// Compact forgets the history before a revision.
func (s *Store) Compact(revision int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.revision || revision <= s.compacted {
		return refuse(storer.StatusOutOfRange, "etcdserver: mvcc: required revision can't be compacted")
	}
	for len(s.history) > 0 && s.history[0].event.KeyValue.ModRevision < revision {
		s.forgetOldest()
	}
	s.compacted = revision
	s.wakeWatchers()

	return nil
}

// limited returns the first keys found, and how many there are in all.
func limited(found []storer.KeyValue, limit int64) storer.OpResult {
	result := storer.OpResult{Kind: storer.OpRange, KeyValues: found, Count: int64(len(found))}
	if limit > 0 && result.Count > limit {
		result.KeyValues = found[:limit]
		result.More = true
	}

	return result
}

func (s *Store) current(key, rangeEnd string) []storer.KeyValue {
	if rangeEnd == "" {
		if kv, ok := s.values[key]; ok {
			return []storer.KeyValue{kv}
		}
		return nil
	}
	var found []storer.KeyValue
	first, _ := slices.BinarySearch(s.keys, key)
	for _, k := range s.keys[first:] {
		if !inRange(k, key, rangeEnd) {
			break
		}
		found = append(found, s.values[k])
	}

	return found
}

// at undoes the events after the revision: a key's past value is what the first of them replaced.
func (s *Store) at(q Query) []storer.KeyValue {
	past := map[string]storer.KeyValue{}
	for _, kv := range s.current(q.Key, q.RangeEnd) {
		past[kv.Key] = kv
	}
	for i := len(s.history) - 1; i >= 0; i-- {
		r := s.history[i]
		key := r.event.KeyValue.Key
		if r.event.KeyValue.ModRevision <= q.Revision {
			break
		}
		if !inRange(key, q.Key, q.RangeEnd) {
			continue
		}
		delete(past, key)
		if r.previous.Version > 0 {
			past[key] = r.previous
		}
	}
	found := make([]storer.KeyValue, 0, len(past))
	for _, kv := range past {
		found = append(found, kv)
	}
	slices.SortFunc(found, func(a, b storer.KeyValue) int { return strings.Compare(a.Key, b.Key) })

	return found
}

func inRange(key, from, end string) bool {
	if end == "" {
		return key == from
	}

	return key >= from && (end == storer.NoEnd || key < end)
}

// write stores a key or removes it (kv.Version 0) and records the event at kv.ModRevision.
func (s *Store) write(kv storer.KeyValue) {
	previous := s.values[kv.Key]
	s.detach(previous)
	kind := storer.EventPut
	at, found := slices.BinarySearch(s.keys, kv.Key)
	switch {
	case kv.Version == 0:
		kind = storer.EventDelete
		delete(s.values, kv.Key)
		s.keys = slices.Delete(s.keys, at, at+1)
	case found:
		s.values[kv.Key] = kv
	default:
		s.keys = slices.Insert(s.keys, at, kv.Key)
		s.values[kv.Key] = kv
	}
	s.attach(kv)
	added := record{event: storer.Event{Kind: kind, KeyValue: kv}, previous: previous}
	s.history = append(s.history, added)
	s.historyBytes += added.size()
}

// trim bounds the history by whole revisions, never the newest, so that no watch gets half of one.
func (s *Store) trim() {
	for len(s.history) > s.options.HistoryEvents || s.historyBytes > s.options.HistoryBytes {
		oldest := s.history[0].event.KeyValue.ModRevision
		if oldest == s.revision {
			return
		}
		for len(s.history) > 0 && s.history[0].event.KeyValue.ModRevision == oldest {
			s.forgetOldest()
		}
		s.compacted = oldest + 1
	}
}

func (s *Store) forgetOldest() {
	s.historyBytes -= s.history[0].size()
	s.history[0] = record{}
	s.history = s.history[1:]
}
