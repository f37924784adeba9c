package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// missingReportsToFree is the number of consecutive reports of an entry without a grant after which
	// the grant is freed. A single report may have crossed with the grant.
	missingReportsToFree = 2
	// minMissingGrantAge is the age below which a missing grant may still be on its way to the entry.
	minMissingGrantAge = 300 * time.Millisecond
	// maxRecentIDs bounds the number of remembered ended grants.
	maxRecentIDs = 4096
)

// rebuild is the phase after a takeover in which grants of the previous holder may be unknown.
type rebuild struct {
	active bool
	// until is zero when not active.
	until time.Time
	// unansweredEntries holds the entries that have not answered. It is kept after the end of the phase to
	// explain its length.
	unansweredEntries map[string]bool
}

func (r *rebuild) endIfDone(now time.Time) {
	if r.active && (len(r.unansweredEntries) == 0 || !now.Before(r.until)) {
		*r = rebuild{unansweredEntries: r.unansweredEntries}
	}
}

// Rebuild starts the takeover of a pool whose grants are unknown. It lasts until each of the entries
// has answered through Reconcile or ReconcileIDs, or Options.RebuildTimeout has passed.
//
// Meanwhile tier 1 is granted at once and relies on the engine's priority; lower tiers use
// RebuildShare of each server. This limits the harm of capacity that is counted twice or not at all to
// RebuildTimeout.
func (p *Pool) Rebuild(now time.Time, entries []string) []Decision {
	p.startCall(now)

	p.rebuild = rebuild{active: true, until: now.Add(p.options.RebuildTimeout), unansweredEntries: make(map[string]bool)}
	for _, entry := range entries {
		p.rebuild.unansweredEntries[entry] = true
	}

	p.rebuild.endIfDone(now)
	p.grantAndRunTimers(now)

	return p.decisions
}

// Rebuilding reports whether a takeover is in progress.
func (p *Pool) Rebuilding() bool {
	return p.rebuild.active
}

// Unanswered returns the entries that the current takeover is waiting for, or that had not answered
// when the last one ended.
func (p *Pool) Unanswered() []string {
	return slices.Sorted(maps.Keys(p.rebuild.unansweredEntries))
}

// Reconcile compares the attempts that an entry has in flight with the grants of the pool. Unknown
// attempts are adopted; grants missing from two consecutive reports are freed.
func (p *Pool) Reconcile(now time.Time, entry string, flights []InFlight) []Decision {
	p.startCall(now)

	named := make(map[string]bool, len(flights))

	for i := range flights {
		named[flights[i].GrantID] = true
		p.adoptGrant(now, entry, &flights[i])
	}

	return p.finishReconcile(now, entry, named)
}

// ReconcileIDs is Reconcile for an entry that has in flight exactly the grants with the given IDs, all
// of which the pool knows.
func (p *Pool) ReconcileIDs(now time.Time, entry string, ids []string) []Decision {
	p.startCall(now)

	named := make(map[string]bool, len(ids))
	for _, id := range ids {
		named[id] = true
	}

	return p.finishReconcile(now, entry, named)
}

// GrantIDs returns the IDs of the grants of an entry, oldest first.
func (p *Pool) GrantIDs(entry string) []string {
	grants := p.grantsOf(entry)
	ids := make([]string, len(grants))

	for i, g := range grants {
		ids[i] = g.id
	}

	return ids
}

// finishReconcile completes the comparison with an entry's report; named holds the grant IDs in it.
func (p *Pool) finishReconcile(now time.Time, entry string, named map[string]bool) []Decision {
	for _, g := range p.grantsOf(entry) {
		p.checkGrant(now, g, named[g.id])
	}

	delete(p.rebuild.unansweredEntries, entry)
	p.rebuild.endIfDone(now)
	p.grantAndRunTimers(now)

	return p.decisions
}

func (p *Pool) adoptGrant(now time.Time, entry string, flight *InFlight) {
	c, s := p.byClass[flight.Class], p.server(flight.Upstream)
	if c == nil || s == nil || p.grants[flight.GrantID] != nil || p.endedGrants.has(flight.GrantID) {
		return
	}

	if w := p.waiting[flight.RequestID]; w != nil {
		p.removeWaiter(w)
		p.counters.cancelled++
	}

	p.sequence++

	request := Request{ID: flight.RequestID, Entry: entry, Class: flight.Class, Organisation: flight.Organisation}
	request.NotRepeatable = flight.NotRepeatable

	g := &grant{
		id:               flight.GrantID,
		request:          request,
		class:            c,
		server:           s,
		sequence:         p.sequence,
		grantedAt:        flight.StartedAt,
		cost:             c.cost,
		belowHighestTier: c.settings.Tier > highestTier,
		countsInExposure: p.isExposed(&request, c),
	}

	// An adopted grant is not in grantByRequest: a late cancel of the same request at this holder must not
	// free an attempt that runs under another holder's grant.
	g.server.add(now, g, p.classes)
	p.grants[g.id] = g
}

func (p *Pool) checkGrant(now time.Time, g *grant, named bool) {
	if named || now.Sub(g.grantedAt) < minMissingGrantAge {
		g.missingReports = 0

		return
	}

	g.missingReports++

	if g.missingReports >= missingReportsToFree {
		p.counters.reclaimed++
		p.releaseGrant(now, g)
	}
}

// grantsOf returns the grants of an entry, oldest first.
func (p *Pool) grantsOf(entry string) []*grant {
	var found []*grant

	for _, g := range p.grants {
		if g.request.Entry == entry {
			found = append(found, g)
		}
	}

	slices.SortFunc(found, func(a, b *grant) int { return cmp.Compare(a.sequence, b.sequence) })

	return found
}

// RemoveEntry frees the grants and drops the waiting requests of an entry that is gone.
func (p *Pool) RemoveEntry(now time.Time, entry string) []Decision {
	p.startCall(now)

	for _, g := range p.grantsOf(entry) {
		p.counters.reclaimed++
		p.releaseGrant(now, g)
	}

	for _, w := range p.waiting {
		if w.request.Entry == entry {
			p.removeWaiter(w)
			p.counters.cancelled++
		}
	}

	delete(p.rebuild.unansweredEntries, entry)
	p.rebuild.endIfDone(now)
	p.grantAndRunTimers(now)

	return p.decisions
}

// recentIDs remembers the most recently added IDs.
type recentIDs struct {
	ids *simplelru.LRU[string, struct{}]
}

func newRecentIDs() *recentIDs {
	// The only possible error is a size below 1.
	ids, _ := simplelru.NewLRU[string, struct{}](maxRecentIDs, nil)

	return &recentIDs{ids: ids}
}

func (m *recentIDs) add(id string) {
	m.ids.Add(id, struct{}{})
}

func (m *recentIDs) has(id string) bool {
	return m.ids.Contains(id)
}

// Entries returns the nodes that hold grants or have waiting requests, in name order.
func (p *Pool) Entries() []string {
	entries := make(map[string]bool)

	for _, g := range p.grants {
		entries[g.request.Entry] = true
	}

	for _, w := range p.waiting {
		entries[w.request.Entry] = true
	}

	return slices.Sorted(maps.Keys(entries))
}
