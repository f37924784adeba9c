package granter

import (
	"time"

	"github.com/rs/zerolog"
)

// loggedNames bounds the names in one line; a large fleet that is cut in two would fill kilobytes with them.
const loggedNames = 8

// logRebuild logs the begin of a rebuild and its end, with the entries that it ended
// without. Rebuilds that overlap have one line each for all: many nodes can doubt a
// holder at once, and each doubt begins another. The caller holds p.mu.
func (h *Holder) logRebuild(p *heldPool) {
	rebuilding := p.pool.Rebuilding()

	switch {
	case rebuilding && p.rebuildBegan.IsZero():
		p.rebuildBegan = time.Now()

		h.options.Logger.Info().
			Str("pool", p.name).
			Bool("is_holder", p.mine).
			Int("entries", len(p.pool.Unanswered())).
			Msg("pool_rebuild_began")
	case !rebuilding && !p.rebuildBegan.IsZero():
		addUnanswered(h.options.Logger.Info(), p).
			Str("pool", p.name).
			Dur("duration_ms", time.Since(p.rebuildBegan)).
			Msg("pool_rebuild_ended")

		p.rebuildBegan = time.Time{}
	}
}

// logWithheld logs what keeps a pool from granting while requests wait beside
// free slots: with the requests' own lines it tells a full pool from one whose
// grants are held back or don't arrive. It is called once each round of comparisons.
func (h *Holder) logWithheld(p *heldPool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	room := p.pool.Capacity()
	if room.Waiting == 0 || room.Free <= 0 {
		return
	}

	line := h.options.Logger.Info()
	if p.pool.Rebuilding() {
		line = addUnanswered(line, p)
	}

	line.Str("pool", p.name).
		Int("waiting", room.Waiting).
		Int("free", room.Free).
		Int("free_for_lower_tiers", room.FreeForLower).
		Msg("slots_withheld")
}

// addUnanswered adds the entries that a rebuild waits for, or ended without. The caller holds p.mu.
func addUnanswered(line *zerolog.Event, p *heldPool) *zerolog.Event {
	names := p.pool.Unanswered()

	return line.Int("unanswered_count", len(names)).Strs("unanswered", names[:min(len(names), loggedNames)])
}
