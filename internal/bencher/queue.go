package bencher

import (
	"encoding/json"
	"strconv"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/placer"
	"quincepath.example/quincepath/internal/scheduler"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// envelopeBytes is a JSON-RPC 2.0 frame without its parameters.
	envelopeBytes = 64
	// headerBytes are the IP and TCP headers of a packet.
	headerBytes = 40
	// batchWindow is how long a batch of messages to one node gathers.
	batchWindow = 2 * time.Millisecond
	// firstHolder is the node that holds the first pool; each further pool lies holderStep nodes on.
	firstHolder = 1
	holderStep  = 4
)

// QueueOptions select how entry nodes reach the holder of a pool.
type QueueOptions struct {
	// Name stands in tables.
	Name string
	// Steered connects every caller to the holder of its service's pool.
	Steered bool
	// Batched sends the messages between two nodes together, once in batchWindow.
	Batched bool
	// Prefixes lets cache events choose between equally good servers.
	Prefixes bool
	// Pool is the policy of every pool.
	Pool scheduler.Options
}

// queue keeps one exact queue for each pool, at the pool's holder.
type queue struct {
	options QueueOptions
	world   World
	pools   map[string]*heldPool
	traffic Traffic
	// batches holds the open batch between two nodes.
	batches map[[2]int][]parcel
}

// parcel is one message within a batch.
type parcel struct {
	bytes   int
	deliver func()
}

// NewQueue returns the constructor of the exact queue with the given options.
func NewQueue(options QueueOptions) func(World) Policy {
	return func(world World) Policy {
		q := &queue{options: options, world: world, pools: make(map[string]*heldPool), batches: make(map[[2]int][]parcel)}

		for i, name := range sortedKeys(world.Shop.Settings.Services) {
			holder := (firstHolder + holderStep*i) % nodes
			poolOptions := options.Pool
			poolOptions.GrantPrefix = name

			if options.Prefixes {
				poolOptions.CacheHints = world.Hints
			}

			q.pools[name] = &heldPool{
				queue:   q,
				holder:  holder,
				service: world.Shop.Settings.Services[name],
				core:    scheduler.New(world.Shop.Settings.Services[name], poolOptions),
				asks:    make(map[string]*Request),
			}
		}

		return q
	}
}

// Name implements Policy.
func (q *queue) Name() string { return q.options.Name }

// Entry implements Policy.
func (q *queue) Entry(service string, random int) int {
	if q.options.Steered {
		return q.pools[service].holder
	}

	return random % nodes
}

// Acquire implements Policy.
func (q *queue) Acquire(r *Request) {
	p := q.pools[r.Service.Name]
	ask := r.ask(q.world.clock.now)
	ask.RequestID = askID(r)
	p.asks[ask.RequestID] = r

	q.send(r.Node, p.holder, ask, func() { p.submit(r, ask) })
}

// Abandon implements Policy.
func (q *queue) Abandon(r *Request) {
	p := q.pools[r.Service.Name]
	id := askID(r)

	q.send(r.Node, p.holder, id, func() {
		p.carryOut(p.core.Cancel(q.world.clock.date(), id))
	})
}

// Release implements Policy.
func (q *queue) Release(r *Request, slot dispatcher.Slot, outcome dispatcher.Outcome) {
	p := q.pools[r.Service.Name]
	report := scheduler.Report{
		Result:     outcome.Result,
		FirstToken: outcome.FirstToken,
		TokenGap:   outcome.TokenGap(),
		Tokens:     outcome.Tokens,
		Duration:   outcome.Duration,
	}

	q.send(r.Node, p.holder, report, func() {
		p.carryOut(p.core.Finish(q.world.clock.date(), slot.ID, report))
	})
}

// Report implements Policy; the exact queue needs no load reports.
func (q *queue) Report(configurer.Upstream, placer.Load) {}

// Traffic implements Policy.
func (q *queue) Traffic() Traffic { return q.traffic }

