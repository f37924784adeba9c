package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// missesToFree is the number of reports of an entry, one after the other,
	// without a grant after which the grant is free. One may have crossed with the grant.
	missesToFree = 2
	// youngGrant is the age below which a missing grant may still be on its way.
	youngGrant = 300 * time.Millisecond
	// rememberedIDs bounds the memory of ended grants.
	rememberedIDs = 4096
)

// rebuild is the time after a takeover in which grants of the last holder may be unknown.
type rebuild struct {
	active bool
	// until is zero when not active.
	until time.Time
	// missing holds the entries that have not answered; it stays after the end, for who asks why it took so long.
	missing map[string]bool
}

func (r *rebuild) check(now time.Time) {
	if r.active && (len(r.missing) == 0 || !now.Before(r.until)) {
		*r = rebuild{missing: r.missing}
	}
}

// Rebuild starts the takeover of a pool whose grants are unknown, until each of
// the entries has answered through Reconcile or Options.RebuildTimeout has passed.
//
// Meanwhile tier 1 is granted at once and the engine's priority has to do;
// lower tiers use RebuildShare of each server. So capacity counted twice or
// not at all hurts for RebuildTimeout at most.
func (p *Pool) Rebuild(now time.Time, entries []string) []Decision {
	p.begin(now)

	p.rebuild = rebuild{active: true, until: now.Add(p.options.RebuildTimeout), missing: make(map[string]bool)}
	for _, entry := range entries {
		p.rebuild.missing[entry] = true
	}

	p.rebuild.check(now)
	p.settle(now)

	return p.decisions
}

// Rebuilding says whether a takeover is under way.
func (p *Pool) Rebuilding() bool {
	return p.rebuild.active
}

// Unanswered names the entries that the present takeover waits for, or that the last one ended without.
func (p *Pool) Unanswered() []string {
	return slices.Sorted(maps.Keys(p.rebuild.missing))
}

// Reconcile compares what an entry has in flight with the grants of the pool. Unknown
// ones are taken over; grants that the entry doesn't know twice running are freed.
func (p *Pool) Reconcile(now time.Time, entry string, flights []InFlight) []Decision {
	p.begin(now)

	named := make(map[string]bool, len(flights))

	for i := range flights {
		named[flights[i].GrantID] = true
		p.adopt(now, entry, &flights[i])
	}

	return p.reconcileAll(now, entry, named)
}

// ReconcileIDs is Reconcile for an entry that has in flight exactly the grants with the
// given ids, all of which the pool knew.
func (p *Pool) ReconcileIDs(now time.Time, entry string, ids []string) []Decision {
	p.begin(now)

	named := make(map[string]bool, len(ids))
	for _, id := range ids {
		named[id] = true
	}

	return p.reconcileAll(now, entry, named)
}

// GrantIDs lists the ids of the grants of an entry, oldest first.
func (p *Pool) GrantIDs(entry string) []string {
	grants := p.grantsOf(entry)
	ids := make([]string, len(grants))

	for i, g := range grants {
		ids[i] = g.id
	}

	return ids
}

// reconcileAll ends a comparison with what an entry has in flight: named holds the ids of its grants.
func (p *Pool) reconcileAll(now time.Time, entry string, named map[string]bool) []Decision {
	for _, g := range p.grantsOf(entry) {
		p.reconcile(now, g, named[g.id])
	}

	delete(p.rebuild.missing, entry)
	p.rebuild.check(now)
	p.settle(now)

	return p.decisions
}

func (p *Pool) adopt(now time.Time, entry string, flight *InFlight) {
	c, s := p.byClass[flight.Class], p.server(flight.Upstream)
	if c == nil || s == nil || p.grants[flight.GrantID] != nil || p.finished.has(flight.GrantID) {
		return
	}

	if w := p.waiting[flight.RequestID]; w != nil {
		p.drop(w)
		p.counters.cancelled++
	}

	p.order++

	request := Request{ID: flight.RequestID, Entry: entry, Class: flight.Class, Organisation: flight.Organisation}
	request.NotRepeatable = flight.NotRepeatable

	g := &grant{
		id:      flight.GrantID,
		request: request,
		class:   c,
		server:  s,
		order:   p.order,
		granted: flight.StartedAt,
		cost:    c.cost,
		lower:   c.settings.Tier > topTier,
		exposed: p.exposed(&request, c),
	}

	// An adopted grant is not in holding: a late cancel of the same ask at this
	// holder must not free what runs by another's grant.
	g.server.add(now, g, p.classes)
	p.grants[g.id] = g
}

func (p *Pool) reconcile(now time.Time, g *grant, named bool) {
	if named || now.Sub(g.granted) < youngGrant {
		g.misses = 0

		return
	}

	g.misses++

	if g.misses >= missesToFree {
		p.counters.reclaimed++
		p.free(now, g)
	}
}

// grantsOf lists the grants of an entry, oldest first.
func (p *Pool) grantsOf(entry string) []*grant {
	var found []*grant

	for _, g := range p.grants {
		if g.request.Entry == entry {
			found = append(found, g)
		}
	}

	slices.SortFunc(found, func(a, b *grant) int { return cmp.Compare(a.order, b.order) })

	return found
}

// RemoveEntry frees the grants and drops the waiting requests of an entry that is gone.
func (p *Pool) RemoveEntry(now time.Time, entry string) []Decision {
	p.begin(now)

	for _, g := range p.grantsOf(entry) {
		p.counters.reclaimed++
		p.free(now, g)
	}

	for _, w := range p.waiting {
		if w.request.Entry == entry {
			p.drop(w)
			p.counters.cancelled++
		}
	}

	delete(p.rebuild.missing, entry)
	p.rebuild.check(now)
	p.settle(now)

	return p.decisions
}

// idMemory remembers the latest ids that were added.
type idMemory struct {
	ids *simplelru.LRU[string, struct{}]
}

func newIDMemory() *idMemory {
	// The only error is a size below 1.
	ids, _ := simplelru.NewLRU[string, struct{}](rememberedIDs, nil)

	return &idMemory{ids: ids}
}

func (m *idMemory) add(id string) {
	m.ids.Add(id, struct{}{})
}

func (m *idMemory) has(id string) bool {
	return m.ids.Contains(id)
}

// Entries lists the nodes that hold grants or wait, in name order.
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
