package balancer

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// cacheFraction is the fraction of an engine's memory that holds cached prompt parts while requests run.
	cacheFraction = 0.8
	// maxCachedParts limits the prompt parts tracked for one server. With parts of 250 tokens it exceeds any cache.
	maxCachedParts = 4096
	// maxReportAge is the age of the last answer of an engine beyond which its reported cache is no longer used. Engines
	// answer about once a second, so that a few lost answers are tolerated.
	maxReportAge = 4 * time.Second
	// unreportedLifetime is how long after its last use by a running request a part counts as cached although the engine
	// hasn't reported it: a second between two calls, another one for late events, and the time to read the part.
	unreportedLifetime = 2500 * time.Millisecond
)

// CacheList lists everything that an engine has cached, as the engine reports it.
type CacheList struct {
	Upstream string
	// Born is the start of the upstream that was asked, as in Upstream.
	Born int64
	// Epoch identifies one lifetime of the engine's cache.
	Epoch string
	// Next is the number of the first event that may not be included.
	Next  int64
	Parts []PromptPart
}

// CacheEvents are changes of an engine's cache, as the engine reports them.
type CacheEvents struct {
	Upstream string
	Born     int64
	Epoch    string
	Events   []CacheEvent
}

// CacheEvent says that an engine has cached a prompt part or removed it.
type CacheEvent struct {
	// Number orders the events of one epoch.
	Number  int64
	Removed bool
	// Part is the part; its tokens are those that the engine has cached.
	Part PromptPart
}

// CacheCounters count how the estimate of cached prompt parts compares with what the engines report, and the reports. All
// are sums since the start; tokens are counted at each choice of an engine whose cache is reported.
type CacheCounters struct {
	// AssumedTokens were counted as cached by the choice, EstimatedTokens by the estimate alone, ReportedTokens by the report
	// alone, and AgreedTokens by estimate and report.
	AssumedTokens   int64 `json:"assumed_tokens"`
	EstimatedTokens int64 `json:"estimated_tokens"`
	ReportedTokens  int64 `json:"reported_tokens"`
	AgreedTokens    int64 `json:"agreed_tokens"`
	// RefutedTokens belong to parts that an engine cached again although by its reports it still had them cached.
	RefutedTokens int64 `json:"refuted_tokens"`
	// Lists and Events count what was applied, Ignored the events that were late or duplicates.
	Lists   int64 `json:"lists"`
	Events  int64 `json:"events"`
	Ignored int64 `json:"ignored"`
	// Rejected counts lists with more tokens than the engine's memory, and lists and events of another lifetime of the engine.
	Rejected int64 `json:"rejected"`
	// Expired counts the engines whose last answer became too old.
	Expired int64 `json:"expired"`
}

// add adds other to the counters.
func (c *CacheCounters) add(other *CacheCounters) {
	c.AssumedTokens += other.AssumedTokens
	c.EstimatedTokens += other.EstimatedTokens
	c.ReportedTokens += other.ReportedTokens
	c.AgreedTokens += other.AgreedTokens
	c.RefutedTokens += other.RefutedTokens
	c.Lists += other.Lists
	c.Events += other.Events
	c.Ignored += other.Ignored
	c.Rejected += other.Rejected
	c.Expired += other.Expired
}

// SumCacheCounters returns the sums of the counters.
func SumCacheCounters(all []CacheCounters) CacheCounters {
	var sum CacheCounters
	for i := range all {
		sum.add(&all[i])
	}

	return sum
}

// reportedPart is what an engine reported last of a prompt part.
type reportedPart struct {
	// tokens is the number of cached tokens; 0 if the part is not cached.
	tokens int
	// number is the number of the event that said so.
	number int64
}

