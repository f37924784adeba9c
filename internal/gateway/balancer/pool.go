package balancer

import (
	"math"
	"slices"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/gateway/estimator"
)

const (
	// longPromptFraction is the part of what may wait at an engine that a longer prompt counts for.
	longPromptFraction = 0.7
	// waitLossRatio is the part of the loss at a server with room that a busy one must stay under to be waited for.
	waitLossRatio = 0.7
	// urgentReserveFraction is the part of an engine's places that less urgent requests leave free while urgent ones come, and
	// reserveTime how long after the last of these. With an eighth, 92 of 100 chats get an engine at once while long
	// answers would fill all places, with none 14; the long prompts that are read fall from 381 to 337. A quarter
	// gives the other 8 chats and leaves 251 (the load of TestChatsGetAnEngineAtOnceUnderOverload).
	urgentReserveFraction = 0.125
	urgentReserveDuration = 5 * time.Second
	// maxPlainQueue is how many calls may wait at a plain server in addition to its slots.
	maxPlainQueue = 8
	// expiryGrace is how long after its limit a request whose end nobody told is still counted.
	expiryGrace = time.Second
	// expireInterval is the time between two looks for such requests.
	expireInterval = 500 * time.Millisecond
	// maxBacklogChunks is the prompt work in chunks that may wait at an engine: enough to keep it busy
	// for several ways to the holder and back. Urgent requests may add to it.
	maxBacklogChunks       = 7.0
	maxUrgentBacklogChunks = 14.0
	// maxMemoryFraction is the part of an engine's memory that running requests may fill. An engine that runs
	// out of it sets running requests back to where they began.
	maxMemoryFraction = 0.85
)

// Choice is the upstream that was chosen.
type Choice struct {
	Upstream string `json:"u"`
	Address  string `json:"a"`
	// Loss is the expected loss, Waiting the predicted time to the first event in milliseconds; both for the log.
	Loss           float64 `json:"l"`
	ExpectedWaitMS float64 `json:"w"`
}

// Pool decides for the upstreams of one service. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	engine  Engine
	servers []*server
	// model learns how fast they are.
	model *estimator.Estimator
	// requests holds all running requests by id.
	requests map[string]*runningRequest
	// queue holds the requests that wait for room.
	queue []*queued
	// queuedIDs are the ids of the requests in queue, which was last sorted at sortedAt.
	queuedIDs map[string]*queued
	sortedAt  time.Time
	// demand is what the requests ask of the servers.
	demand demand
	// urgentAt is when a request of the most urgent class last got a server.
	urgentAt time.Time
	// expiredAt is when requests whose end nobody told were last looked for.
	expiredAt time.Time
}

// NewPool returns a pool without upstreams.
func NewPool() *Pool {
	return &Pool{requests: make(map[string]*runningRequest), queuedIDs: make(map[string]*queued), model: estimator.New(0)}
}

// SetUpstreams takes in the upstreams that exist now. What is known of those that stay is kept.
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
		// One that started again has an empty cache, runs nothing and may be as fast as any other. What is told of
		// its requests from before goes to the server that they were sent to, which nobody asks any more.
		if !ok || s.Born != upstream.Born {
			s = newServer(upstream, engine, p.model, now)
		}

		s.Upstream, s.engine, s.model = upstream, engine, p.model
		p.servers = append(p.servers, s)
	}
}