// send carries a message from node to node; the body stands for its size only.
func (q *queue) send(from, to int, body any, deliver func()) {
	if from == to {
		deliver()

		return
	}

	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}

	if q.options.Batched {
		q.gather(from, to, parcel{bytes: len(encoded), deliver: deliver})

		return
	}

	q.traffic.add(from, envelopeBytes+headerBytes+len(encoded))
	q.world.clock.after(q.hop(from, to), deliver)
}

func (q *queue) gather(from, to int, next parcel) {
	key := [2]int{from, to}
	q.batches[key] = append(q.batches[key], next)

	if len(q.batches[key]) > 1 {
		return
	}

	q.world.clock.after(batchWindow, func() {
		batch := q.batches[key]
		delete(q.batches, key)
		q.sendBatch(from, to, batch)
	})
}

func (q *queue) sendBatch(from, to int, batch []parcel) {
	bytes := envelopeBytes + headerBytes
	for i := range batch {
		bytes += batch[i].bytes + 1
	}

	q.traffic.add(from, bytes)
	q.world.clock.after(q.hop(from, to), func() {
		for i := range batch {
			batch[i].deliver()
		}
	})
}

func (q *queue) hop(from, to int) time.Duration {
	domains := q.world.Shop.Domains

	return q.world.Shop.hop(domains[from%len(domains)], domains[to%len(domains)])
}

// askID names one attempt of a request.
func askID(r *Request) string {
	return r.ID + "." + strconv.Itoa(r.number)
}

// heldPool drives the pool of one service at its holder.
type heldPool struct {
	queue   *queue
	holder  int
	service configurer.Service
	core    *scheduler.Pool
	// asks holds all requests of the run by ask id; a late decision may name an ended one.
	asks map[string]*Request
	// tick is the time of the planned Tick; zero means none.
	tick time.Time
}

func (p *heldPool) submit(r *Request, ask dispatcher.SlotRequest) {
	p.carryOut(p.core.Submit(p.queue.world.clock.date(), scheduler.Request{
		ID:           ask.RequestID,
		Entry:        strconv.Itoa(r.Node),
		Class:        ask.Class,
		Organisation: ask.Organisation,
		Exclude:      ask.Exclude,
		Waited:       p.queue.world.clock.now - r.Arrived,
		Progress:     ask.Progress,

		NotRepeatable: !ask.Repeatable,
		Prefixes:      ask.Prefixes,
	}))
}

// carryOut sends decisions to their entries and plans the next tick.
func (p *heldPool) carryOut(decisions []scheduler.Decision) {
	copied := append([]scheduler.Decision(nil), decisions...)

	for _, d := range copied {
		r := p.asks[d.RequestID]
		p.queue.send(p.holder, r.Node, d, func() { p.apply(r, d) })
	}

	p.planTick()
}

func (p *heldPool) planTick() {
	next := p.core.NextTick()
	if next.IsZero() || next.Equal(p.tick) {
		return
	}

	p.tick = next
	clock := p.queue.world.clock
	clock.after(next.Sub(clock.date()), func() {
		if !p.tick.Equal(next) {
			return
		}

		p.tick = time.Time{}
		p.carryOut(p.core.Tick(clock.date()))
	})
}

// apply carries a decision out at the entry node.
func (p *heldPool) apply(r *Request, d scheduler.Decision) {
	answerer := p.queue.world.Answerer

	switch d.Kind {
	case scheduler.Grant:
		p.grant(r, d)
	case scheduler.Refuse:
		if r.over {
			return
		}

		answerer.Refuse(r, classifier.New(d.Code, "the pool refused the request").After(d.RetryAfter))
	case scheduler.Preempt:
		if r.attempt != nil && r.attempt.slot.ID == d.GrantID {
			answerer.Preempt(r)
		}
	}
}

// grant ignores a slot whose caller left: the cancel that is under way frees it.
func (p *heldPool) grant(r *Request, d scheduler.Decision) {
	if r.over || askID(r) != d.RequestID {
		return
	}

	p.queue.world.Answerer.Grant(r, dispatcher.Slot{
		ID:       d.GrantID,
		Upstream: p.service.Upstreams[d.Upstream],
		Priority: d.Priority,
	})
}
