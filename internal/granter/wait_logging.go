package granter

import (
	"maps"
	"slices"
	"time"
)

// firstWaitLogAfter is the wait after which a slot request is logged first. Each
// further line follows when the wait has doubled, so a request that waits ten minutes
// has ten lines.
const firstWaitLogAfter = time.Second

// logWait logs the state of a waiting slot request if a line is due. Otherwise a
// request that is neither granted nor refused has no line until its caller gives
// up, and the log doesn't show whether the holder, the network or the queue delays it.
func (r *Router) logWait(p *pendingRequest) {
	waited := time.Since(p.startedAt)
	if waited < p.nextLogAfter {
		return
	}

	for p.nextLogAfter <= waited {
		p.nextLogAfter *= 2
	}

	silent := r.unresponsiveNodes()

	r.options.Logger.Info().
		Str("request_id", p.requestID).
		Str("ask_id", p.request.ID).
		Str("pool", p.pool).
		Str("class", p.request.Class).
		Str("holder", p.holder).
		Bool("holder_answered", p.holderAnswered).
		Dur("asked_ms_ago", time.Since(p.lastSentAt)).
		Str("holder_now", r.holderOf(p.pool)).
		Int("silent_count", len(silent)).
		Strs("silent", silent[:min(len(silent), maxLoggedNames)]).
		Int("live", len(r.members.Live())).
		Dur("waited_ms", waited).
		Msg("slot_waited_for")
}

// unresponsiveNodes returns the nodes that this node sends no requests to because they didn't answer.
func (r *Router) unresponsiveNodes() []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.Sorted(maps.Keys(r.unresponsive))
}
