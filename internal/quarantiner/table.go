package quarantiner

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// quarantineTime is how long a request is kept from running.
	quarantineTime = time.Hour
	// mostQuarantined bounds the requests in quarantine; the oldest leave it first.
	mostQuarantined = 1024
)

// Quarantine is one request that must not run.
type Quarantine struct {
	Key Key `json:"key"`
	// Since is the Unix millisecond at which it was quarantined.
	Since int64 `json:"since"`
	// Crashes is the number of upstreams that had crashed under it.
	Crashes int `json:"crashes"`
}

// left is how much longer it holds; not above 0 once it is over. The clock of the node that began it may be ahead.
func (q *Quarantine) left(now time.Time) time.Duration {
	return min(quarantineTime-now.Sub(time.UnixMilli(q.Since)), quarantineTime)
}

// table holds the requests in quarantine. It is safe for concurrent use.
type table struct {
	mu      sync.RWMutex
	entries map[Key]entry
}

type entry struct {
	Quarantine
	// stored says that the platform's store lists it.
	stored bool
}

func newTable() *table {
	return &table{entries: make(map[Key]entry)}
}

// find returns how much longer a request is in quarantine.
func (t *table) find(now time.Time, key Key) (time.Duration, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	found, ok := t.entries[key]
	left := found.left(now)

	return left, ok && left > 0
}

// add puts a request in quarantine and reports whether it is new there.
func (t *table) add(now time.Time, added Quarantine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if known, ok := t.entries[added.Key]; ok && known.Since >= added.Since || added.left(now) <= 0 {
		return false
	}

	t.entries[added.Key] = entry{Quarantine: added}
	t.bound()

	return true
}

// replace takes in what the store lists and returns what is new. One that the store listed and lists no more is over:
// operators may lift it.
func (t *table) replace(listed []Quarantine) []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()

	former := t.entries
	t.entries = make(map[Key]entry, len(listed))

	var added []Quarantine

	for _, q := range listed {
		if _, known := former[q.Key]; !known {
			added = append(added, q)
		}

		t.entries[q.Key] = entry{Quarantine: q, stored: true}
	}

	for key, e := range former {
		if _, known := t.entries[key]; !known && !e.stored {
			t.entries[key] = e
		}
	}

	t.bound()

	return added
}

// bound drops the oldest beyond the limit; t.mu is held.
func (t *table) bound() {
	for len(t.entries) > mostQuarantined {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.entries)), func(a, b entry) int { return int(a.Since - b.Since) })
		delete(t.entries, oldest.Key)
	}
}

// unstored returns those that the store doesn't list.
func (t *table) unstored(now time.Time) []Quarantine {
	return t.choose(func(e entry) bool { return !e.stored && e.left(now) > 0 })
}

// over returns those that the store still lists although their time is over, and forgets all others whose time is over.
func (t *table) over(now time.Time) []Key {
	t.mu.Lock()
	maps.DeleteFunc(t.entries, func(_ Key, e entry) bool { return !e.stored && e.left(now) <= 0 })
	t.mu.Unlock()

	var keys []Key
	for _, q := range t.choose(func(e entry) bool { return e.left(now) <= 0 }) {
		keys = append(keys, q.Key)
	}

	return keys
}

func (t *table) choose(matches func(entry) bool) []Quarantine {
	t.mu.RLock()
	defer t.mu.RUnlock()

	var chosen []Quarantine

	for _, e := range t.entries {
		if matches(e) {
			chosen = append(chosen, e.Quarantine)
		}
	}

	slices.SortFunc(chosen, func(a, b Quarantine) int { return slices.Compare(a.Key[:], b.Key[:]) })

	return chosen
}

func (t *table) size() int {
	t.mu.RLock()
	defer t.mu.RUnlock()

	return len(t.entries)
}
