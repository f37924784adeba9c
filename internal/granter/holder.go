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
	// staleAfter is how long a pool that this node doesn't hold may go without an
	// ask before its knowledge counts as lost.
	staleAfter = 3 * time.Second
	// idlePoolFor is how long a pool that this node doesn't hold is kept without work.
	idlePoolFor = time.Minute
	// unknownServiceWait is what a caller is told when the holder's settings don't have the service yet.
	unknownServiceWait = time.Second
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
	// entry is this node's own router; nil until the router is made.
	entry *Router

	mu    sync.Mutex
	pools map[string]*heldPool
}

// NewHolder returns a holder without pools; a pool begins with its first ask.
// Its work ends with ctx.
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

	h.outbox = newOutbox(h.send)

	return h
}

// heldPool is one pool with its driver.
type heldPool struct {
	name    string
	service string
	part    int

	mu       sync.Mutex
	pool     *scheduler.Pool
	revision int64
	timer    *time.Timer
	// mine says whether this node was the pool's holder when last looked at.
	mine    bool
	lastAsk time.Time
	pacer   *pacer
	// heardAt is when each entry with grants or requests last asked or answered a comparison.
	heardAt map[string]time.Time
	// rebuildBegan is when the rebuild began that is under way; zero for none.
	rebuildBegan time.Time
}

// Stats returns the counters of all pools that this node holds or held lately, by pool.
func (h *Holder) Stats() map[string]scheduler.Stats {
	stats := make(map[string]scheduler.Stats)

	for _, p := range h.held() {
		p.mu.Lock()
		stats[p.name] = p.pool.Stats()
		p.mu.Unlock()
	}

	return stats
}

func (h *Holder) held() []*heldPool {
	h.mu.Lock()
	defer h.mu.Unlock()

	pools := make([]*heldPool, 0, len(h.pools))
	for _, p := range h.pools {
		pools = append(pools, p)
	}

	return pools
}

// take carries out the asks, releases and cancels of an entry. Releases come
// first: they free slots for the asks.
func (h *Holder) take(entry string, params askParams) askResult {
	if params.empty() {
		h.doubt()
	}

	for i := range params.Releases {
		release := &params.Releases[i]
		h.drive(h.find(release.Pool), func(now time.Time, p *scheduler.Pool) []scheduler.Decision {
			return p.Finish(now, release.GrantID, release.report())
		})
	}

	for _, cancel := range params.Cancels {
		h.drive(h.find(cancel.Pool), func(now time.Time, p *scheduler.Pool) []scheduler.Decision {
			return p.Cancel(now, cancel.ID)
		})
	}

	for _, pool := range params.Elsewhere {
		if p := h.find(pool); p != nil {
			p.hurry(entry)
		}
	}

	answers := make([]decision, len(params.Asks))
	for i := range params.Asks {
		answers[i] = h.ask(entry, &params.Asks[i])
	}

	return askResult{Answers: answers}
}

// doubt makes the next ask of each pool begin a rebuild. An entry probes with an
// empty message when this node was silent; then others may have granted in its
// place, and it would grant the same slots again.
func (h *Holder) doubt() {
	for _, p := range h.held() {
		p.mu.Lock()
		p.mine = false
		p.lastAsk = time.Time{}
		p.pacer.hurryAll()
		p.mu.Unlock()
	}
}

// ask submits one ask. The answer takes the ask's own decision along; all others go through the outbox.
func (h *Holder) ask(entry string, item *askItem) decision {
	p := h.open(item.Service, item.Part)
	if p == nil {
		return decision{State: stateRefused, ID: item.ID, Code: classifier.UnknownService, RetryAfter: unknownServiceWait}
	}

	h.claim(p)

	p.mu.Lock()
	defer p.mu.Unlock()

	p.heardAt[entry] = time.Now()

	if item.Compare {
		p.pacer.hurry(entry)
	}

	answer := decision{State: stateQueued, ID: item.ID, Pool: p.name}
	decisions := p.pool.Submit(time.Now(), item.request(entry))

	for _, d := range decisions {
		if d.RequestID == item.ID && d.Kind != scheduler.Preempt {
			answer = newDecision(p.name, d)

			continue
		}

		h.outbox.add(d.Entry, newDecision(p.name, d))
	}

	h.arm(p)

	return answer
}

