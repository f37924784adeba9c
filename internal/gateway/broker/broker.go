// Package broker asks for the upstream of each request and tells what became of it.
//
// One node holds the pool of a service and decides for all, so that the choice
// rests on one exact view. A second one, the standby, is told the same and takes
// over at once. Nodes find both by hashing over the live nodes. A node whose holder doesn't
// answer asks the standby, and else decides by its own sends: the holder is an
// efficiency, and two of them for a moment break nothing.
package broker

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	// askTimeout bounds a question to a holder. A way and back takes 3 ms between failure domains; the
	// shortest targets are 100 ms.
	askTimeout = 50 * time.Millisecond
	// doubtTime is how long a holder that did not answer isn't asked.
	doubtTime = 400 * time.Millisecond
	// askAgain is how long a queued request waits before its holder is asked again.
	askAgain = 400 * time.Millisecond
	// grantInterval is the time between two looks for room without another reason.
	grantInterval = 50 * time.Millisecond
	// waitPart is the part of its time that a request may wait in a queue.
	waitPart = 0.6
	// placeInterval is the time between two looks at the live nodes.
	placeInterval = 100 * time.Millisecond
	// flushInterval is how long reports are gathered.
	flushInterval = 4 * time.Millisecond
	// reportQueue bounds the reports that wait for one node; older ones are dropped.
	reportQueue = 4096
	// holders is the number of nodes that know a pool: the one that decides and its standby.
	holders = 2
)

// Methods between nodes.
const (
	// MethodChoose asks a holder for an upstream.
	MethodChoose = "pool.choose"
	// MethodReport tells a holder what became of requests, and a node which upstream its request got that waited.
	MethodReport = "pool.report"
)

// Peers reaches other nodes.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
	Notify(ctx context.Context, peer, method string, params any) error
}

// Options are the parts of a Broker; all are required.
type Options struct {
	// Self is this node's name.
	Self string
	// Live returns the names of the nodes that answer and stay, this one included unless it leaves.
	Live   func() []string
	Peers  Peers
	Logger zerolog.Logger
}

// Broker keeps one pool for each service. It is safe for concurrent use.
//
// Lock order: Broker.mu, then that of a pool. Neither is held during calls.
type Broker struct {
	options Options
	out     *outbox

	mu sync.Mutex
	// pools are named by service and part.
	pools map[string]*balancer.Pool
	// layouts holds for each service how its upstreams are parted.
	layouts map[string]layout
	// nodes chooses among the live nodes; nil before the first look.
	nodes    *chooser.Chooser
	live     []string
	placedAt time.Time
	// holders caches the choice for each service; it is emptied when the nodes change.
	holders map[string][]string
	// doubted maps nodes that did not answer to the time until which they aren't asked.
	doubted map[string]time.Time
	// waiting maps this node's requests that wait in a pool's queue to where their grant goes.
	waiting map[string]chan balancer.Grant
	// running holds this node's own requests, to tell a new holder of them.
	running map[string]running
}

// running is a request that this node sent.
type running struct {
	pool     string
	upstream string
	work     balancer.Work
	answered bool
	until    time.Time
}

// New returns a broker without services.
func New(options Options) *Broker {
	return &Broker{
		options: options,
		out:     newOutbox(options.Peers),
		pools:   make(map[string]*balancer.Pool),
		layouts: make(map[string]layout),
		holders: make(map[string][]string),
		doubted: make(map[string]time.Time),
		waiting: make(map[string]chan balancer.Grant),
		running: make(map[string]running),
	}
}

// Run sends reports until ctx ends.
func (b *Broker) Run(ctx context.Context) {
	go b.grantRegularly(ctx)
	b.out.run(ctx)
}

