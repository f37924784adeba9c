package quarantiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/chooser"
)

const (
	// tick is how often a node looks at what is due.
	tick = 100 * time.Millisecond
	// judges is the number of nodes that hear of all crashes: the one that decides and its standby.
	judges = 2
	// judgesName is what the judges are chosen for.
	judgesName = "quarantine"
	// judgesInterval is the time between two looks at who the judges are.
	judgesInterval = 500 * time.Millisecond
	// peerTimeout bounds a message to a peer.
	peerTimeout = 300 * time.Millisecond
	// peerWorkers is the number of peers that are reached at once.
	peerWorkers = 32
	// lookInterval is the time between two looks for suspects while no crash is reported.
	lookInterval = time.Second
	// repeatInterval is the time between two tries to make a quarantine known and lasting.
	repeatInterval = time.Second
	// sweepInterval is the time between two looks for quarantines that are over.
	sweepInterval = time.Minute
)

// Methods between nodes.
const (
	// MethodReport tells a judge what ran on upstreams that crashed.
	MethodReport = "quarantine.report"
	// MethodQueryAnswered asks a node which requests it has seen answered.
	MethodQueryAnswered = "quarantine.testify"
	// MethodQuarantine tells a node of requests in quarantine.
	MethodQuarantine = "quarantine.put"
)

// Peers reaches other nodes.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
	Notify(ctx context.Context, peer, method string, params any) error
}

// Recorder keeps quarantines where they outlast all nodes. Both calls may be repeated.
type Recorder interface {
	Record(ctx context.Context, entries []Quarantine) error
	Release(ctx context.Context, keys []Key) error
}

// Options are the parts of a Quarantiner; all are required.
type Options struct {
	// Self is this node's name.
	Self string
	// Live returns the names of the nodes that answer, this one included.
	Live func() []string
	// CoordinatorCandidates returns the names of the nodes among which the judges are chosen.
	CoordinatorCandidates func() []string
	Peers                 Peers
	// IsDown says whether an upstream takes no connection. It returns false where that isn't known.
	IsDown   func(ctx context.Context, upstream, address string) bool
	Recorder Recorder
	Logger   zerolog.Logger
}

// Upstream is what is listed of one upstream.
type Upstream struct {
	Instance
	// Draining upstreams end by plan.
	Draining bool
}

// Quarantiner keeps requests that crash upstreams from running, on all nodes. It is safe for concurrent use.
//
// Each node reports what ran on an upstream that crashed to the judges, two nodes that all choose alike. The first of them asks
// all nodes whether a suspect was answered meanwhile. If not, it is quarantined: told to all nodes, and written to the
// platform's store, from which nodes learn of it that start later.
//
// Lock order: Quarantiner.mu, then that of the judge, then that of the table. None is held during calls.
type Quarantiner struct {
	options Options
	table   *table
	judge   *judge
	witness *witness

	mu       sync.Mutex
	counters Counters
	// listed are the upstreams by their id.
	listed map[string]Upstream
	// crashes are what this node saw itself, the oldest first.
	crashes []*seen
	// nodes are those among which the judges are chosen.
	nodes    *chooser.Chooser
	judges   []string
	chosenAt time.Time
	// reporting, inquiring and repeating say that such a task is under way.
	reporting, inquiring, repeating bool
	lookedAt, repeatedAt, sweptAt   time.Time
}

// New returns a quarantiner that holds nothing.
func New(options Options) *Quarantiner {
	return &Quarantiner{
		options: options,
		table:   newTable(),
		judge:   &judge{},
		witness: &witness{},
		listed:  make(map[string]Upstream),
	}
}

// Check returns how much longer a request is in quarantine; false if it may run.
func (q *Quarantiner) Check(key Key) (time.Duration, bool) {
	left, held := q.table.find(time.Now(), key)
	if held {
		q.count(func(c *Counters) { c.Refused++ })
	}

	return left, held
}

// Answered notes that an upstream answered a request whole.
func (q *Quarantiner) Answered(key Key) {
	q.witness.note(time.Now(), key)
}

// Update takes in the listed upstreams and the quarantines that the store holds.
func (q *Quarantiner) Update(upstreams []Upstream, quarantined []Quarantine) {
	listed := make(map[string]Upstream, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream.Upstream] = upstream
	}

	for _, added := range q.table.replace(quarantined) {
		q.enter(added, "store")
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	q.listed = listed
	q.confirmUnlisted()
}

// enter notes that a request is in quarantine now.
func (q *Quarantiner) enter(added Quarantine, source string) {
	q.judge.solve(added.Key)
	q.options.Logger.Info().Stringer("request_key", added.Key).Int("crashes", added.Crashes).
		Int64("since", added.Since).Str("source", source).Msg("request_quarantined")
}

// Run reports, judges and spreads until ctx ends.
func (q *Quarantiner) Run(ctx context.Context) {
	workers := pond.NewPool(peerWorkers, pond.WithContext(ctx))

	ticker := time.NewTicker(tick)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			q.step(ctx, now, workers)
		}
	}
}

func (q *Quarantiner) step(ctx context.Context, now time.Time, workers pond.Pool) {
	chosen := q.chooseJudges(now)

	for _, s := range q.takeChecks(now) {
		go q.check(ctx, s)
	}

	if reports := q.takeReports(now); len(reports) > 0 {
		go q.sendReports(ctx, chosen, reports)
	}

	if len(chosen) == 0 || chosen[0] != q.options.Self {
		return
	}

	if q.takeRepeat(now) {
		go q.repeat(ctx, workers)
	}

	if suspects := q.takeSuspects(now); len(suspects) > 0 {
		go q.inquire(ctx, workers, suspects)
	}

	if q.takeSweep(now) {
		go q.sweep(ctx)
	}
}

// chooseJudges returns the nodes that hear of all crashes now. New ones are told of those that this node saw before.
func (q *Quarantiner) chooseJudges(now time.Time) []string {
	q.mu.Lock()
	chosen, isFresh := q.judges, now.Sub(q.chosenAt) < judgesInterval
	q.mu.Unlock()

	if isFresh {
		return chosen
	}

	live := slices.Sorted(slices.Values(q.options.CoordinatorCandidates()))

	q.mu.Lock()
	defer q.mu.Unlock()

	q.chosenAt = now

	nodes := q.nodes.WithNodes(live)
	if nodes == q.nodes {
		return q.judges
	}

	q.nodes = nodes
	chosen = nodes.ChooseN(judgesName, judges)

	if !slices.Equal(chosen, q.judges) {
		q.judges = chosen

		for _, s := range q.crashes {
			s.told = 0
		}
	}

	return q.judges
}

// onPeers runs a call for each other live node, several at once, and waits for all of them.
func (q *Quarantiner) onPeers(ctx context.Context, workers pond.Pool, call func(ctx context.Context, peer string)) {
	group := workers.NewGroupContext(ctx)

	for _, peer := range q.options.Live() {
		if peer == q.options.Self {
			continue
		}

		group.Submit(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()

			call(ctx, peer)
		})
	}

	// It fails only when ctx ends.
	_ = group.Wait()
}