// drive runs one event of a pool and sends what it decided. A nil pool is nothing to drive.
func (h *Holder) drive(p *heldPool, event func(time.Time, *scheduler.Pool) []scheduler.Decision) {
	if p == nil {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	for _, d := range event(time.Now(), p.pool) {
		h.outbox.add(d.Entry, newDecision(p.name, d))
	}

	h.logRebuild(p)
	h.arm(p)
}

// arm sets the timer of the pool's next tick. The caller holds p.mu.
func (h *Holder) arm(p *heldPool) {
	next := p.pool.NextTick()
	if next.IsZero() || h.ctx.Err() != nil {
		p.timer.Stop()

		return
	}

	p.timer.Reset(max(0, time.Until(next)))
}

func (h *Holder) tick(p *heldPool) {
	h.drive(p, func(now time.Time, pool *scheduler.Pool) []scheduler.Decision { return pool.Tick(now) })
}

func (h *Holder) find(name string) *heldPool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.pools[name]
}

// queues says whether requests wait in a pool of this node.
func (h *Holder) queues(name string) bool {
	p := h.find(name)
	if p == nil {
		return false
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	return p.pool.HasWaiting()
}

// open returns the pool, made when it is new, with the settings in force; nil when the service is unknown.
func (h *Holder) open(service string, part int) *heldPool {
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
			name:     name,
			service:  service,
			part:     part,
			pool:     scheduler.New(partOf(settings, part), options),
			revision: snapshot.Revision,
			pacer:    newPacer(h.options.ReconcileInterval, h.options.MaxReconcileInterval),
			heardAt:  make(map[string]time.Time),
		}
		p.timer = time.AfterFunc(time.Hour, func() { h.tick(p) })
		p.timer.Stop()
		h.pools[name] = p

		go h.reconcile(p)
	}

	h.mu.Unlock()
	h.refresh(p)

	return p
}

// refresh applies a newer revision of the settings.
func (h *Holder) refresh(p *heldPool) {
	snapshot := h.settings.Snapshot()

	p.mu.Lock()
	stale := snapshot.Revision > p.revision
	p.mu.Unlock()

	settings, ok := snapshot.Services[p.service]
	if !stale || !ok {
		return
	}

	h.drive(p, func(now time.Time, pool *scheduler.Pool) []scheduler.Decision {
		pool.Update(partOf(settings, p.part))
		p.revision = snapshot.Revision

		return pool.Tick(now)
	})
}

// send delivers decisions to an entry. What can't be delivered is made good by
// the entry's next ask or by the next comparison, which then comes soon.
func (h *Holder) send(entry string, decisions []decision) {
	if entry == h.options.Node && h.entry != nil {
		for _, d := range decisions {
			h.entry.decided(entry, d)
		}

		return
	}

	ctx, cancel := context.WithTimeout(h.ctx, h.options.ReconcileInterval)
	defer cancel()

	err := h.caller.Notify(ctx, entry, MethodDecided, decidedParams{Decisions: decisions})
	if err == nil {
		return
	}

	// An entry that can't be reached goes on asking; a line for each of its asks is for level debug only.
	h.options.Logger.Debug().Str("entry", entry).Int("decisions", len(decisions)).Err(err).Msg("decisions_not_delivered")

	for _, d := range decisions {
		if p := h.find(d.Pool); p != nil {
			p.hurry(entry)
		}
	}
}

// outbox sends the decisions for each entry in their order, without holding up the pools.
type outbox struct {
	send func(entry string, decisions []decision)

	mu sync.Mutex
	// waiting holds what is to be sent; an entry with a key has a goroutine that sends.
	waiting map[string][]decision
}

func newOutbox(send func(string, []decision)) *outbox {
	return &outbox{send: send, waiting: make(map[string][]decision)}
}

func (o *outbox) add(entry string, d decision) {
	o.mu.Lock()
	defer o.mu.Unlock()

	_, running := o.waiting[entry]
	o.waiting[entry] = append(o.waiting[entry], d)

	if !running {
		go o.run(entry)
	}
}

func (o *outbox) run(entry string) {
	for {
		o.mu.Lock()

		decisions := o.waiting[entry]
		if len(decisions) == 0 {
			delete(o.waiting, entry)
			o.mu.Unlock()

			return
		}

		o.waiting[entry] = nil
		o.mu.Unlock()
		o.send(entry, decisions)
	}
}

func askID(node, incarnation string, number uint64) string {
	return node + "/" + incarnation + "/" + strconv.FormatUint(number, 36)
}