// reportedCache is the content of an engine's cache as the engine reports it.
type reportedCache struct {
	epoch string
	// at is when the engine last answered.
	at time.Time
	// next is the number of the first event that the last list may not include.
	next int64
	// parts holds the parts, least recently used first. It keeps removed ones, so that an older event that arrives late doesn't
	// bring them back.
	parts *simplelru.LRU[string, reportedPart]
	// tokens is the sum of the cached tokens.
	tokens int
	// usedAt is when the parts that requests need were last in use by a running request. They count as cached until
	// unreportedLifetime later, since reports are late.
	usedAt map[string]time.Time
}

func newReportedCache(now time.Time, epoch string, next int64) *reportedCache {
	c := &reportedCache{epoch: epoch, at: now, next: next, usedAt: make(map[string]time.Time)}
	c.parts, _ = simplelru.NewLRU[string, reportedPart](maxCachedParts, func(_ string, part reportedPart) { c.tokens -= part.tokens })

	return c
}

// set records the last event of a part.
func (c *reportedCache) set(id string, part reportedPart) {
	if former, ok := c.parts.Peek(id); ok {
		c.tokens -= former.tokens
	}

	c.parts.Add(id, part)
	c.tokens += part.tokens
}

// reportedTokens returns how many tokens of a part are cached by the reports alone.
func (c *reportedCache) reportedTokens(part PromptPart) int {
	known, _ := c.parts.Peek(part.ID)

	return min(known.tokens, part.Tokens)
}

// ReplaceCache replaces what is known of an engine's cache by a list. It returns false, and changes nothing, if the list is
// not of the upstream's present lifetime or can't be true.
func (p *Pool) ReplaceCache(now time.Time, list CacheList) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	s := p.trackedServer(list.Upstream, list.Born)
	if s == nil || !s.fits(list.Parts) {
		p.cache.Rejected++

		return false
	}

	reported := newReportedCache(now, list.Epoch, list.Next)

	for _, part := range list.Parts {
		reported.set(part.ID, reportedPart{tokens: part.Tokens, number: list.Next - 1})
	}

	if s.reported != nil && s.reported.epoch == list.Epoch {
		reported.usedAt = s.reported.usedAt
	}

	s.reported = reported
	s.refreshUsed(now)

	p.cache.Lists++

	return true
}

// fits reports whether the parts fit into the engine's memory.
func (s *server) fits(parts []PromptPart) bool {
	tokens := 0

	for _, part := range parts {
		if part.Tokens < 0 || part.Tokens > s.engine.CacheTokens {
			return false
		}

		tokens += part.Tokens
	}

	return tokens <= s.engine.CacheTokens && len(parts) <= maxCachedParts
}

// ApplyCacheEvents corrects what is known of an engine's cache by events; none confirm it as of now. Events may be late, out of
// order or duplicated. It returns false if a list is needed first, as none was applied in this epoch or the last answer is too
// old.
func (p *Pool) ApplyCacheEvents(now time.Time, changes CacheEvents) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	s := p.trackedServer(changes.Upstream, changes.Born)
	if s == nil {
		p.cache.Rejected++

		return false
	}

	if s.reported != nil && s.reported.epoch != changes.Epoch {
		// The engine has restarted: nothing that was sent to it before is cached.
		p.cache.Rejected++
		s.reported = nil
		s.cachedParts.Purge()
	}

	if s.reported == nil {
		return false
	}

	s.reported.at = now

	for _, event := range changes.Events {
		p.applyCacheEvent(s, event)
	}

	// Lost removals add up to more than the engine can hold; it evicts the least recently used parts.
	for s.reported.tokens > s.engine.CacheTokens && s.reported.parts.Len() > 0 {
		s.reported.parts.RemoveOldest()
	}

	return true
}

