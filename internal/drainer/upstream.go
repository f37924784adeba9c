package drainer

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Source says where a leaving mark came from.
type Source int

const (
	// SourceSettings is the settings tree.
	SourceSettings Source = iota
	// SourceList is the platform's list of VMs.
	SourceList
	// SourceReport is the upstream's own load report.
	SourceReport
	sources
)

// LeavingUpstreams merges the leaving marks of upstreams. It is safe for concurrent use.
//
// An upstream gets no new work while any source marks it. A source that falls
// silent keeps its last word: an outage of the platform must not send work back
// to a server that is going away. The mark holds from the call on, so the time
// until an upstream gets nothing new is that of its source alone: the poll of
// load reports (more than 1.5 s would break the promise of nothing new within
// 2 s, for a slot may be on its way), the time until a settings change is in
// force, or the lag of the list, whichever comes first.
type LeavingUpstreams struct {
	mu     sync.RWMutex
	marked [sources]map[string]bool
	// since is when the first of the present marks came.
	since map[string]time.Time
}

// NewLeavingUpstreams returns a tracker without marks.
func NewLeavingUpstreams() *LeavingUpstreams {
	u := &LeavingUpstreams{since: make(map[string]time.Time)}
	for i := range u.marked {
		u.marked[i] = make(map[string]bool)
	}

	return u
}

// Mark takes in what one source says about one upstream, and reports whether that is news.
func (u *LeavingUpstreams) Mark(now time.Time, source Source, upstream string, leaving bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.mark(now, source, upstream, leaving)
}

// Replace takes in all leaving upstreams that a source names; others lose this
// source's mark. It reports whether any mark changed.
func (u *LeavingUpstreams) Replace(now time.Time, source Source, upstreams []string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	changed := false

	for name := range u.marked[source] {
		if !slices.Contains(upstreams, name) {
			changed = u.mark(now, source, name, false) || changed
		}
	}

	for _, name := range upstreams {
		changed = u.mark(now, source, name, true) || changed
	}

	return changed
}

// Marked returns the upstreams that a source marks, in no order.
func (u *LeavingUpstreams) Marked(source Source) []string {
	u.mu.RLock()
	defer u.mu.RUnlock()

	return slices.Collect(maps.Keys(u.marked[source]))
}

func (u *LeavingUpstreams) mark(now time.Time, source Source, upstream string, leaving bool) bool {
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

	if !u.anyMark(upstream) {
		delete(u.since, upstream)
	}

	return true
}

func (u *LeavingUpstreams) anyMark(upstream string) bool {
	for _, marks := range u.marked {
		if marks[upstream] {
			return true
		}
	}

	return false
}

// Leaving says whether the upstream gets no new work, and since when.
func (u *LeavingUpstreams) Leaving(upstream string) (since time.Time, leaving bool) {
	u.mu.RLock()
	defer u.mu.RUnlock()

	since, leaving = u.since[upstream]

	return since, leaving
}
