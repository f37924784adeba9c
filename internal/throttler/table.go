package throttler

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// newsTime is how long a change that this node made is attached to its messages. Other messages about the change may
	// arrive later than a request for an upstream.
	newsTime = 500 * time.Millisecond
	// unlistedTime is how long a limit is kept after its upstream disappeared from the list. The entry may only have expired
	// while the store was away, and return.
	unlistedTime = time.Minute
	// rewriteInterval is the minimum time between two writes of the same limit to the store.
	rewriteInterval = 3 * time.Second
)

// Table holds the limits that a node knows. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[string]*entry
	// stored holds the limits in the store by upstream.
	stored map[string]Limit
	// storeReturns counts the returns of the store from older copies until it listed stored.
	storeReturns int64
	// removedAt maps upstreams in stored to the time at which they were last given to be removed without an entry.
	removedAt map[string]time.Time
	// listed are the listed upstreams.
	listed   Upstreams
	counters Counters
}

// Upstreams tells which upstreams are listed. It must not change.
type Upstreams interface {
	// StartTime returns the start time of a listed upstream, 0 if that is not known, and false if the upstream is not
	// listed.
	StartTime(upstream string) (int64, bool)
}

// StartTimes are upstreams with their start times.
type StartTimes map[string]int64

// StartTime implements Upstreams.
func (s StartTimes) StartTime(upstream string) (int64, bool) {
	born, ok := s[upstream]

	return born, ok
}

// entry is what a node knows about the limit of one upstream.
type entry struct {
	limit Limit
	// heard is set if this node heard the limit from the upstream itself.
	heard bool
	// newsUntil is when the limit stops being news; zero if this node did not change it.
	newsUntil time.Time
	// unlistedAt is when the upstream was first missing from the list; zero while it is listed.
	unlistedAt time.Time
	// writtenAt is when the limit was last given to be written to the store.
	writtenAt time.Time
}

// Counters counts the limits since the start of the node.
type Counters struct {
	// Active is the number of upstreams that name a limit now.
	Active int `json:"active"`
	// Named counts the responses that named a limit, Changed the limits that were new or changed, Ended those that ended.
	Named   int64 `json:"named"`
	Changed int64 `json:"changed"`
	Ended   int64 `json:"ended"`
	// Declined counts the choices of upstreams that were made without regard to their limits, and were not used.
	Declined int64 `json:"declined"`
	// Expired counts the choices that arrived too late to be used.
	Expired int64 `json:"expired"`
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[string]*entry), stored: make(map[string]Limit), removedAt: make(map[string]time.Time), listed: StartTimes{}}
}

// Version returns the version of the limit that is known of an upstream; 0 if none is. A request that is sent now answers
// for all later versions.
func (t *Table) Version(upstream string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	if e, ok := t.entries[upstream]; ok {
		return e.limit.Version
	}

	return 0
}

// Upstreams returns the upstreams of which this node or the store knows a limit.
func (t *Table) Upstreams() []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	upstreams := slices.AppendSeq(slices.Collect(maps.Keys(t.entries)), maps.Keys(t.stored))
	slices.Sort(upstreams)

	return slices.Compact(upstreams)
}

// Get returns the limit of an upstream, or false if none is known. The limit may have ended.
func (t *Table) Get(upstream string) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	e, ok := t.entries[upstream]
	if !ok {
		return Limit{}, false
	}

	return e.limit, true
}

// Observe takes what a response of an upstream says: the rate in requests a second, if it names one. known is the version
// of the limit that this node knew when it sent the request. It returns the limit and whether it changed.
//
// A response to a request that was sent before the current limit was known may be older than that limit. It can lower the
// limit, but neither raise nor end it.
func (t *Table) Observe(now time.Time, upstream string, rate float64, named bool, known int64) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if named {
		rate = max(rate, minRate)
		t.counters.Named++
	} else {
		rate = 0
	}

	e, ok := t.entries[upstream]

	switch {
	case !ok && !named:
		return Limit{}, false
	case !ok:
		e = &entry{}
		t.entries[upstream] = e
	case rate == e.limit.PerSecond:
		e.heard = true

		return e.limit, false
	case known < e.limit.Version && (!named || e.limit.Active() && rate > e.limit.PerSecond):
		return e.limit, false
	}

	if named {
		t.counters.Changed++
	} else {
		t.counters.Ended++
	}

	e.limit = Limit{Upstream: upstream, Born: t.bornLocked(upstream), PerSecond: rate, Version: e.limit.Version + 1}
	e.heard, e.newsUntil, e.writtenAt = true, now.Add(newsTime), time.Time{}

	return e.limit, true
}

// Merge takes a limit that a peer or the store knows, and reports whether it changed the table.
func (t *Table) Merge(limit Limit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.mergeLocked(limit)
}