func (p *Pool) applyCacheEvent(s *server, event CacheEvent) {
	c := s.reported
	known, ok := c.parts.Peek(event.Part.ID)

	if event.Part.Tokens < 0 || event.Part.Tokens > s.engine.CacheTokens || event.Number < c.next || ok && event.Number <= known.number {
		p.cache.Ignored++

		return
	}

	p.cache.Events++

	if event.Removed {
		c.set(event.Part.ID, reportedPart{number: event.Number})

		if s.partUsers[event.Part.ID] == 0 {
			delete(c.usedAt, event.Part.ID)
		}

		return
	}

	if known.tokens >= event.Part.Tokens {
		p.cache.RefutedTokens += int64(known.tokens)
	}

	c.set(event.Part.ID, reportedPart{tokens: event.Part.Tokens, number: event.Number})
}

// tracksCaches reports whether the engines' reports of their caches are used. The caller holds p.mu.
func (p *Pool) tracksCaches() bool {
	return p.options.CacheTracking && p.engine.ReportsCache && p.engine.CacheTokens > 0
}

// trackedServer returns the engine in the given lifetime, or nil if the pool has none or doesn't track caches. The caller holds
// p.mu.
func (p *Pool) trackedServer(id string, born int64) *server {
	if !p.tracksCaches() {
		return nil
	}

	for _, s := range p.servers {
		if s.ID == id && s.Born == born {
			return s
		}
	}

	return nil
}

// CachingUpstream is an engine whose cache can be asked for.
type CachingUpstream struct {
	ID, Address string
	Born        int64
	// Running is the number of requests at the engine.
	Running int
}

// CachingUpstreams returns the engines to ask for their caches: those that get new requests. It returns none if the pool
// doesn't use reports.
func (p *Pool) CachingUpstreams() []CachingUpstream {
	p.mu.Lock()
	defer p.mu.Unlock()

	if !p.tracksCaches() {
		return nil
	}

	upstreams := make([]CachingUpstream, 0, len(p.servers))

	for _, s := range p.servers {
		if !s.Draining && !s.leaving {
			upstreams = append(upstreams, CachingUpstream{ID: s.ID, Address: s.Address, Born: s.Born, Running: len(s.running)})
		}
	}

	return upstreams
}

// ExpireCaches returns to the estimate for engines whose last answer is too old, and forgets parts that were sent and never
// reported. It must be called several times a second while caches are tracked; decisions don't look at the age again.
func (p *Pool) ExpireCaches(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, s := range p.servers {
		if s.reported == nil {
			continue
		}

		s.refreshUsed(now)

		if now.Sub(s.reported.at) > maxReportAge {
			s.returnToEstimate()

			p.cache.Expired++
		}
	}
}

// refreshUsed records which parts running requests use, and forgets those that none has used lately.
func (s *server) refreshUsed(now time.Time) {
	for id := range s.partUsers {
		s.reported.usedAt[id] = now
	}

	for id, usedAt := range s.reported.usedAt {
		if now.Sub(usedAt) > unreportedLifetime {
			delete(s.reported.usedAt, id)
		}
	}
}

// returnToEstimate makes the last reported content the estimate, which continues from there.
func (s *server) returnToEstimate() {
	c := s.reported
	s.reported = nil
	former := make(map[string]int, len(c.usedAt))

	for id := range c.usedAt {
		if tokens, ok := s.cachedParts.Peek(id); ok {
			former[id] = tokens
		}
	}

	s.cachedParts.Purge()

	for _, id := range c.parts.Keys() {
		if part, _ := c.parts.Peek(id); part.tokens > 0 {
			s.estimateCached(id, part.tokens)
		}
	}

	for id, tokens := range former {
		s.estimateCached(id, tokens)
	}

	s.limitEstimate()
}

// cachedTokensOf returns how many tokens of a part the server has cached, as far as is known, and whether that is the whole part.
func (s *server) cachedTokensOf(part PromptPart) (int, bool) {
	if s.reported == nil {
		if s.cachedParts.Contains(part.ID) {
			return part.Tokens, true
		}

		return 0, false
	}

	tokens := s.reported.reportedTokens(part)
	if tokens == part.Tokens {
		return tokens, true
	}

	if _, used := s.reported.usedAt[part.ID]; used {
		return part.Tokens, true
	}

	return tokens, false
}

