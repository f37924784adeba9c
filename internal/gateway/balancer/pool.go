package balancer

import (
	"math"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/gateway/estimator"
	"quincepath.example/quincepath/internal/throttler"
)

const (
	// waitLossRatio is the ratio to the least loss at a server that isn't busy below which the loss at a busy
	// server must be for the request to wait for it.
	waitLossRatio = 0.7
	// expiryGrace is how long a request is still counted after its time limit if its end is not reported.
	expiryGrace = time.Second
	// expireInterval is the interval between checks for expired requests.
	expireInterval = 500 * time.Millisecond
)

// Choice is the upstream chosen for a request.
type Choice struct {
	Upstream string `json:"u"`
	Address  string `json:"a"`
	// Born identifies the run of the upstream, see Upstream; 0 if it isn't known, as from a node of an older release.
	Born int64 `json:"o,omitempty"`
	// SoftwareVersion is the version of the upstream's software; empty if it isn't known.
	SoftwareVersion string `json:"v,omitempty"`
	// Loss is the expected loss, for the log.
	Loss float64 `json:"l"`
	// ExpectedWaitMS is the predicted time to the first event. If the request is refused, it is the time
	// that the queue takes to drain.
	ExpectedWaitMS float64 `json:"w"`
	// Limit is the rate limit of the upstream with which the choice complies; nil if none is known.
	Limit *throttler.Limit `json:"q,omitempty"`
	// LimitWaitMS is set if the request waits, or is refused, because all upstreams that could take it name rate limits: the
	// time until their limits admit the requests that wait and this one.
	LimitWaitMS float64 `json:"k,omitempty"`
	// Degraded is set if the request is refused and many of the pool's upstreams are left out, so that other pools of the service
	// may have more room.
	Degraded bool `json:"d,omitempty"`
	// ReturnMS is set if the request is refused and Options.WorkAdmission is set: the time after which the caller should
	// come back. The pool spreads these times, so they need no jitter.
	ReturnMS float64 `json:"e,omitempty"`
	// AskedAt is when this node asked for the choice, by a clock that also advances while the system is suspended.
	AskedAt time.Duration `json:"-"`
	// Brittle is set if the upstream said that it is brittle.
	Brittle *Brittleness `json:"b,omitempty"`
}

// Pool chooses among the upstreams of one service. It is safe for concurrent use.
type Pool struct {
	options Options

	mu      sync.Mutex
	engine  Engine
	servers []*server
	// model estimates the performance of the servers.
	model *estimator.Estimator
	// requests holds all running requests by ID.
	requests map[string]*runningRequest
	// queue holds the requests that wait for a server.
	queue []*queued
	// queuedIDs indexes queue by request ID. The queue was last sorted at sortedAt.
	queuedIDs map[string]*queued
	sortedAt  time.Time
	// demand measures the rate and duration of requests.
	demand demand
	// urgentAt is when a request of the most urgent priority last got a server.
	urgentAt time.Time
	// expiredAt is when expired requests were last looked for.
	expiredAt time.Time
	// limitShare is the part of the servers' rate limits that this node may use, limitCost the cost of a request in tokens.
	limitShare, limitCost float64
	// brittleAt is when one of the servers last said that it is brittle, brittleRejections how many requests it said that it
	// can reject in a second.
	brittleAt         time.Time
	brittleRejections int
	// cache counts what the servers report of their caches.
	cache CacheCounters
	// prefillMeter is used by Utilisation.
	prefillMeter prefillMeter
	// admission shares scarce room by work. It isn't used unless Options.WorkAdmission is set.
	admission admission
}

// NewPool returns a pool without upstreams.
func NewPool(options Options) *Pool {
	return &Pool{
		options:    options,
		requests:   make(map[string]*runningRequest),
		queuedIDs:  make(map[string]*queued),
		model:      estimator.New(0),
		limitShare: 1,
		limitCost:  throttler.CostDeciding,
		admission:  newAdmission(),
	}
}

