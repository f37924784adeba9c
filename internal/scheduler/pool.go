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
	topTier    = 1
	lowestTier = 5
	// patientTier is the highest tier whose requests rather start late than not.
	patientTier = 4
	// noServerWait is what a request is told when no server can take it.
	noServerWait = 2 * time.Second
)

// grant is one slot in use.
type grant struct {
	id      string
	request Request
	class   *class
	server  *server
	order   uint64
	granted time.Time
	// cost is what deficit round robin charged.
	cost float64
	// charged is the slot time in seconds that the guaranteed shares reckon with; zero for adopted grants.
	charged float64
	// lower remembers that the class was below tier 1 when the slot was granted.
	lower bool
	// exposed remembers that the grant counts in its server's exposure.
	exposed   bool
	preempted bool
	// extra means that the slot was above the server's limit.
	extra bool
	// cached means that the server probably had a part of the prompt in its cache.
	cached bool
	// preemptedAt is when the slot was taken back.
	preemptedAt time.Time
	// misses counts reports of the entry running that didn't name the grant.
	misses int
}

// Pool is the exact queue of one pool. It is not safe for concurrent use.
//
// The slice of decisions that a method returns is valid until the next call.
type Pool struct {
	service configurer.Service
	options Options

	// classes and servers are in name order of their first settings; entries never move.
	classes []*class
	byClass map[string]*class
	servers []*server

	// tiers is indexed by effective tier; 0 is unused.
	tiers [lowestTier + 1]*ring
	wakes wakeHeap
	// waiting and holding are by request id, grants by grant id. A request is in at
	// most one of the first two. Adopted grants are in grants only.
	waiting map[string]*waiter
	holding map[string]*grant
	grants  map[string]*grant
	// finished remembers ended grants, so that a late report doesn't bring one back.
	finished *idMemory

	order    uint64
	quantum  float64
	gaps     gaps
	burst    burst
	rebuild  rebuild
	reviewAt time.Time
	// last is the time of the latest call.
	last time.Time
	// view is the present state that matching functions look at.
	view      view
	counters  counters
	decisions []Decision
}

// New returns an idle pool over the servers of the service, at most MaxServers.
func New(service configurer.Service, options Options) *Pool {
	p := &Pool{
		options:  options.withDefaults(),
		byClass:  make(map[string]*class),
		waiting:  make(map[string]*waiter),
		holding:  make(map[string]*grant),
		grants:   make(map[string]*grant),
		finished: newIDMemory(),
		quantum:  1,
		gaps:     newGaps(),
		counters: newCounters(),
	}

	for tier := topTier; tier <= lowestTier; tier++ {
		p.tiers[tier] = newRing()
	}

	p.view.pool = p
	p.view.bind()
	p.Update(service)

	return p
}

