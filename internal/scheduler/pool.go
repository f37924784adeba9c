package scheduler

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	highestTier = 1
	lowestTier  = 5
	// relaxedTier and the tiers below it use Options.RelaxedTargetFactor: for their requests a late start
	// is better than a refusal.
	relaxedTier = 4
	// noServerRetryAfter is the Retry-After of requests that no server can take.
	noServerRetryAfter = 2 * time.Second
)

// grant is one slot in use.
type grant struct {
	id        string
	request   Request
	class     *class
	server    *server
	sequence  uint64
	grantedAt time.Time
	// cost is the amount that deficit round robin charged.
	cost float64
	// chargedSlotTime is the slot time in seconds charged to the guaranteed shares; zero for adopted
	// grants.
	chargedSlotTime float64
	// belowHighestTier records that the class was below tier 1 when the slot was granted.
	belowHighestTier bool
	// countsInExposure records that the grant counts in its server's exposure.
	countsInExposure bool
	preempted        bool
	// oversubscribed means that the slot was above the server's limit.
	oversubscribed bool
	// promptCached means that the server probably had part of the prompt in its cache.
	promptCached bool
	// preemptedAt is when the preemption was requested.
	preemptedAt time.Time
	// missingReports counts consecutive reports of the entry that didn't list the grant.
	missingReports int
}

// Pool schedules the requests of one service onto its servers. It is not safe for concurrent use.
//
// The slice of decisions that a method returns is valid until the next call.
type Pool struct {
	service configurer.Service
	options Options

	// classes and servers are in the name order of the settings that introduced them. Classes are never
	// removed or moved; servers keep their order.
	classes []*class
	byClass map[string]*class
	servers []*server

	// tiers is indexed by effective tier; index 0 is unused.
	tiers  [lowestTier + 1]*tierQueue
	timers timerHeap
	// waiting and grantByRequest are keyed by request ID, grants by grant ID. A request is in at most one
	// of the first two. Adopted grants are only in grants.
	waiting        map[string]*waiter
	grantByRequest map[string]*grant
	grants         map[string]*grant
	// endedGrants keeps the IDs of ended grants, so that a late report doesn't restore one.
	endedGrants *recentIDs

	sequence   uint64
	quantum    float64
	gaps       tokenGaps
	tier1Burst burstMeter
	rebuild    rebuild
	reviewAt   time.Time
	// lastCallAt is the time of the latest call.
	lastCallAt time.Time
	// view is the current state of the servers, which the matching functions read.
	view      serverView
	counters  counters
	decisions []Decision
}

// New returns an idle pool over the servers of the service, at most MaxServers.
func New(service configurer.Service, options Options) *Pool {
	p := &Pool{
		options:        options.withDefaults(),
		byClass:        make(map[string]*class),
		waiting:        make(map[string]*waiter),
		grantByRequest: make(map[string]*grant),
		grants:         make(map[string]*grant),
		endedGrants:    newRecentIDs(),
		quantum:        1,
		gaps:           newTokenGaps(),
		counters:       newCounters(),
	}

	for tier := highestTier; tier <= lowestTier; tier++ {
		p.tiers[tier] = newTierQueue()
	}

	p.view.pool = p
	p.view.bindMatchers()
	p.Update(service)

	return p
}

// Update applies new settings. The caller must call Tick afterwards.
func (p *Pool) Update(service configurer.Service) {
	p.service = service

	for _, name := range slices.Sorted(maps.Keys(service.Classes)) {
		settings := service.Classes[name]
		settings.Tier = min(max(settings.Tier, highestTier), lowestTier)

		if c := p.byClass[name]; c != nil {
			c.settings = settings

			continue
		}

		c := newClass(settings, len(p.classes))
		p.classes = append(p.classes, c)
		p.byClass[name] = c
	}

	for _, s := range p.servers {
		_, known := service.Upstreams[s.upstream.Name]
		s.removed = !known
	}

	for _, name := range slices.Sorted(maps.Keys(service.Upstreams)) {
		p.updateServer(service.Upstreams[name])
	}

	p.removeUnusedServers()
}

func (p *Pool) updateServer(upstream configurer.Upstream) {
	if s := p.server(upstream.Name); s != nil {
		s.upstream = upstream

		return
	}

	if len(p.servers) < MaxServers {
		p.servers = append(p.servers, newServer(upstream, p.service.Kind))
	}
}

func (p *Pool) removeUnusedServers() {
	p.servers = slices.DeleteFunc(p.servers, func(s *server) bool { return s.removed && s.inFlight == 0 })
}

func (p *Pool) server(name string) *server {
	for _, s := range p.servers {
		if s.upstream.Name == name {
			return s
		}
	}

	return nil
}

