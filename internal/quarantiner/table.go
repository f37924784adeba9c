package quarantiner

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// quarantineDuration is how long a request stays in quarantine.
	quarantineDuration = time.Hour
	// maxQuarantined bounds the requests in quarantine; beyond it, the oldest are dropped.
	maxQuarantined = 1024
)

// Quarantine is one request that must not run.
type Quarantine struct {
	Key Key `json:"key"`
	// Since is when it was quarantined, in Unix milliseconds.
	Since int64 `json:"since"`
	// Crashes is the number of upstream crashes in which it had run.
	Crashes int `json:"crashes"`
}

// remaining returns the time until the quarantine expires; it is not above 0 once it has. The result is capped because
// the clock of the node that started the quarantine may be ahead.
func (q *Quarantine) remaining(now time.Time) time.Duration {
	return min(quarantineDuration-now.Sub(time.UnixMilli(q.Since)), quarantineDuration)
}

// table holds the requests in quarantine. It is safe for concurrent use.
type table struct {
	mu      sync.RWMutex
	entries map[Key]entry
}

type entry struct {
	Quarantine
	// stored is true if the platform's store lists it.
	stored bool
}

func newTable() *table {
	return &table{entries: make(map[Key]entry)}
}

// find returns the remaining time of the quarantine of a request, and false if it is in none.
func (t *table) find(now time.Time, key Key) (time.Duration, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	found, ok := t.entries[key]
	remaining := found.remaining(now)

	return remaining, ok && remaining > 0
}

// add quarantines a request and reports whether the entry is new.
func (t *table) add(now time.Time, added Quarantine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if known, ok := t.entries[added.Key]; ok && known.Since >= added.Since || added.remaining(now) <= 0 {
		return false
	}

	t.entries[added.Key] = entry{Quarantine: added}
	t.dropExcess()

	return true
}

// replace takes over the entries that the store lists and returns the new ones. An entry that the store listed before
// and no longer lists is removed, so that operators can lift a quarantine.
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

	t.dropExcess()

	return added
}

// dropExcess drops the oldest entries beyond maxQuarantined; t.mu is held.
func (t *table) dropExcess() {
	for len(t.entries) > maxQuarantined {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.entries)), func(a, b entry) int { return int(a.Since - b.Since) })
		delete(t.entries, oldest.Key)
	}
}

// unstored returns the entries that the store does not list.
func (t *table) unstored(now time.Time) []Quarantine {
	return t.filter(func(e entry) bool { return !e.stored && e.remaining(now) > 0 })
}

// expired returns the expired entries that the store still lists, and drops all other expired ones.
func (t *table) expired(now time.Time) []Key {
	t.mu.Lock()
	maps.DeleteFunc(t.entries, func(_ Key, e entry) bool { return !e.stored && e.remaining(now) <= 0 })
	t.mu.Unlock()

	var keys []Key
	for _, q := range t.filter(func(e entry) bool { return e.remaining(now) <= 0 }) {
		keys = append(keys, q.Key)
	}

	return keys
}

func (t *table) filter(matches func(entry) bool) []Quarantine {
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
