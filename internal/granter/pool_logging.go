package granter

import (
	"time"

	"github.com/rs/zerolog"
)

// maxLoggedNames bounds the node names in one log line; a network partition of a large fleet would fill kilobytes with them.
const maxLoggedNames = 8

// logRebuild logs the start and the end of a rebuild, the end with the entries that
// didn't answer. Overlapping rebuilds share one start line and one end line: many
// nodes can probe an unresponsive holder at once, and each probe leads to another
// rebuild. The caller holds p.mu.
func (h *Holder) logRebuild(p *heldPool) {
	rebuilding := p.pool.Rebuilding()

	switch {
	case rebuilding && p.rebuildStartedAt.IsZero():
		p.rebuildStartedAt = time.Now()

		h.options.Logger.Info().
			Str("pool", p.name).
			Bool("is_holder", p.isHolder).
			Int("entries", len(p.pool.Unanswered())).
			Msg("pool_rebuild_began")
	case !rebuilding && !p.rebuildStartedAt.IsZero():
		addUnanswered(h.options.Logger.Info(), p).
			Str("pool", p.name).
			Dur("duration_ms", time.Since(p.rebuildStartedAt)).
			Msg("pool_rebuild_ended")

		p.rebuildStartedAt = time.Time{}
	}
}

// logWithheld logs that requests wait although the pool has free slots, and why.
// Together with the lines of the requests it distinguishes a full pool from one
// whose grants are held back or don't arrive. It is called once in each round of
// comparisons.
func (h *Holder) logWithheld(p *heldPool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	capacity := p.pool.Capacity()
	if capacity.Waiting == 0 || capacity.Free <= 0 {
		return
	}

	line := h.options.Logger.Info()
	if p.pool.Rebuilding() {
		line = addUnanswered(line, p)
	}

	line.Str("pool", p.name).
		Int("waiting", capacity.Waiting).
		Int("free", capacity.Free).
		Int("free_for_lower_tiers", capacity.FreeForLower).
		Msg("slots_withheld")
}

// addUnanswered adds the entries that haven't answered the current or latest rebuild. The caller holds p.mu.
func addUnanswered(line *zerolog.Event, p *heldPool) *zerolog.Event {
	names := p.pool.Unanswered()

	return line.Int("unanswered_count", len(names)).Strs("unanswered", names[:min(len(names), maxLoggedNames)])
}