// Submit queues a request. Every submitted request ends with exactly one Grant or Refuse decision, or
// through Cancel or RemoveEntry. Submitting an ID that is waiting changes nothing; submitting one that
// holds a slot repeats its Grant.
func (p *Pool) Submit(now time.Time, request Request) []Decision {
	p.startCall(now)

	if g := p.grantByRequest[request.ID]; g != nil {
		p.addDecision(g.decision(Grant))

		return p.decisions
	}

	if p.waiting[request.ID] != nil {
		return p.decisions
	}

	c := p.byClass[request.Class]
	if c == nil {
		return p.refuseNew(&request, classifier.UnknownClass, 0)
	}

	if !p.hasCandidateServer(&request) {
		return p.refuseNew(&request, classifier.NoUpstream, noServerRetryAfter)
	}

	if request.Spare {
		return p.submitSpare(now, request, c)
	}

	p.enqueue(now, request, c)
	p.grantAndRunTimers(now)
	p.review(now, request.ID)

	return p.decisions
}

// hasCandidateServer reports whether any server that is neither removed nor leaving may take the
// request.
func (p *Pool) hasCandidateServer(request *Request) bool {
	for _, s := range p.servers {
		if !s.removed && !s.upstream.Leaving && !s.excluded(request) {
			return true
		}
	}

	return false
}

func (p *Pool) refuseNew(request *Request, code classifier.Code, wait time.Duration) []Decision {
	p.counters.refused[code]++
	p.addDecision(Decision{Kind: Refuse, RequestID: request.ID, Entry: request.Entry, Code: code, RetryAfter: wait})

	return p.decisions
}

func (p *Pool) refuse(now time.Time, w *waiter, code classifier.Code) {
	wait := p.retryAfter(now, w)
	p.removeWaiter(w)
	p.counters.refused[code]++
	p.addDecision(Decision{Kind: Refuse, RequestID: w.request.ID, Entry: w.request.Entry, Code: code, RetryAfter: wait})
}

// Cancel withdraws a request, whether it is waiting or was just granted.
func (p *Pool) Cancel(now time.Time, requestID string) []Decision {
	p.startCall(now)

	if w := p.waiting[requestID]; w != nil {
		p.removeWaiter(w)
		p.counters.cancelled++
	}

	if g := p.grantByRequest[requestID]; g != nil {
		p.releaseGrant(now, g)
		p.counters.cancelled++
	}

	p.grantAndRunTimers(now)

	return p.decisions
}

// Tick runs the timers that are due.
func (p *Pool) Tick(now time.Time) []Decision {
	p.startCall(now)
	p.grantAndRunTimers(now)
	p.reviewAll(now)

	return p.decisions
}

// NextTick returns the time at which the caller must call Tick; zero means never.
func (p *Pool) NextTick() time.Time {
	if len(p.waiting) == 0 {
		return time.Time{}
	}

	return earliest(earliest(p.timers.next(), p.reviewAt), p.rebuild.until)
}

func (p *Pool) startCall(now time.Time) {
	p.decisions = p.decisions[:0]
	p.lastCallAt = now
	p.tier1Burst.setFirstEvent(now)
	p.rebuild.endIfDone(now)
}

func (p *Pool) addDecision(d Decision) {
	p.decisions = append(p.decisions, d)
}

// grantAndRunTimers grants all requests that can be granted and runs the timers that are due.
func (p *Pool) grantAndRunTimers(now time.Time) {
	p.view.refresh(now)

	for p.grantNext(now) {
	}

	p.resetVacated()

	for p.handleNextTimer(now) {
	}

	p.scheduleReview(now)
}

// resetVacated ends tier 1's claim on slots that preempted grants released. A longer claim would keep
// a server above its limit after tier 1 is served.
func (p *Pool) resetVacated() {
	for _, s := range p.servers {
		s.vacated = 0
	}
}

// handleNextTimer handles the earliest due timer and reports whether there was one.
func (p *Pool) handleNextTimer(now time.Time) bool {
	due := p.timers.next()
	if due.IsZero() || due.After(now) {
		return false
	}

	w := p.timers.waiters[0]

	switch {
	case !w.refuseAt.IsZero() && !w.refuseAt.After(now):
		p.refuseForCapacity(now, w, classifier.TargetUnreachable)

		return true
	case !w.moveUpAt.IsZero() && !w.moveUpAt.After(now):
		p.moveUp(now, w)

		return true
	}

	p.timers.remove(w)
	w.preemptAt = p.preemptForWaiter(now, w)
	p.timers.push(w)

	return true
}

func hash(text string) uint64 {
	return xxhash.Sum64String(text)
}

func (g *grant) decision(kind DecisionKind) Decision {
	return Decision{
		Kind:      kind,
		RequestID: g.request.ID,
		Entry:     g.request.Entry,
		GrantID:   g.id,
		Upstream:  g.server.upstream.Name,
		Priority:  g.class.settings.Tier,
	}
}

func (p *Pool) nextGrantID() string {
	p.sequence++

	return p.options.GrantPrefix + strconv.FormatUint(p.sequence, 36)
}
