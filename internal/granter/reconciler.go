package granter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/scheduler"
)

// asksToForget times ResendInterval is how long an entry may give no sign of life until it
// counts as gone, even while the list of live nodes still names it.
//
// An entry that waits asks again each ResendInterval, and gets then what it was granted
// meanwhile, if the decision was lost. Forgotten before, the grant would be made anew,
// be lost as well, and so on for as long as the way to the entry is cut: its caller would get neither
// an answer nor a refusal beside idle servers. One ask of two may be lost too.
const asksToForget = 2

// claim begins a rebuild when this node has just become the pool's holder, or
// serves it in another's place after a time without asks: meanwhile others may have granted.
func (h *Holder) claim(p *heldPool) {
	live := h.members.Live()
	mine := h.placement.holder(live, p.name) == h.options.Node
	now := time.Now()

	p.mu.Lock()
	lost := (mine && !p.mine) || (!mine && now.Sub(p.lastAsk) > staleAfter)
	p.mine = mine
	p.lastAsk = now

	if lost {
		p.pacer.hurryAll()
	}

	p.mu.Unlock()

	if !lost {
		return
	}

	h.drive(p, func(now time.Time, pool *scheduler.Pool) []scheduler.Decision {
		return pool.Rebuild(now, live)
	})

	// What this node itself runs is known at once, before the first grant.
	if slices.Contains(live, h.options.Node) {
		h.compareOne(p, h.options.Node, now)
	}

	go h.compare(p, live, now)
}

// reconcile compares the pool's grants with its entries until the pool is idle and not held here.
func (h *Holder) reconcile(p *heldPool) {
	ticker := time.NewTicker(h.options.ReconcileInterval)
	defer ticker.Stop()

	for {
		var now time.Time

		select {
		case now = <-ticker.C:
		case <-h.ctx.Done():
			return
		}

		h.refresh(p)
		h.logWithheld(p)

		entries := h.entriesOf(p)
		h.compare(p, h.dueOf(p, entries, now), now)

		if len(entries) == 0 && h.retire(p) {
			return
		}
	}
}

func (h *Holder) entriesOf(p *heldPool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.pool.Entries()
}

// dueOf returns those of the pool's entries that the round of this time
// compares. This node itself costs no message, and of an entry that is no longer
// live nothing is to be waited for.
func (h *Holder) dueOf(p *heldPool, entries []string, now time.Time) []string {
	live := h.members.Live()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.pacer.keep(entries)
	maps.DeleteFunc(p.heardAt, func(entry string, _ time.Time) bool { return !slices.Contains(entries, entry) })

	return slices.DeleteFunc(slices.Clone(entries), func(entry string) bool {
		return !p.pacer.due(now, entry) && entry != h.options.Node && slices.Contains(live, entry)
	})
}

// hurry has the entry compared in the next two rounds.
func (p *heldPool) hurry(entry string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.pacer.hurry(entry)
}

// retire drops an idle pool that another node holds, and says whether it did.
func (h *Holder) retire(p *heldPool) bool {
	mine := h.placement.holder(h.members.Live(), p.name) == h.options.Node

	h.mu.Lock()
	defer h.mu.Unlock()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.mine = p.mine && mine
	if mine || time.Since(p.lastAsk) < idlePoolFor || len(p.pool.Entries()) > 0 {
		return false
	}

	p.timer.Stop()
	delete(h.pools, p.name)

	return true
}

// compare asks the entries at the same time what they have in flight; round is when that began.
func (h *Holder) compare(p *heldPool, entries []string, round time.Time) {
	var group sync.WaitGroup

	for _, entry := range entries {
		group.Go(func() { h.compareOne(p, entry, round) })
	}

	group.Wait()
}

// compareOne compares the pool's grants with what one entry has in flight. The
// entry lists it only if it differs from what the holder knew when it asked: in
// nearly all comparisons nothing differs, and the lists grow with what is in flight.
func (h *Holder) compareOne(p *heldPool, entry string, round time.Time) {
	known := h.grantsOf(p, entry)

	result, err := h.flightsOf(entry, p.name, known)
	if err != nil {
		h.missed(p, entry)

		return
	}

	h.drive(p, func(now time.Time, pool *scheduler.Pool) []scheduler.Decision {
		p.heardAt[entry] = now

		if result.Same {
			p.pacer.agreed(round, entry)

			return pool.ReconcileIDs(now, entry, known)
		}

		p.pacer.hurry(entry)

		return pool.Reconcile(now, entry, result.inFlight(now, entry))
	})
}

func (h *Holder) grantsOf(p *heldPool, entry string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.pool.GrantIDs(entry)
}

func (h *Holder) flightsOf(entry, pool string, known []string) (inFlightResult, error) {
	if entry == h.options.Node {
		if h.entry == nil {
			return inFlightResult{}, nil
		}

		return h.entry.inFlight(pool), nil
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

// missed notes that an entry didn't answer, and forgets it when it is gone.
func (h *Holder) missed(p *heldPool, entry string) {
	if h.ctx.Err() != nil {
		return
	}

	gone := !slices.Contains(h.members.Live(), entry)

	h.drive(p, func(now time.Time, pool *scheduler.Pool) []scheduler.Decision {
		p.pacer.hurry(entry)

		if _, known := p.heardAt[entry]; !known {
			p.heardAt[entry] = now
		}

		if !gone && now.Sub(p.heardAt[entry]) < asksToForget*h.options.ResendInterval {
			return nil
		}

		delete(p.heardAt, entry)

		h.options.Logger.Warn().
			Str("pool", p.name).
			Str("entry", entry).
			Bool("live", !gone).
			Int("grants", len(pool.GrantIDs(entry))).
			Msg("entry_forgotten")

		return pool.RemoveEntry(now, entry)
	})
}

func (r inFlightResult) inFlight(now time.Time, entry string) []scheduler.InFlight {
	flights := make([]scheduler.InFlight, len(r.Flights))

	for i, f := range r.Flights {
		flights[i] = scheduler.InFlight{
			GrantID:      f.GrantID,
			RequestID:    f.ID,
			Entry:        entry,
			Upstream:     f.Upstream,
			Class:        f.Class,
			Organisation: f.Organisation,
			StartedAt:    now.Add(-f.Age),

			NotRepeatable: f.NotRepeatable,
		}
	}

	return flights
}