// Update takes in the services and upstreams of a state.
func (b *Broker) Update(state *cataloguer.State) {
	upstreams := make(map[string][]balancer.Upstream)

	for _, upstream := range state.Registry.Upstreams {
		upstreams[upstream.Service] = append(upstreams[upstream.Service], balancer.Upstream{
			ID:       upstream.ID,
			Address:  upstream.Address,
			Slots:    upstream.Slots,
			Draining: upstream.Draining,
		})
	}

	now := time.Now()
	named := make(map[string]bool)

	for _, service := range state.Configuration.Services {
		engine := balancer.Engine{}
		if service.Engine != nil {
			engine = balancer.Engine{CacheTokens: service.Engine.CacheTokens, EventTokens: service.Engine.EventTokens}
		}

		parts := split(upstreams[service.Name])
		b.setLayout(service.Name, newLayout(parts))

		for i, part := range parts {
			name := poolName(service.Name, i)
			named[name] = true
			b.pool(name).SetUpstreams(now, part, engine)
		}
	}

	b.dropOthers(named)
	b.grantAll(now)
}

func (b *Broker) setLayout(service string, l layout) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.layouts[service] = l
}

func (b *Broker) dropOthers(named map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	maps.DeleteFunc(b.pools, func(name string, _ *balancer.Pool) bool { return !named[name] })
}

// poolOf returns the name of the pool for a request: the same one for requests of one session.
func (b *Broker) poolOf(service string, work *balancer.Work) string {
	b.mu.Lock()
	l := b.layouts[service]
	b.mu.Unlock()

	return poolName(service, l.part(work))
}

func (b *Broker) pool(service string) *balancer.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()

	pool, ok := b.pools[service]
	if !ok {
		pool = balancer.NewPool()
		b.pools[service] = pool
	}

	return pool
}

// holdersOf returns the nodes that know the service's pool, the one that decides first.
func (b *Broker) holdersOf(service string) []string {
	now := time.Now()

	b.mu.Lock()

	var changed bool
	if now.Sub(b.placedAt) >= placeInterval {
		b.placedAt = now
		changed = b.place()
	}

	chosen, ok := b.holders[service]
	if !ok {
		chosen = b.nodes.Several(service, holders)
		b.holders[service] = chosen
	}
	b.mu.Unlock()

	if changed {
		b.introduce()
	}

	return chosen
}

// place looks at the live nodes and reports whether they changed; b.mu is held.
func (b *Broker) place() bool {
	live := b.options.Live()
	slices.Sort(live)

	if b.nodes != nil && slices.Equal(live, b.live) {
		return false
	}

	b.live, b.nodes = live, b.nodes.Among(live)
	clear(b.holders)

	return true
}

// introduce tells the holders of all pools what this node has running. A holder that took over
// would else take busy upstreams for idle ones.
func (b *Broker) introduce() {
	now := time.Now()
	own := make(map[string]running)

	b.mu.Lock()
	for id, r := range b.running {
		if now.After(r.until) {
			delete(b.running, id)

			continue
		}

		own[id] = r
	}
	b.mu.Unlock()

	for id, r := range own {
		b.tell(r.pool, report{Pool: r.pool, ID: id, Begin: &begin{Upstream: r.upstream, Work: r.work, Answered: r.answered}})
	}
}

// Stats describes one pool as this node sees it.
type Stats struct {
	// Holder is the node that decides for the pool.
	Holder  string                  `json:"holder"`
	Waiting int                     `json:"waiting"`
	Servers []balancer.ServerReport `json:"servers"`
}

// Stats returns the state of all pools by service.
func (b *Broker) Stats(now time.Time) map[string]Stats {
	b.mu.Lock()
	services := slices.Collect(maps.Keys(b.pools))
	b.mu.Unlock()

	stats := make(map[string]Stats, len(services))

	for _, service := range services {
		pool := b.pool(service)
		s := Stats{Waiting: pool.Waiting(), Servers: pool.Report(now)}

		if held := b.holdersOf(service); len(held) > 0 {
			s.Holder = held[0]
		}

		stats[service] = s
	}

	return stats
}

