package quarantiner

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// quarantineDuration is how long a request stays in quarantine, and how long after its quarantine a prompt part is tried for the
	// first time.
	quarantineDuration = time.Hour
	// trialInterval is the time between two later trials of a prompt part. With the first one, two requests with the part are sent
	// in any 24 hours; three may be.
	trialInterval = 12 * time.Hour
	// partRetention is how long after its trial is due a part stays in quarantine that no request names.
	partRetention = 24 * time.Hour
	// releaseRetention is how long a released quarantine is remembered, so that messages and reads of the store which are older
	// don't bring it back.
	releaseRetention = 10 * time.Minute
	// maxQuarantined bounds the requests in quarantine; beyond it, the oldest are dropped.
	maxQuarantined = 1024
)

// Quarantine is one request that must not run, or one prompt part that no request which runs may name.
type Quarantine struct {
	Key Key `json:"key"`
	// Since is when it was quarantined, or last tried, in Unix milliseconds.
	Since int64 `json:"since"`
	// Crashes is the number of upstream crashes in which it had run.
	Crashes int `json:"crashes"`
	// Part is the ID of the prompt part; empty if the quarantine is of a whole request.
	Part string `json:"part,omitempty"`
	// Trials is how often a request with the part was let through since.
	Trials int `json:"trials,omitempty"`
}

func (q *Quarantine) duration() time.Duration {
	if q.Trials > 0 {
		return trialInterval
	}

	return quarantineDuration
}

// remaining returns the time until the quarantine of a request expires, or until a part is due for a trial; it is not above 0 once
// that has come. The result is capped because the clock of the node that started the quarantine may be ahead.
func (q *Quarantine) remaining(now time.Time) time.Duration {
	return min(q.duration()-now.Sub(time.UnixMilli(q.Since)), q.duration())
}

// isOver reports whether the quarantine has ended. That of a part goes on until a trial was answered, or nobody asked for one.
func (q *Quarantine) isOver(now time.Time) bool {
	if q.Part != "" {
		return q.remaining(now) <= -partRetention
	}

	return q.remaining(now) <= 0
}

// renewed returns the quarantine of a part of which a request is let through now.
func (q *Quarantine) renewed(now time.Time) Quarantine {
	next := *q
	next.Since, next.Trials = now.UnixMilli(), q.Trials+1

	return next
}

// table holds the requests and parts in quarantine. It is safe for concurrent use.
type table struct {
	mu      sync.RWMutex
	entries map[Key]entry
	// released are the quarantines that were lifted because an upstream answered, listedAgain those of them that the store still lists
	// or lists again.
	released    map[Key]releasedEntry
	listedAgain []Key
	// removed are the quarantines that the store no longer listed, as operators lifted them or they were over.
	removed map[Key]releasedEntry
	// storeReturns counts the returns of the store from older copies until it listed the quarantines.
	storeReturns int64
}

type entry struct {
	Quarantine
	// stored is true if the platform's store lists it.
	stored bool
}

type releasedEntry struct {
	// since is that of the quarantine.
	since int64
	at    time.Time
}

func newTable() *table {
	return &table{entries: make(map[Key]entry), released: make(map[Key]releasedEntry), removed: make(map[Key]releasedEntry)}
}

// find returns the quarantine of a request or part, and false if it is in none.
func (t *table) find(now time.Time, key Key) (Quarantine, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	found, ok := t.entries[key]

	return found.Quarantine, ok && !found.isOver(now)
}

// findPart returns the first of the parts that is in quarantine, and false if none is.
func (t *table) findPart(now time.Time, parts []Part, except Key) (Quarantine, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()

	if len(t.entries) == 0 {
		return Quarantine{}, false
	}

	for _, part := range parts {
		if found, ok := t.entries[part.Key]; ok && part.Key != except && !found.isOver(now) {
			return found.Quarantine, true
		}
	}

	return Quarantine{}, false
}

// add adds a quarantine and reports whether the entry is new.
func (t *table) add(now time.Time, added Quarantine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if known, ok := t.entries[added.Key]; ok && known.Since >= added.Since || added.isOver(now) || t.isReleased(&added) {
		return false
	}

	t.entries[added.Key] = entry{Quarantine: added}
	t.dropExcess()

	return true
}

// isReleased reports whether the quarantine was lifted already; t.mu is held.
func (t *table) isReleased(q *Quarantine) bool {
	released, ok := t.released[q.Key]

	return ok && released.since >= q.Since
}

// release lifts a quarantine and reports whether it was in force.
func (t *table) release(now time.Time, lifted Quarantine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	dropOld(now, t.released)

	t.released[lifted.Key] = releasedEntry{since: lifted.Since, at: now}

	known, ok := t.entries[lifted.Key]
	if !ok || known.Since > lifted.Since {
		return false
	}

	delete(t.entries, lifted.Key)

	return true
}

// dropOld drops the entries that need not be remembered any more.
func dropOld(now time.Time, entries map[Key]releasedEntry) {
	maps.DeleteFunc(entries, func(_ Key, r releasedEntry) bool { return now.Sub(r.at) > releaseRetention })
}

// replace takes over the entries that the store lists and returns the new ones. An entry that the store listed before and no longer
// lists is removed, so that operators can lift a quarantine. After a return from an older copy the store may have lost it, or hold it as it
// was before its last trial: then it is kept and stored again. It may also list one that was removed, which then counts as released.
func (t *table) replace(now time.Time, listed []Quarantine, storeReturns int64) []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()

	former, hasReturned := t.entries, storeReturns > t.storeReturns
	t.entries = make(map[Key]entry, len(listed))
	t.storeReturns = storeReturns

	dropOld(now, t.removed)

	if len(t.listedAgain) == 0 {
		dropOld(now, t.released)
	}

	if hasReturned {
		for key, r := range t.removed {
			t.released[key] = releasedEntry{since: max(r.since, t.released[key].since), at: now}
		}
	}

	t.listedAgain = nil

	var added []Quarantine

	for _, q := range listed {
		if t.isReleased(&q) {
			t.listedAgain = append(t.listedAgain, q.Key)

			continue
		}

		known, isKnown := former[q.Key]
		if !isKnown {
			added = append(added, q)
		}

		if known.Since > q.Since && (hasReturned || !known.stored) {
			continue
		}

		t.entries[q.Key] = entry{Quarantine: q, stored: true}
	}

	for key, e := range former {
		_, isListed := t.entries[key]

		switch {
		case isListed:
		case hasReturned || !e.stored:
			e.stored = false
			t.entries[key] = e
		default:
			t.removed[key] = releasedEntry{since: e.Since, at: now}
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
	return t.filter(func(e entry) bool { return !e.stored && !e.isOver(now) })
}

// expired returns the expired and the lifted entries that the store still lists, and drops all other expired ones.
func (t *table) expired(now time.Time) []Key {
	t.mu.Lock()
	maps.DeleteFunc(t.entries, func(_ Key, e entry) bool { return !e.stored && e.isOver(now) })
	t.mu.Unlock()

	t.mu.RLock()
	keys := slices.Clone(t.listedAgain)
	t.mu.RUnlock()

	for _, q := range t.filter(func(e entry) bool { return e.isOver(now) }) {
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
