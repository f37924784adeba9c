package balancer

import (
	"slices"
	"time"
)

const (
	// longPromptFraction caps what a prompt counts against the backlog limit, as a fraction of that limit.
	longPromptFraction = 0.7
	// urgentReserveFraction is the fraction of an engine's slots that less urgent requests leave free, until
	// urgentReserveDuration after the last urgent request. When long responses would fill all slots, 1/8 gives
	// 92 of 100 chats an engine at once, compared to 14 without a reserve, and reduces the long prompts that
	// are read from 381 to 337. A reserve of 1/4 gives the other 8 chats an engine at once too, but leaves 251
	// long prompts (load of TestChatsGetAnEngineAtOnceUnderOverload).
	urgentReserveFraction = 0.125
	urgentReserveDuration = 5 * time.Second
	// maxPlainQueue is the number of calls that may wait at a plain server in addition to its slots.
	maxPlainQueue = 8
	// maxBacklogChunks is the prompt backlog allowed at an engine, in chunks: enough to keep it busy for
	// several round trips to the holder. Urgent requests may exceed it up to maxUrgentBacklogChunks.
	maxBacklogChunks       = 7.0
	maxUrgentBacklogChunks = 14.0
	// minUsableFraction is the fraction of its listed servers below which a pool is degraded. Requests are spread over the pools of
	// a service by the servers that are listed, so that such a pool gets more than its part.
	minUsableFraction = 0.75
	// maxMemoryFraction is the fraction of an engine's memory that running requests may fill. An engine that
	// runs out of memory restarts running requests from the beginning.
	maxMemoryFraction = 0.85
)

// usable reports whether the server may get the request, or will once it has room.
func (s *server) usable(now time.Time, request *Request) bool {
	return request.accepts(s.SoftwareVersion) && !s.Draining && !s.leaving && !s.failures.isEjected(now, request.Node, request.ownFailuresOnly) && !now.Before(s.restsUntil)
}

// isDegraded reports whether the node's requests may go to less than minUsableFraction of the servers that are listed as ready.
func (p *Pool) isDegraded(now time.Time, node string) bool {
	usable, ready := 0, 0
	anyRequest := Request{Node: node}

	for _, s := range p.servers {
		if s.Draining {
			continue
		}

		ready++

		if s.usable(now, &anyRequest) {
			usable++
		}
	}

	return float64(usable) < minUsableFraction*float64(ready)
}

// mayEject reports whether one more server may be ejected for its failures of a node's requests. Where many servers fail,
// the failures are not the fault of one of them.
func (p *Pool) mayEject(now time.Time, node string) bool {
	ejected := 0

	for _, s := range p.servers {
		if f := &s.failures; f.shared.span > 0 || f.isOnTrial(node) || f.isEjected(now, node, false) {
			ejected++
		}
	}

	return float64(ejected+1) <= maxEjectedFraction*float64(len(p.servers))
}

// accepts reports whether the server may get the request now.
func (p *Pool) accepts(now time.Time, s *server, request *Request) bool {
	return p.hasRoom(now, s, request) && !p.isBusy(now, s, request)
}

// isBusy reports whether the prompt backlog at the engine is full.
func (p *Pool) isBusy(now time.Time, s *server, request *Request) bool {
	if s.engine.CacheTokens == 0 || request.AcceptAny && p.meetsTarget(now, s, request) {
		return false
	}

	backlog, limit := s.backlogNow(now), maxBacklogTokens(request.Priority)

	// Without the cap, a prompt longer than the limit would need an engine without any backlog, and shorter
	// prompts would always pass it.
	return backlog > 0 && backlog+min(s.prefillTokens(request), longPromptFraction*limit) > limit
}

// meetsTarget reports whether the server is expected to answer the request within its target. A request that
// has waited long may go to a server with a full backlog only if it meets its target there. Sent there late, it would delay
// all later requests and hold memory for prompts that others share until its caller leaves. Under an overload
// of 90 engines this rule serves 15% more of the attainable value; without it, the median backlog of the chosen
// engines was 47,000 prompt tokens.
func (p *Pool) meetsTarget(now time.Time, s *server, request *Request) bool {
	return p.expectedMS(now, s, request) <= milliseconds(request.Target-request.Waited)
}

// hasRoom reports whether the server has a slot and memory for the request.
func (p *Pool) hasRoom(now time.Time, s *server, request *Request) bool {
	if !s.usable(now, request) || slices.Contains(request.Excluded, s.ID) || s.isTried(request) {
		return false
	}

	if !s.bucket.Admits(now) || !p.fitsBrittle(now, s) {
		return false
	}

	if s.engine.CacheTokens == 0 {
		return p.plainRequests(now, s) < s.Slots+maxPlainQueue
	}

	foreign := s.foreignNow(now)
	tokens := float64(s.tokens+s.additionalTokens(request)) + foreign*s.meanTokens

	if len(s.running) > 0 && tokens > maxMemoryFraction*float64(s.engine.CacheTokens) {
		return false
	}

	return float64(len(s.running))+foreign < float64(s.Slots)-p.reserve(now, s, request)
}

// reserve returns the number of slots at an engine that the request must leave to more urgent ones. If long
// responses take all slots, a chat waits for one of them to end, which takes longer than its whole target.
func (p *Pool) reserve(now time.Time, s *server, request *Request) float64 {
	if request.Priority <= 0 || now.Sub(p.urgentAt) > urgentReserveDuration {
		return 0
	}

	return urgentReserveFraction * float64(s.Slots)
}

// maxBacklogTokens returns the prompt backlog allowed at an engine. An engine reads its backlog in order of
// arrival. Requests in the pool's queue are ordered by rank and delay no stream while they wait.
func maxBacklogTokens(priority int) float64 {
	if priority <= 0 {
		return maxUrgentBacklogChunks * chunkTokens
	}

	return maxBacklogChunks * chunkTokens
}