// choose picks the server with the least expected loss and counts the request there; p.mu is held.
// It returns false when no server has room for it.
func (p *Pool) choose(now time.Time, request Request) (Choice, bool) {
	var (
		best     *server
		bestLoss = math.Inf(1)
		// busyLoss is the least loss at a server that has room but enough prompts to read for now.
		busyLoss = math.Inf(1)
	)

	for _, s := range p.servers {
		if !p.hasRoom(now, s, &request) {
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

	// Rather than to an engine with chats, or to one that would read its session anew, the request waits for the
	// other one, which is no later than if it waited there.
	if best == nil || busyLoss < waitLossRatio*bestLoss {
		return Choice{}, false
	}

	r := p.begin(now, best, request)
	p.demand.recordGrant(now)

	return Choice{Upstream: best.ID, Address: best.Address, Loss: bestLoss, ExpectedWaitMS: r.expectedMS}, true
}

// AddRunning counts a request that another node's pool sent to the upstream.
func (p *Pool) AddRunning(now time.Time, upstream string, request Request) {
	p.mu.Lock()
	defer p.mu.Unlock()

	_ = p.beginAt(now, upstream, request)
}

// AddAnswering counts a request whose answer began before this pool heard of it, so that its first event says nothing of
// the time that it took.
func (p *Pool) AddAnswering(now time.Time, upstream string, request Request) {
	p.mu.Lock()
	defer p.mu.Unlock()

	r := p.beginAt(now, upstream, request)
	if r == nil {
		return
	}

	r.answering = true
	r.server.dropBacklog(r)
	r.prefilledAtFirst = r.server.sentTokens
}

// beginAt counts a request at a named upstream; nil if that isn't listed.
func (p *Pool) beginAt(now time.Time, upstream string, request Request) *runningRequest {
	p.expire(now)
	// It may wait here too: it asked this node before it got its upstream from another one.
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
		p.demand.running--
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

	p.demand.running++

	if request.Priority <= 0 {
		p.urgentAt = now
	}

	p.requests[request.ID] = r
	s.add(r, now)

	return r
}

// RecordFirstEvent records that the first event of the request came, with the load that the server told; nil if none.
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

// MarkLeaving keeps new requests from an upstream, until it is listed with another start.
func (p *Pool) MarkLeaving(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, s := range p.servers {
		if s.ID == upstream {
			s.leaving = true
		}
	}
}

// RecordEnd records that the request left its upstream.
func (p *Pool) RecordEnd(now time.Time, id string, outcome Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()

	r, ok := p.requests[id]
	if !ok {
		p.unqueue(id)

		return
	}

	delete(p.requests, id)
	p.demand.running--

	if outcome == Served {
		p.observeFirst(r, now)
		r.server.recordAnswer(r, now)
		p.demand.recordResidence(now.Sub(r.sentAt).Seconds())
	}

	r.server.remove(r, outcome, now, outcome == Failed && p.mayEject(now))
}

// expire drops requests that are over although nobody said so: the node that sent them is gone,
// or its message was lost. They would take up slots for good.
func (p *Pool) expire(now time.Time) {
	if now.Sub(p.expiredAt) < expireInterval {
		return
	}

	p.expiredAt = now

	for id, r := range p.requests {
		if now.After(r.expiresAt) {
			delete(p.requests, id)
			p.demand.running--
			r.server.remove(r, Abandoned, now, false)
		}
	}
}

// usable says whether the server gets new requests at all.
func (s *server) usable(now time.Time) bool {
	return !s.Draining && !s.leaving && !now.Before(s.ejectedUntil)
}

// mayEject says whether one more server may be left out for its failures. Where many fail, what they fail is no fault of one.
func (p *Pool) mayEject(now time.Time) bool {
	ejected := 0

	for _, s := range p.servers {
		if s.onTrial() || now.Before(s.ejectedUntil) {
			ejected++
		}
	}

	return float64(ejected+1) <= maxEjectedFraction*float64(len(p.servers))
}

// accepts says whether the server may get the request now.
func (p *Pool) accepts(now time.Time, s *server, request *Request) bool {
	return p.hasRoom(now, s, request) && !p.isBusy(now, s, request)
}

// isBusy says whether as many prompts wait at the engine as it needs for the next moments.
func (p *Pool) isBusy(now time.Time, s *server, request *Request) bool {
	if s.engine.CacheTokens == 0 || request.AcceptAny && p.meetsTarget(now, s, request) {
		return false
	}

	backlog, most := s.backlogNow(now), maxBacklogTokens(request.Priority)

	// A prompt longer than that would wait for an engine without any, and always be passed by shorter ones.
	return backlog > 0 && backlog+min(s.prefillTokens(request), longPromptFraction*most) > most
}

// meetsTarget says whether the server is expected to answer the request within its target. One that has waited for long
// may go where more prompts wait than usual, but only for that: sent there late, it would make all that come after it
// late too, and hold memory for prompts that others share until its caller leaves. Under an overload of 90 engines this
// brings 15% more of what can be had; before, 47,000 prompt tokens waited at the median of the engines that were chosen.
func (p *Pool) meetsTarget(now time.Time, s *server, request *Request) bool {
	return p.expectedMS(now, s, request) <= milliseconds(request.Target-request.Waited)
}

// hasRoom says whether the server has a place and memory for the request.
func (p *Pool) hasRoom(now time.Time, s *server, request *Request) bool {
	if !s.usable(now) || slices.Contains(request.Excluded, s.ID) || s.onTrial() && len(s.running) > 0 {
		return false
	}

	if s.engine.CacheTokens == 0 {
		return len(s.running) < s.Slots+maxPlainQueue
	}

	foreign := s.foreignNow(now)
	tokens := float64(s.tokens+s.additionalTokens(request)) + foreign*s.meanTokens

	if len(s.running) > 0 && tokens > maxMemoryFraction*float64(s.engine.CacheTokens) {
		return false
	}

	return float64(len(s.running))+foreign < float64(s.Slots)-p.reserve(now, s, request)
}

// reserve is the number of places at an engine that are kept from the work for more urgent requests. Where long answers
// take all places, a chat waits for the end of one, which is longer than its whole target.
func (p *Pool) reserve(now time.Time, s *server, request *Request) float64 {
	if request.Priority <= 0 || now.Sub(p.urgentAt) > urgentReserveDuration {
		return 0
	}

	return urgentReserveFraction * float64(s.Slots)
}

// maxBacklogTokens is the prompt work that may wait at an engine. What waits there is read in
// the order in which it came; what waits in the pool goes by rank, and stalls no stream meanwhile.
func maxBacklogTokens(priority int) float64 {
	if priority <= 0 {
		return maxUrgentBacklogChunks * chunkTokens
	}

	return maxBacklogChunks * chunkTokens
}