// Update takes new settings. The driver calls Tick after it.
func (p *Pool) Update(service configurer.Service) {
	p.service = service

	for _, name := range slices.Sorted(maps.Keys(service.Classes)) {
		settings := service.Classes[name]
		settings.Tier = min(max(settings.Tier, topTier), lowestTier)

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
		s.gone = !known
	}

	for _, name := range slices.Sorted(maps.Keys(service.Upstreams)) {
		p.updateServer(service.Upstreams[name])
	}

	p.dropGone()
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

func (p *Pool) dropGone() {
	p.servers = slices.DeleteFunc(p.servers, func(s *server) bool { return s.gone && s.inFlight == 0 })
}

func (p *Pool) server(name string) *server {
	for _, s := range p.servers {
		if s.upstream.Name == name {
			return s
		}
	}

	return nil
}

// Submit queues a request. Every submitted request ends in exactly one Grant or
// Refuse decision, or by Cancel or Forget. Submitting an id that waits changes
// nothing; submitting one that holds a slot repeats its Grant.
func (p *Pool) Submit(now time.Time, request Request) []Decision {
	p.begin(now)

	if g := p.holding[request.ID]; g != nil {
		p.decide(g.decision(Grant))

		return p.decisions
	}

	if p.waiting[request.ID] != nil {
		return p.decisions
	}

	c := p.byClass[request.Class]
	if c == nil {
		return p.refuseNew(&request, classifier.UnknownClass, 0)
	}

	if !p.reachable(&request) {
		return p.refuseNew(&request, classifier.NoUpstream, noServerWait)
	}

	if request.Spare {
		return p.submitSpare(now, request, c)
	}

	p.enqueue(now, request, c)
	p.settle(now)
	p.review(now, request.ID)

	return p.decisions
}

// reachable says whether some server that stays may take the request.
func (p *Pool) reachable(request *Request) bool {
	for _, s := range p.servers {
		if !s.gone && !s.upstream.Leaving && !s.excluded(request) {
			return true
		}
	}

	return false
}

func (p *Pool) refuseNew(request *Request, code classifier.Code, wait time.Duration) []Decision {
	p.counters.refused[code]++
	p.decide(Decision{Kind: Refuse, RequestID: request.ID, Entry: request.Entry, Code: code, RetryAfter: wait})

	return p.decisions
}

func (p *Pool) refuse(now time.Time, w *waiter, code classifier.Code) {
	wait := p.retryAfter(now, w)
	p.drop(w)
	p.counters.refused[code]++
	p.decide(Decision{Kind: Refuse, RequestID: w.request.ID, Entry: w.request.Entry, Code: code, RetryAfter: wait})
}

// Cancel takes a request back, whether it waits or was granted a moment ago.
func (p *Pool) Cancel(now time.Time, requestID string) []Decision {
	p.begin(now)

	if w := p.waiting[requestID]; w != nil {
		p.drop(w)
		p.counters.cancelled++
	}

	if g := p.holding[requestID]; g != nil {
		p.free(now, g)
		p.counters.cancelled++
	}

	p.settle(now)

	return p.decisions
}

// Tick carries out what is due by time.
func (p *Pool) Tick(now time.Time) []Decision {
	p.begin(now)
	p.settle(now)
	p.reviewAll(now)

	return p.decisions
}

// NextTick is the time at which the driver calls Tick; zero means never.
func (p *Pool) NextTick() time.Time {
	if len(p.waiting) == 0 {
		return time.Time{}
	}

	return earliest(earliest(p.wakes.next(), p.reviewAt), p.rebuild.until)
}

func (p *Pool) begin(now time.Time) {
	p.decisions = p.decisions[:0]
	p.last = now
	p.burst.began(now)
	p.rebuild.check(now)
}

func (p *Pool) decide(d Decision) {
	p.decisions = append(p.decisions, d)
}

// settle grants what can be granted and carries out what is due.
func (p *Pool) settle(now time.Time) {
	p.view.look(now)

	for p.grantNext(now) {
	}

	p.closeVacated()

	for p.wakeNext(now) {
	}

	p.scheduleReview(now)
}

// closeVacated ends tier 1's claim on slots that preempted grants gave back. A
// claim that lasted would hold a server above its limit after tier 1 is served.
func (p *Pool) closeVacated() {
	for _, s := range p.servers {
		s.vacated = 0
	}
}

// wakeNext handles the earliest due waiter and says whether there was one.
func (p *Pool) wakeNext(now time.Time) bool {
	due := p.wakes.next()
	if due.IsZero() || due.After(now) {
		return false
	}

	w := p.wakes.waiters[0]

	switch {
	case !w.refuseAt.IsZero() && !w.refuseAt.After(now):
		p.giveUp(now, w, classifier.TargetUnreachable)

		return true
	case !w.moveUpAt.IsZero() && !w.moveUpAt.After(now):
		p.moveUp(now, w)

		return true
	}

	p.wakes.remove(w)
	w.preemptAt = p.preemptFor(now, w)
	p.wakes.push(w)

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
	p.order++

	return p.options.GrantPrefix + strconv.FormatUint(p.order, 36)
}
