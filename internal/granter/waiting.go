package granter

import (
	"maps"
	"slices"
	"time"
)

// waitLogAfter is the wait of one ask after which it is logged; each further
// line comes when the wait has doubled, so that a request that waits ten minutes has ten lines.
const waitLogAfter = time.Second

// logWait logs what an ask that waits knows, if a line is due: without it a request
// that is neither answered nor refused has no line until its caller gives up, and
// nothing tells whether its holder, the way there or the queue kept it.
func (r *Router) logWait(p *pending) {
	waited := time.Since(p.began)
	if waited < p.logDue {
		return
	}

	for p.logDue <= waited {
		p.logDue *= 2
	}

	silent := r.silentNodes()

	r.options.Logger.Info().
		Str("request_id", p.requestID).
		Str("ask_id", p.item.ID).
		Str("pool", p.pool).
		Str("class", p.item.Class).
		Str("holder", p.peer).
		Bool("holder_answered", p.answered).
		Dur("asked_ms_ago", time.Since(p.asked)).
		Str("holder_now", r.holderOf(p.pool)).
		Int("silent_count", len(silent)).
		Strs("silent", silent[:min(len(silent), loggedNames)]).
		Int("live", len(r.members.Live())).
		Dur("waited_ms", waited).
		Msg("slot_waited_for")
}

// silentNodes names the nodes that this node doesn't ask since they didn't answer.
func (r *Router) silentNodes() []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.Sorted(maps.Keys(r.silent))
}
