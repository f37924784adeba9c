package granter

import "time"

// logRebuild logs the end of a rebuild, with the entries that had not answered
// before. The caller holds p.mu.
func (h *Holder) logRebuild(p *heldPool, missing []string) {
	rebuilding := p.pool.Rebuilding()

	switch {
	case rebuilding && p.rebuildBegan.IsZero():
		p.rebuildBegan = time.Now()
	case !rebuilding && !p.rebuildBegan.IsZero():
		h.options.Logger.Info().
			Str("pool", p.name).
			Strs("unanswered", missing).
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

	room := p.pool.Room()
	if room.Waiting == 0 || room.Free <= 0 {
		return
	}

	h.options.Logger.Info().
		Str("pool", p.name).
		Int("waiting", room.Waiting).
		Int("free", room.Free).
		Int("free_for_lower_tiers", room.ForLower).
		Strs("unanswered", p.pool.Unanswered()).
		Msg("slots_withheld")
}
