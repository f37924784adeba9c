package granter

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"quincepath.example/quincepath/internal/scheduler"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// nonHolderStaleAfter is the time without a slot request after which this node's state
	// of a pool that it doesn't hold counts as lost.
	nonHolderStaleAfter = 3 * time.Second
	// idlePoolTimeout is how long an idle pool that this node doesn't hold is kept.
	idlePoolTimeout = time.Minute
	// unknownServiceRetryAfter is the Retry-After of a request whose service is not in the holder's settings yet.
	unknownServiceRetryAfter = time.Second
)

// Holder runs the pools that this node holds. It is safe for concurrent use.
type Holder struct {
	ctx       context.Context
	settings  Snapshotter
	members   Members
	caller    Caller
	options   Options
	placement *placement
	outbox    *outbox
	// router is the router of this node; nil until NewRouter sets it.
	router *Router

	mu    sync.Mutex
	pools map[string]*heldPool
}

// NewHolder returns a holder without pools; the first slot request of a pool creates it.
// The holder's goroutines end with ctx.
func NewHolder(ctx context.Context, settings Snapshotter, members Members, caller Caller, options Options) *Holder {
	h := &Holder{
		ctx:       ctx,
		settings:  settings,
		members:   members,
		caller:    caller,
		options:   options.withDefaults(),
		placement: newPlacement(settings),
		pools:     make(map[string]*heldPool),
	}

	h.outbox = newOutbox(h.sendDecisions)

	return h
}

// heldPool is one pool with its timer and the state of its entries.
type heldPool struct {
	name    string
	service string
	part    int

	mu       sync.Mutex
	pool     *scheduler.Pool
	revision int64
	timer    *time.Timer
	// isHolder is whether this node was the pool's holder at the last check.
	isHolder      bool
	lastRequestAt time.Time
	schedule      *comparisonSchedule
	// lastHeardAt is when each entry with grants or requests last sent a request or answered a comparison.
	lastHeardAt map[string]time.Time
	// rebuildStartedAt is the start of the rebuild in progress; zero for none.
	rebuildStartedAt time.Time
}

// Stats returns the counters of all pools that this node holds or recently held, by pool.
func (h *Holder) Stats() map[string]scheduler.Stats {
	stats := make(map[string]scheduler.Stats)

	for _, p := range h.allPools() {
		p.mu.Lock()
		stats[p.name] = p.pool.Stats()
		p.mu.Unlock()
	}

	return stats
}

func (h *Holder) allPools() []*heldPool {
	h.mu.Lock()
	defer h.mu.Unlock()

	pools := make([]*heldPool, 0, len(h.pools))
	for _, p := range h.pools {
		pools = append(pools, p)
	}

	return pools
}

// handleMessage handles the slot requests, releases and cancellations of an entry.
// Releases come first, because they free slots for the requests.
func (h *Holder) handleMessage(entry string, params entryParams) entryResult {
	if params.empty() {
		h.markPoolsStale()
	}

	for i := range params.Releases {
		release := &params.Releases[i]
		h.apply(h.findPool(release.Pool), func(now time.Time, p *scheduler.Pool) []scheduler.Decision {
			return p.Finish(now, release.GrantID, release.schedulerReport())
		})
	}

	for _, cancel := range params.Cancels {
		h.apply(h.findPool(cancel.Pool), func(now time.Time, p *scheduler.Pool) []scheduler.Decision {
			return p.Cancel(now, cancel.ID)
		})
	}

	for _, pool := range params.MovedPools {
		if p := h.findPool(pool); p != nil {
			p.compareSoon(entry)
		}
	}

	answers := make([]decision, len(params.Requests))
	for i := range params.Requests {
		answers[i] = h.submit(entry, &params.Requests[i])
	}

	return entryResult{Answers: answers}
}

// markPoolsStale makes the next slot request of each pool start a rebuild. An entry
// probes with an empty message after this node didn't answer. Other nodes may have
// granted slots in its place meanwhile, and it would grant the same ones again.
func (h *Holder) markPoolsStale() {
	for _, p := range h.allPools() {
		p.mu.Lock()
		p.isHolder = false
		p.lastRequestAt = time.Time{}
		p.schedule.resetAll()
		p.mu.Unlock()
	}
}

// submit submits one slot request. The answer contains the decision on this request; all others go through the outbox.
func (h *Holder) submit(entry string, request *slotRequest) decision {
	p := h.openPool(request.Service, request.Part)
	if p == nil {
		return decision{State: stateRefused, ID: request.ID, Code: classifier.UnknownService, RetryAfter: unknownServiceRetryAfter}
	}

	h.rebuildIfStale(p)

	p.mu.Lock()
	defer p.mu.Unlock()

	p.lastHeardAt[entry] = time.Now()

	if request.CompareSoon {
		p.schedule.reset(entry)
	}

	answer := decision{State: stateQueued, ID: request.ID, Pool: p.name}
	decisions := p.pool.Submit(time.Now(), request.schedulerRequest(entry))

	for _, d := range decisions {
		if d.RequestID == request.ID && d.Kind != scheduler.Preempt {
			answer = newDecision(p.name, d)

			continue
		}

		h.outbox.add(d.Entry, newDecision(p.name, d))
	}

	h.scheduleTick(p)

	return answer
}