// Choose implements relayer.Chooser. It waits while the request is queued.
func (b *Broker) Choose(ctx context.Context, service string, work balancer.Work) (balancer.Choice, bool) {
	pool := b.poolOf(service, &work)

	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(work.Limit)*waitPart))
	defer cancel()

	// A grant may come before the answer that says that the request waits.
	granted := make(chan balancer.Grant, 1)
	b.await(work.ID, granted)
	defer b.unwait(work.ID)

	deadline := time.Now().Add(work.Limit)

	for {
		asked := b.holdersOf(pool)
		work.Limit = time.Until(deadline)

		choice, decision, by := b.askAny(ctx, asked, pool, work)

		switch decision {
		case balancer.Granted:
			b.begun(pool, work, choice, asked, by)

			return choice, true
		case balancer.Refused:
			return choice, false
		case balancer.Queued:
		}

		grant, ok := b.waitFor(ctx, granted)
		if ok && grant.Refused {
			return choice, false
		}

		if ok {
			b.begun(pool, work, grant.Choice, asked, by)

			return grant.Choice, true
		}

		if ctx.Err() != nil {
			b.end(pool, work.ID, balancer.Abandoned)

			return choice, false
		}
	}
}

// waitFor waits for a grant, but not longer than until the holder is to be asked again: it may be gone, or its grant lost.
func (b *Broker) waitFor(ctx context.Context, granted <-chan balancer.Grant) (balancer.Grant, bool) {
	timer := time.NewTimer(askAgain)
	defer timer.Stop()

	select {
	case grant := <-granted:
		return grant, true
	case <-timer.C:
	case <-ctx.Done():
	}

	return balancer.Grant{}, false
}

func (b *Broker) await(id string, granted chan balancer.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.waiting[id] = granted
}

func (b *Broker) unwait(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	delete(b.waiting, id)
}

// askAny asks the holders in their order, then this node's own pool. It returns the place of the
// holder that answered, -1 for the own pool.
func (b *Broker) askAny(ctx context.Context, asked []string, pool string, work balancer.Work) (balancer.Choice, balancer.Decision, int) {
	for i, holder := range asked {
		if holder != b.options.Self && b.isDoubted(holder) {
			continue
		}

		choice, decision, err := b.ask(ctx, holder, pool, work)
		if err == nil {
			return choice, decision, i
		}

		if ctx.Err() != nil {
			break
		}

		b.doubt(holder, pool, err)
	}

	choice, decision := b.pool(pool).Ask(time.Now(), b.options.Self, work)

	return choice, decision, -1
}

// ask lets one holder choose.
func (b *Broker) ask(ctx context.Context, holder, pool string, work balancer.Work) (balancer.Choice, balancer.Decision, error) {
	if holder == b.options.Self {
		choice, decision := b.pool(pool).Ask(time.Now(), b.options.Self, work)

		return choice, decision, nil
	}

	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	var answer chooseAnswer
	if err := b.options.Peers.Call(ctx, holder, MethodChoose, chooseParams{Pool: pool, Work: work}, &answer); err != nil {
		return balancer.Choice{}, balancer.Refused, err
	}

	return answer.Choice, answer.Decision, nil
}

// begun notes a choice and tells the holders that did not make it.
func (b *Broker) begun(pool string, work balancer.Work, choice balancer.Choice, asked []string, by int) {
	b.mu.Lock()
	b.running[work.ID] = running{pool: pool, upstream: choice.Upstream, work: work, until: time.Now().Add(work.Limit)}
	b.mu.Unlock()

	if by < 0 || asked[by] != b.options.Self {
		b.pool(pool).Begin(time.Now(), choice.Upstream, work)
	}

	for i, holder := range asked {
		if i != by && holder != b.options.Self {
			b.out.add(holder, report{Pool: pool, ID: work.ID, Begin: &begin{Upstream: choice.Upstream, Work: work}})
		}
	}
}