// uncachedTokens returns the number of prompt tokens that the server would have to read. A cached part can
// be used only if all parts before it are cached.
//
// Caching counts in the loss of a choice by these tokens, U, in three terms:
//
//	weight * missProbability(expectedMS / target)   the first event is late
//	+ sum over streams of the change of missProbability(gap / limit)   the prefill delays streams on the same engine
//	+ chunkLoss * U / chunkTokens * slowdown   later requests wait for the prefill
//
// where expectedMS is the round trip plus slowdown * ((backlog + U) / rate + one event). A request thus goes to an engine that
// hasn't cached its session when the one that has would be late, and the part is then cached on one engine more.
func (s *server) uncachedTokens(request *Request) int {
	missing := request.PromptTokens

	for _, part := range request.PromptParts {
		cached, complete := s.cachedTokensOf(part)
		missing -= cached

		if !complete {
			break
		}
	}

	return max(missing, 1)
}

// prefillTokens returns the number of prompt tokens that the server must read for the request. A call of a plain service counts as 1.
func (s *server) prefillTokens(request *Request) float64 {
	if s.engine.CacheTokens == 0 {
		return 1
	}

	return float64(s.uncachedTokens(request))
}

// addToCache records that the server caches the parts of a prompt.
func (s *server) addToCache(request *Request) {
	for _, part := range request.PromptParts {
		s.estimateCached(part.ID, part.Tokens)

		if s.reported != nil {
			s.reported.usedAt[part.ID] = s.sentAt
			// The engine evicts this part later.
			_, _ = s.reported.parts.Get(part.ID)
		}
	}

	s.limitEstimate()
}

// estimateCached adds a part to the estimate.
func (s *server) estimateCached(id string, tokens int) {
	if !s.cachedParts.Contains(id) {
		s.cachedTokens += tokens
	}

	s.cachedParts.Add(id, tokens)
}

// limitEstimate removes the least recently used parts from the estimate until the engine has memory for the others.
func (s *server) limitEstimate() {
	limit := int(cacheFraction * float64(s.engine.CacheTokens))
	for s.cachedTokens > limit && s.cachedParts.Len() > 0 {
		s.cachedParts.RemoveOldest()
	}
}

// recordCacheUse counts what a choice of the engine assumes to be cached. It must be called before the request is added to the
// server. The caller holds p.mu.
func (p *Pool) recordCacheUse(s *server, request *Request) {
	if s.reported == nil {
		return
	}

	counters := &p.cache
	counters.AssumedTokens += int64(request.PromptTokens - s.uncachedTokens(request))

	estimated, reported := true, true

	for _, part := range request.PromptParts {
		estimated = estimated && s.cachedParts.Contains(part.ID)
		tokens := 0

		if reported {
			tokens = s.reported.reportedTokens(part)
			reported = tokens == part.Tokens
		}

		counters.ReportedTokens += int64(tokens)

		if estimated {
			counters.EstimatedTokens += int64(part.Tokens)
			counters.AgreedTokens += int64(tokens)
		}
	}
}

// CacheCounters returns the counters of the pool.
func (p *Pool) CacheCounters() CacheCounters {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.cache
}

// mayWait reports whether a request may wait for a busy engine instead of going to the best other one. One that accepts any
// engine has waited long, and can't meet its target at the busy engine; it doesn't wait while another one has nothing to read.
// Applied to all engines that meet the target, the rule brought prompts to engines with chats under overload: 15 of 924 chats
// were late instead of none, and 34% more shared tokens were read again (TestCacheAlternativesOnTheSameLoad).
func (p *Pool) mayWait(now time.Time, best *server, request *Request) bool {
	return !p.tracksCaches() || !request.AcceptAny || best.backlogNow(now) > 0 || !p.meetsTarget(now, best, request)
}