// apply applies one event to a pool and sends the resulting decisions. A nil pool is ignored.
func (h *Holder) apply(p *heldPool, event func(time.Time, *scheduler.Pool) []scheduler.Decision) {
	if p == nil {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	for _, d := range event(time.Now(), p.pool) {
		h.outbox.add(d.Entry, newDecision(p.name, d))
	}

	h.logRebuild(p)
	h.scheduleTick(p)
}

// scheduleTick sets the timer for the pool's next tick. The caller holds p.mu.
func (h *Holder) scheduleTick(p *heldPool) {
	next := p.pool.NextTick()
	if next.IsZero() || h.ctx.Err() != nil {
		p.timer.Stop()

		return
	}

	p.timer.Reset(max(0, time.Until(next)))
}

func (h *Holder) tick(p *heldPool) {
	h.apply(p, func(now time.Time, pool *scheduler.Pool) []scheduler.Decision { return pool.Tick(now) })
}

func (h *Holder) findPool(name string) *heldPool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.pools[name]
}

// hasWaiting reports whether requests wait in a pool of this node.
func (h *Holder) hasWaiting(name string) bool {
	p := h.findPool(name)
	if p == nil {
		return false
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	return p.pool.HasWaiting()
}

// openPool returns the pool with the current settings, and creates it if needed. It returns nil if the service is unknown.
func (h *Holder) openPool(service string, part int) *heldPool {
	snapshot := h.settings.Snapshot()

	settings, ok := snapshot.Services[service]
	if !ok || part < 0 || part >= poolCount(settings) {
		return nil
	}

	name := poolName(service, part)

	h.mu.Lock()

	p := h.pools[name]
	if p == nil {
		options := h.options.Pool
		options.GrantPrefix = strings.Join([]string{h.options.Node, h.options.Incarnation, name, ""}, "/")
		p = &heldPool{
			name:        name,
			service:     service,
			part:        part,
			pool:        scheduler.New(partOf(settings, part), options),
			revision:    snapshot.Revision,
			schedule:    newComparisonSchedule(h.options.ReconcileInterval, h.options.MaxReconcileInterval),
			lastHeardAt: make(map[string]time.Time),
		}
		p.timer = time.AfterFunc(time.Hour, func() { h.tick(p) })
		p.timer.Stop()
		h.pools[name] = p

		go h.reconcileLoop(p)
	}

	h.mu.Unlock()
	h.refreshSettings(p)

	return p
}

// refreshSettings applies a newer revision of the settings.
func (h *Holder) refreshSettings(p *heldPool) {
	snapshot := h.settings.Snapshot()

	p.mu.Lock()
	stale := snapshot.Revision > p.revision
	p.mu.Unlock()

	settings, ok := snapshot.Services[p.service]
	if !stale || !ok {
		return
	}

	h.apply(p, func(now time.Time, pool *scheduler.Pool) []scheduler.Decision {
		pool.Update(partOf(settings, p.part))
		p.revision = snapshot.Revision

		return pool.Tick(now)
	})
}

// sendDecisions sends decisions to an entry. The entry's next slot request or the next
// comparison, which a failure brings forward, makes up for decisions that don't arrive.
func (h *Holder) sendDecisions(entry string, decisions []decision) {
	if entry == h.options.Node && h.router != nil {
		for _, d := range decisions {
			h.router.handleDecision(entry, d)
		}

		return
	}

	ctx, cancel := context.WithTimeout(h.ctx, h.options.ReconcileInterval)
	defer cancel()

	err := h.caller.Notify(ctx, entry, MethodDecided, decidedParams{Decisions: decisions})
	if err == nil {
		return
	}

	// An entry that can't be reached goes on sending requests; level debug avoids a line for each of them.
	h.options.Logger.Debug().Str("entry", entry).Int("decisions", len(decisions)).Err(err).Msg("decisions_not_delivered")

	for _, d := range decisions {
		if p := h.findPool(d.Pool); p != nil {
			p.compareSoon(entry)
		}
	}
}

// outbox sends the decisions for each entry in order, without blocking the pools.
type outbox struct {
	send func(entry string, decisions []decision)

	mu sync.Mutex
	// queued holds the decisions to send, by entry; each key has a goroutine that sends them.
	queued map[string][]decision
}

func newOutbox(send func(string, []decision)) *outbox {
	return &outbox{send: send, queued: make(map[string][]decision)}
}

func (o *outbox) add(entry string, d decision) {
	o.mu.Lock()
	defer o.mu.Unlock()

	_, running := o.queued[entry]
	o.queued[entry] = append(o.queued[entry], d)

	if !running {
		go o.sendLoop(entry)
	}
}

func (o *outbox) sendLoop(entry string) {
	for {
		o.mu.Lock()

		decisions := o.queued[entry]
		if len(decisions) == 0 {
			delete(o.queued, entry)
			o.mu.Unlock()

			return
		}

		o.queued[entry] = nil
		o.mu.Unlock()
		o.send(entry, decisions)
	}
}

func slotRequestID(node, incarnation string, number uint64) string {
	return node + "/" + incarnation + "/" + strconv.FormatUint(number, 36)
}