// tell reports to the holders of a pool other than this node.
func (b *Broker) tell(pool string, r report) {
	for _, holder := range b.holdersOf(pool) {
		if holder != b.options.Self {
			b.out.add(holder, r)
		}
	}
}

// First implements relayer.Chooser.
func (b *Broker) First(id string, load *balancer.Load) {
	b.mu.Lock()
	r, ok := b.running[id]
	r.answered = true

	if ok {
		b.running[id] = r
	}
	b.mu.Unlock()

	if !ok {
		return
	}

	b.pool(r.pool).First(time.Now(), id, load)
	b.tell(r.pool, report{Pool: r.pool, ID: id, First: true, Load: load})
}

// End implements relayer.Chooser.
func (b *Broker) End(id string, outcome balancer.Outcome) {
	b.mu.Lock()
	r, ok := b.running[id]
	delete(b.running, id)
	b.mu.Unlock()

	if ok {
		b.end(r.pool, id, outcome)
	}
}

// end tells all that know the pool that a request runs or waits no longer.
func (b *Broker) end(pool, id string, outcome balancer.Outcome) {
	now := time.Now()
	b.pool(pool).End(now, id, outcome)
	b.grant(now, pool)
	b.tell(pool, report{Pool: pool, ID: id, End: &outcome})
}

func (b *Broker) isDoubted(node string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	until, ok := b.doubted[node]

	return ok && time.Now().Before(until)
}

func (b *Broker) doubt(node, pool string, err error) {
	b.mu.Lock()
	b.doubted[node] = time.Now().Add(doubtTime)
	b.mu.Unlock()

	b.options.Logger.Info().Err(err).Str("peer", node).Str("pool", pool).Msg("holder_doubted")
}

// HandleChoose answers MethodChoose.
func (b *Broker) HandleChoose(_ context.Context, from string, params json.RawMessage) (any, error) {
	var asked chooseParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}

	choice, decision := b.pool(asked.Pool).Ask(time.Now(), from, asked.Work)

	return chooseAnswer{Choice: choice, Decision: decision}, nil
}

// HandleReport answers MethodReport.
func (b *Broker) HandleReport(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var told reportParams
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, err
	}

	now := time.Now()
	pools := make(map[string]bool)

	for _, r := range told.Reports {
		b.take(now, r)
		pools[r.Pool] = true
	}

	for pool := range pools {
		b.grant(now, pool)
	}

	return struct{}{}, nil
}

func (b *Broker) take(now time.Time, r report) {
	if r.Grant != nil {
		b.deliver(*r.Grant)

		return
	}

	pool := b.pool(r.Pool)

	if r.Begin != nil {
		pool.Begin(now, r.Begin.Upstream, r.Begin.Work)
	}

	if r.First || r.Begin != nil && r.Begin.Answered {
		pool.First(now, r.ID, r.Load)
	}

	if r.End != nil {
		pool.End(now, r.ID, *r.End)
	}
}

// grantRegularly gives room to requests for which no other event would.
func (b *Broker) grantRegularly(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			b.grantAll(now)
		}
	}
}

// grantAll looks for room in all pools.
func (b *Broker) grantAll(now time.Time) {
	b.mu.Lock()
	pools := slices.Collect(maps.Keys(b.pools))
	b.mu.Unlock()

	for _, pool := range pools {
		b.grant(now, pool)
	}
}

// grant tells the owners of requests that waited which upstream they got.
func (b *Broker) grant(now time.Time, pool string) {
	for _, g := range b.pool(pool).Next(now) {
		if g.Owner == b.options.Self {
			b.deliver(g)

			continue
		}

		b.out.add(g.Owner, report{Pool: pool, ID: g.ID, Grant: &g})
	}
}

// deliver hands a grant to the request that waits for it. One that gave up has told so itself.
func (b *Broker) deliver(grant balancer.Grant) {
	b.mu.Lock()
	granted, ok := b.waiting[grant.ID]
	b.mu.Unlock()

	if !ok {
		return
	}

	select {
	case granted <- grant:
	default:
	}
}
