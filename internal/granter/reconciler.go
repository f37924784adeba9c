package granter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/scheduler"
)

// entryTimeoutResends is the number of ResendIntervals without a message from an entry
// after which it counts as gone, even if the list of live nodes still contains it.
//
// A waiting entry sends its request again each ResendInterval, and the answer repeats a
// grant whose decision was lost. If the entry were removed earlier, the grant would be
// made anew and lost again for as long as messages can't reach the entry, and its caller
// would get neither an answer nor a refusal although servers are idle. With two
// intervals, one of two requests may be lost as well.
const entryTimeoutResends = 2

// rebuildIfStale starts a rebuild if this node has just become the pool's holder, or
// if it serves the pool in another node's place and had no slot request for some time:
// other nodes may have granted slots meanwhile.
func (h *Holder) rebuildIfStale(p *heldPool) {
	live := h.members.Live()
	isHolder := h.placement.holder(live, p.name) == h.options.Node
	now := time.Now()

	p.mu.Lock()
	stale := (isHolder && !p.isHolder) || (!isHolder && now.Sub(p.lastRequestAt) > nonHolderStaleAfter)
	p.isHolder = isHolder
	p.lastRequestAt = now

	if stale {
		p.schedule.resetAll()
	}

	p.mu.Unlock()

	if !stale {
		return
	}

	h.apply(p, func(now time.Time, pool *scheduler.Pool) []scheduler.Decision {
		return pool.Rebuild(now, live)
	})

	// This node's own attempts are reconciled before the first grant; that needs no message.
	if slices.Contains(live, h.options.Node) {
		h.compareEntry(p, h.options.Node, now)
	}

	go h.compareEntries(p, live, now)
}

// reconcileLoop compares the pool's grants with its entries until the pool is idle and held by another node.
func (h *Holder) reconcileLoop(p *heldPool) {
	ticker := time.NewTicker(h.options.ReconcileInterval)
	defer ticker.Stop()

	for {
		var now time.Time

		select {
		case now = <-ticker.C:
		case <-h.ctx.Done():
			return
		}

		h.refreshSettings(p)
		h.logWithheld(p)

		entries := h.entriesOf(p)
		h.compareEntries(p, h.dueEntries(p, entries, now), now)

		if len(entries) == 0 && h.closeIfIdle(p) {
			return
		}
	}
}

func (h *Holder) entriesOf(p *heldPool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.pool.Entries()
}

// dueEntries returns the entries to compare in the round that starts at now. It always
// includes this node, which needs no message, and entries that are no longer live,
// for which there is nothing to wait for.
func (h *Holder) dueEntries(p *heldPool, entries []string, now time.Time) []string {
	live := h.members.Live()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.schedule.retain(entries)
	maps.DeleteFunc(p.lastHeardAt, func(entry string, _ time.Time) bool { return !slices.Contains(entries, entry) })

	return slices.DeleteFunc(slices.Clone(entries), func(entry string) bool {
		return !p.schedule.due(now, entry) && entry != h.options.Node && slices.Contains(live, entry)
	})
}

// compareSoon makes the entry due in the next two rounds.
func (p *heldPool) compareSoon(entry string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.schedule.reset(entry)
}

// closeIfIdle removes an idle pool that another node holds, and reports whether it did.
func (h *Holder) closeIfIdle(p *heldPool) bool {
	isHolder := h.placement.holder(h.members.Live(), p.name) == h.options.Node

	h.mu.Lock()
	defer h.mu.Unlock()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.isHolder = p.isHolder && isHolder
	if isHolder || time.Since(p.lastRequestAt) < idlePoolTimeout || len(p.pool.Entries()) > 0 {
		return false
	}

	p.timer.Stop()
	delete(h.pools, p.name)

	return true
}

// compareEntries compares the pool's grants with all given entries concurrently; roundStart is the start of the round.
func (h *Holder) compareEntries(p *heldPool, entries []string, roundStart time.Time) {
	var group sync.WaitGroup

	for _, entry := range entries {
		group.Go(func() { h.compareEntry(p, entry, roundStart) })
	}

	group.Wait()
}

// compareEntry compares the pool's grants with the attempts that one entry has in
// flight. The entry lists its attempts only if they differ from the grants that the
// holder knew when it sent the query: nearly all comparisons match, and the lists
// grow with the number of attempts in flight.
func (h *Holder) compareEntry(p *heldPool, entry string, roundStart time.Time) {
	known := h.grantIDsOf(p, entry)

	result, err := h.fetchAttempts(entry, p.name, known)
	if err != nil {
		h.comparisonFailed(p, entry)

		return
	}

	h.apply(p, func(now time.Time, pool *scheduler.Pool) []scheduler.Decision {
		p.lastHeardAt[entry] = now

		if result.Same {
			p.schedule.recordMatch(roundStart, entry)

			return pool.ReconcileIDs(now, entry, known)
		}

		p.schedule.reset(entry)

		return pool.Reconcile(now, entry, result.schedulerInFlight(now, entry))
	})
}

func (h *Holder) grantIDsOf(p *heldPool, entry string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.pool.GrantIDs(entry)
}

func (h *Holder) fetchAttempts(entry, pool string, known []string) (inFlightResult, error) {
	if entry == h.options.Node {
		if h.router == nil {
			return inFlightResult{}, nil
		}

		return h.router.attemptsOn(pool), nil
	}

	ctx, cancel := context.WithTimeout(h.ctx, h.options.ReconcileInterval)
	defer cancel()

	params := inFlightParams{Pool: pool}
	for _, id := range known {
		params.add(id)
	}

	var result inFlightResult

	err := h.caller.Call(ctx, entry, MethodInFlight, params, &result)

	return result, err
}

// comparisonFailed handles an entry that didn't answer, and removes it if it is gone.
func (h *Holder) comparisonFailed(p *heldPool, entry string) {
	if h.ctx.Err() != nil {
		return
	}

	gone := !slices.Contains(h.members.Live(), entry)

	h.apply(p, func(now time.Time, pool *scheduler.Pool) []scheduler.Decision {
		p.schedule.reset(entry)

		if _, known := p.lastHeardAt[entry]; !known {
			p.lastHeardAt[entry] = now
		}

		if !gone && now.Sub(p.lastHeardAt[entry]) < entryTimeoutResends*h.options.ResendInterval {
			return nil
		}

		delete(p.lastHeardAt, entry)

		h.options.Logger.Warn().
			Str("pool", p.name).
			Str("entry", entry).
			Bool("live", !gone).
			Int("grants", len(pool.GrantIDs(entry))).
			Msg("entry_forgotten")

		return pool.RemoveEntry(now, entry)
	})
}

func (r inFlightResult) schedulerInFlight(now time.Time, entry string) []scheduler.InFlight {
	inFlight := make([]scheduler.InFlight, len(r.Attempts))

	for i, a := range r.Attempts {
		inFlight[i] = scheduler.InFlight{
			GrantID:      a.GrantID,
			RequestID:    a.ID,
			Entry:        entry,
			Upstream:     a.Upstream,
			Class:        a.Class,
			Organisation: a.Organisation,
			StartedAt:    now.Add(-a.Age),

			NotRepeatable: a.NotRepeatable,
		}
	}

	return inFlight
}