// SetUpstreams replaces the list of upstreams. The state of those that remain is kept.
func (p *Pool) SetUpstreams(now time.Time, upstreams []Upstream, engine Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.engine.EventTokens != engine.EventTokens {
		p.model = estimator.New(engine.EventTokens)
	}

	p.engine = engine
	former := make(map[string]*server, len(p.servers))

	for _, s := range p.servers {
		former[s.ID] = s
	}

	p.servers = p.servers[:0]

	for _, upstream := range upstreams {
		s, ok := former[upstream.ID]
		// A restarted server has an empty cache, runs nothing and may have any speed. Later events of its earlier
		// requests go to the former server value, which is no longer used.
		if !ok || s.Born != upstream.Born {
			s = newServer(upstream, engine, p.model, now)
			s.bucket = throttler.NewBucket(p.limitShare, p.limitCost)
			s.pace = p.newPace(now)
			p.startBrittle(now, s)
		}

		s.Upstream, s.engine, s.model = upstream, engine, p.model
		p.servers = append(p.servers, s)
	}
}

// choose assigns the request to the server with the least expected loss. It returns false if no server has
// room for the request. The caller holds p.mu.
func (p *Pool) choose(now time.Time, request Request) (Choice, bool) {
	var (
		best     *server
		bestLoss = math.Inf(1)
		// busyLoss is the least loss among servers that have room but a full prompt backlog.
		busyLoss = math.Inf(1)
	)

	for _, s := range p.servers {
		if !p.hasRoom(now, s, &request) || p.isWarmingUp(now, s, &request) {
			continue
		}

		loss := p.loss(now, s, &request)

		switch {
		case p.isBusy(now, s, &request):
			busyLoss = min(busyLoss, loss)
		case loss < bestLoss:
			best, bestLoss = s, loss
		}
	}

	// Waiting for the busy server is better than sending the request to an engine that serves chats, or to one that
	// would have to prefill its session again. It takes no longer than waiting at the busy server itself.
	if best == nil || busyLoss < waitLossRatio*bestLoss && p.mayWait(now, best, &request) {
		return Choice{}, false
	}

	r := p.begin(now, best, request)
	p.demand.recordGrant(now)
	best.bucket.Take(now)

	return Choice{
		Upstream: best.ID, Address: best.Address, Born: best.Born, SoftwareVersion: best.SoftwareVersion, Loss: bestLoss, ExpectedWaitMS: r.expectedMS,
		Limit: best.namedLimit(), Brittle: best.namedBrittleness(now),
	}, true
}

// AddRunning counts a request that another node's pool sent to the upstream.
func (p *Pool) AddRunning(now time.Time, upstream string, request Request) {
	p.mu.Lock()
	defer p.mu.Unlock()

	_, known := p.requests[request.ID]

	if r := p.beginAt(now, upstream, request); r != nil && !known {
		r.server.bucket.TakeElsewhere(now)
	}
}

// AddEarlier counts a request that another node's pool sent to the upstream before this pool received reports. It costs
// nothing of the upstream's rate limit, as it may have been sent long ago.
func (p *Pool) AddEarlier(now time.Time, upstream string, request Request) {
	p.mu.Lock()
	defer p.mu.Unlock()

	_ = p.beginAt(now, upstream, request)
}

// AddAnswering counts a request whose response began before this pool was told of it. Its first event
// says nothing about the upstream's speed.
func (p *Pool) AddAnswering(now time.Time, upstream string, request Request) {
	p.mu.Lock()
	defer p.mu.Unlock()

	r := p.beginAt(now, upstream, request)
	if r == nil {
		return
	}

	r.answering = true
	r.firstAt = now
	r.server.dropBacklog(r)
	r.prefilledAtFirst = r.server.sentTokens
}

// beginAt counts a request at the named upstream. It returns nil if the upstream is not listed.
func (p *Pool) beginAt(now time.Time, upstream string, request Request) *runningRequest {
	p.expire(now)
	// The request may be queued here too, if it asked this node before another node chose its upstream.
	p.unqueue(request.ID)

	for _, s := range p.servers {
		if s.ID == upstream {
			return p.begin(now, s, request)
		}
	}

	return nil
}

