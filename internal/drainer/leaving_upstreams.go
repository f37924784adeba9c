package drainer

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Source is the source of a leaving mark.
type Source int

const (
	// SourceSettings is the settings tree.
	SourceSettings Source = iota
	// SourceList is the platform's list of VMs.
	SourceList
	// SourceReport is the upstream's own load report.
	SourceReport
	sourceCount
)

// LeavingUpstreams merges the leaving marks of upstreams from all sources. It is safe for concurrent use.
//
// An upstream gets no new requests while any source marks it. The marks of a source that becomes unavailable are kept: an outage of
// the platform must not send requests to a server that is going away. A mark takes effect immediately, so the delay until
// an upstream gets no new requests depends only on its source: the poll interval of load reports, the time until a settings
// change is in force, or the lag of the list, whichever is shortest. An upstream is promised no new requests 2 s after it starts
// to leave. The poll interval may therefore be at most 1.5 s, because a slot may already have been granted when a report arrives.
type LeavingUpstreams struct {
	mu     sync.RWMutex
	marked [sourceCount]map[string]bool
	// since is the time of the earliest mark since the upstream was last unmarked.
	since map[string]time.Time
}

// NewLeavingUpstreams returns a LeavingUpstreams without marks.
func NewLeavingUpstreams() *LeavingUpstreams {
	u := &LeavingUpstreams{since: make(map[string]time.Time)}
	for i := range u.marked {
		u.marked[i] = make(map[string]bool)
	}

	return u
}

// Mark sets or clears one source's mark of an upstream, and reports whether the mark changed.
func (u *LeavingUpstreams) Mark(now time.Time, source Source, upstream string, leaving bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.markLocked(now, source, upstream, leaving)
}

// Replace replaces all marks of a source. It reports whether any mark changed.
func (u *LeavingUpstreams) Replace(now time.Time, source Source, upstreams []string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	changed := false

	for name := range u.marked[source] {
		if !slices.Contains(upstreams, name) {
			changed = u.markLocked(now, source, name, false) || changed
		}
	}

	for _, name := range upstreams {
		changed = u.markLocked(now, source, name, true) || changed
	}

	return changed
}

// Marked returns the upstreams that a source marks, in no particular order.
func (u *LeavingUpstreams) Marked(source Source) []string {
	u.mu.RLock()
	defer u.mu.RUnlock()

	return slices.Collect(maps.Keys(u.marked[source]))
}

func (u *LeavingUpstreams) markLocked(now time.Time, source Source, upstream string, leaving bool) bool {
	if u.marked[source][upstream] == leaving {
		return false
	}

	if leaving {
		u.marked[source][upstream] = true

		if _, ok := u.since[upstream]; !ok {
			u.since[upstream] = now
		}

		return true
	}

	delete(u.marked[source], upstream)

	if !u.isMarkedLocked(upstream) {
		delete(u.since, upstream)
	}

	return true
}

func (u *LeavingUpstreams) isMarkedLocked(upstream string) bool {
	for _, marks := range u.marked {
		if marks[upstream] {
			return true
		}
	}

	return false
}

// Leaving reports whether any source marks the upstream, and since when.
func (u *LeavingUpstreams) Leaving(upstream string) (since time.Time, leaving bool) {
	u.mu.RLock()
	defer u.mu.RUnlock()

	since, leaving = u.since[upstream]

	return since, leaving
}