func (t *Table) mergeLocked(limit Limit) bool {
	if limit.Validate() != nil || limit.isOtherRun(t.bornLocked(limit.Upstream)) {
		return false
	}

	e, ok := t.entries[limit.Upstream]
	if ok && !limit.supersedes(&e.limit) {
		return false
	}

	t.entries[limit.Upstream] = &entry{limit: limit}

	return true
}

// MarkNews attaches the limit of an upstream to this node's next messages, since a peer did not know it.
func (t *Table) MarkNews(now time.Time, upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if e, ok := t.entries[upstream]; ok {
		e.newsUntil = now.Add(newsTime)
	}
}

// News returns the limits that peers may not know yet.
func (t *Table) News(now time.Time) []Limit {
	return t.sorted(func(e *entry) bool { return now.Before(e.newsUntil) })
}

// Heard returns the active limits that this node heard from the upstreams themselves.
func (t *Table) Heard() []Limit {
	return t.sorted(func(e *entry) bool { return e.heard && e.limit.Active() })
}

// Limits returns all limits, also those that ended, by upstream.
func (t *Table) Limits() []Limit {
	return t.sorted(func(*entry) bool { return true })
}

func (t *Table) sorted(include func(*entry) bool) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()

	var limits []Limit

	for _, e := range t.entries {
		if include(e) {
			limits = append(limits, e.limit)
		}
	}

	slices.SortFunc(limits, func(a, b Limit) int { return cmp.Compare(a.Upstream, b.Upstream) })

	return limits
}

// Update takes the listed upstreams and the limits in the store. storeReturns counts the store's returns from older copies: after one, a limit
// that it no longer has may be lost, and is stored again.
func (t *Table) Update(now time.Time, listed Upstreams, stored []Limit, storeReturns int64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	former := t.stored
	if storeReturns > t.storeReturns {
		former, t.storeReturns = nil, storeReturns
	}

	t.listed, t.stored = listed, make(map[string]Limit, len(stored))

	for _, limit := range stored {
		t.stored[limit.Upstream] = limit
		t.mergeLocked(limit)
	}

	maps.DeleteFunc(t.removedAt, func(id string, _ time.Time) bool {
		_, isStored := t.stored[id]

		return !isStored
	})

	for id, e := range t.entries {
		_, isStored := t.stored[id]
		previous, wasStored := former[id]
		born, isListed := listed.StartTime(id)

		switch {
		case e.limit.isOtherRun(born), !isListed && !e.unlistedAt.IsZero() && now.Sub(e.unlistedAt) > unlistedTime:
			delete(t.entries, id)
		case wasStored && !isStored && e.limit.Active() && e.limit.Version <= previous.Version:
			// The node that removed it from the store knows that it ended.
			e.limit.PerSecond = 0
			e.limit.Version++
		case isListed:
			e.unlistedAt = time.Time{}
		case e.unlistedAt.IsZero():
			e.unlistedAt = now
		}
	}
}

// Unstored returns the limits that the store lacks or has in an older version, and the upstreams whose limits it should no
// longer have. include selects the upstreams for which this node writes to the store. A limit is returned once per
// rewriteInterval until the store has it.
func (t *Table) Unstored(now time.Time, include func(upstream string) bool) (put []Limit, remove []string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for id, e := range t.entries {
		stored, isStored := t.stored[id]
		if !include(id) || now.Sub(e.writtenAt) < rewriteInterval {
			continue
		}

		switch {
		case e.limit.Active() && (!isStored || e.limit.supersedes(&stored)):
			put = append(put, e.limit)
		case !e.limit.Active() && isStored:
			remove = append(remove, id)
		default:
			continue
		}

		e.writtenAt = now
	}

	for id, stored := range t.stored {
		_, known := t.entries[id]
		// The upstream is gone or runs anew, so its entry was dropped.
		isGone := !known && (stored.isOtherRun(t.bornLocked(id)) || t.isUnlistedLocked(id))
		if isGone && include(id) && now.Sub(t.removedAt[id]) >= rewriteInterval {
			t.removedAt[id] = now
			remove = append(remove, id)
		}
	}

	slices.SortFunc(put, func(a, b Limit) int { return cmp.Compare(a.Upstream, b.Upstream) })
	slices.Sort(remove)

	return put, remove
}

func (t *Table) isUnlistedLocked(id string) bool {
	_, ok := t.listed.StartTime(id)

	return !ok
}

// bornLocked returns the start time of an upstream, 0 if it is not known.
func (t *Table) bornLocked(upstream string) int64 {
	born, _ := t.listed.StartTime(upstream)

	return born
}

// CountDeclined counts a choice that was not used, since it was made without regard to the upstream's limit.
func (t *Table) CountDeclined() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.counters.Declined++
}

// CountExpired counts a choice that arrived too late to be used.
func (t *Table) CountExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.counters.Expired++
}

// Counters returns the counters.
func (t *Table) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()

	counters := t.counters

	for _, e := range t.entries {
		if e.limit.Active() {
			counters.Active++
		}
	}

	return counters
}