func (p *Pool) begin(now time.Time, s *server, request Request) *runningRequest {
	if former, ok := p.requests[request.ID]; ok {
		p.demand.removeRunning(former)
		former.server.remove(former, Abandoned, now, false)
	}

	r := &runningRequest{
		request:       request,
		server:        s,
		sentAt:        now,
		expiresAt:     now.Add(request.TimeLimit + expiryGrace),
		prefillTokens: s.prefillTokens(&request),
		expectedMS:    p.expectedMS(now, s, &request),
		slowdown:      s.slowdownNow(now),
		sensitivity:   p.sensitivity(&request),
		backlogAhead:  s.backlog,
	}

	if p.options.WorkAdmission {
		r.work = p.workAt(s, &request, r.prefillTokens)
		p.admission.charge(&request, r.work)
		p.demand.work.recordStart(now, request.Priority, r.work)
	}

	p.demand.running++

	if request.Priority <= 0 {
		p.urgentAt = now
	}

	p.requests[request.ID] = r
	p.recordCacheUse(s, &request)
	s.add(r, now)

	return r
}

// RecordFirstEvent records that the first event of the request arrived. The load is what the server reported, or nil.
func (p *Pool) RecordFirstEvent(now time.Time, id string, load *Load) {
	p.mu.Lock()
	defer p.mu.Unlock()

	r, ok := p.requests[id]
	if !ok {
		return
	}

	p.observeFirst(r, now)
	r.server.recordAnswer(r, now)

	if load != nil {
		r.server.recordLoad(now, *load)
	}
}

// MarkLeaving stops new requests to an upstream until it is listed with another start.
func (p *Pool) MarkLeaving(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, s := range p.servers {
		if s.ID == upstream {
			s.leaving = true
		}
	}
}

// MarkResting stops new requests to an upstream until the given time. An earlier time doesn't shorten a rest.
func (p *Pool) MarkResting(upstream string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, s := range p.servers {
		if s.ID == upstream && until.After(s.restsUntil) {
			s.restsUntil = until
		}
	}
}

// RecordEnd records that the request ended at its upstream or left the queue. It returns true if that ejects the upstream.
func (p *Pool) RecordEnd(now time.Time, id string, outcome Outcome) (Ejection, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	r, ok := p.requests[id]
	if !ok {
		p.unqueue(id)

		return Ejection{}, false
	}

	delete(p.requests, id)
	p.demand.removeRunning(r)
	p.recordBrittleEnd(now, r, outcome)
	p.correctCharge(r)

	if outcome == Served {
		p.observeFirst(r, now)
		r.server.recordAnswer(r, now)
		p.demand.recordResidence(now.Sub(r.sentAt).Seconds())
		p.demand.work.recordResidence(r.work, now.Sub(r.sentAt).Seconds())
	}

	failures := &r.server.failures
	wasShared, wasEjected := now.Before(failures.shared.until), failures.isEjected(now, r.request.Node, false)
	r.server.remove(r, outcome, now, (outcome == Failed || outcome == Silent) && p.mayEject(now, r.request.Node))

	ejected := Ejection{Upstream: r.server.ID}

	switch {
	case !wasShared && now.Before(failures.shared.until):
		ejected.Duration, ejected.ForAll = failures.shared.until.Sub(now), true
	case !wasEjected && failures.isEjected(now, r.request.Node, false):
		ejected.Duration = failures.byNode[r.request.Node].until.Sub(now)
	}

	return ejected, ejected.Duration > 0
}

// expire removes requests whose time limit has passed without a report of their end: the node that sent them
// stopped, or its message was lost. They would otherwise occupy slots forever.
func (p *Pool) expire(now time.Time) {
	if now.Sub(p.expiredAt) < expireInterval {
		return
	}

	p.expiredAt = now
	p.admission.expireReturns(now)

	for id, r := range p.requests {
		if now.After(r.expiresAt) {
			delete(p.requests, id)
			p.demand.removeRunning(r)
			r.server.remove(r, Abandoned, now, false)
		}
	}
}
