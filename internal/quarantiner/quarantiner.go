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
	// stepInterval is how often a node looks for due work.
	stepInterval = 100 * time.Millisecond
	// coordinatorCount is the number of nodes that receive all crash reports: the one that decides and its standby.
	coordinatorCount = 2
	// coordinatorsKey is the key for which the coordinators are chosen.
	coordinatorsKey = "quarantine"
	// coordinatorsInterval is the time between two updates of the coordinators.
	coordinatorsInterval = 500 * time.Millisecond
	// peerTimeout is the time limit of a call to a peer.
	peerTimeout = 300 * time.Millisecond
	// maxConcurrentPeerCalls is the number of peers that are called at once.
	maxConcurrentPeerCalls = 32
	// evaluationInterval is the time between two evaluations while no new crash is reported.
	evaluationInterval = time.Second
	// resendInterval is the time between two attempts to broadcast and store quarantines that the store does not list
	// yet.
	resendInterval = time.Second
	// sweepInterval is the time between two removals of expired quarantines.
	sweepInterval = time.Minute
)

// RPC methods between nodes.
const (
	// MethodReport tells a coordinator which requests ran on upstreams that crashed.
	MethodReport = "quarantine.report"
	// MethodQueryAnswered asks a node which requests it saw answered.
	MethodQueryAnswered = "quarantine.testify"
	// MethodQuarantine tells a node which requests are in quarantine.
	MethodQuarantine = "quarantine.put"
)

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
	Notify(ctx context.Context, peer, method string, params any) error
}

// Recorder stores quarantines so that they survive the loss of all nodes. Both calls must be safe to repeat.
type Recorder interface {
	Record(ctx context.Context, entries []Quarantine) error
	Release(ctx context.Context, keys []Key) error
}

// Options configure a Quarantiner; all are required.
type Options struct {
	// Self is this node's name.
	Self string
	// Live returns the names of the nodes that respond, including this one.
	Live func() []string
	// CoordinatorCandidates returns the names of the nodes among which the coordinators are chosen.
	CoordinatorCandidates func() []string
	Peers                 Peers
	// IsDown reports whether an upstream accepts no connection. It returns false if that is not known.
	IsDown   func(ctx context.Context, upstream, address string) bool
	Recorder Recorder
	Logger   zerolog.Logger
}

// Upstream is an upstream as the registry or the settings list it.
type Upstream struct {
	Instance
	// Draining is true for an upstream that is being shut down on purpose; its broken connections are no crashes.
	Draining bool
}

// Upstreams are the listed upstreams. It must not change.
type Upstreams interface {
	// Upstream returns the listed upstream with the given ID.
	Upstream(id string) (Upstream, bool)
}

// List returns Upstreams that are known one by one.
func List(upstreams []Upstream) Upstreams {
	listed := make(upstreamsByID, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream.Upstream] = upstream
	}

	return listed
}

type upstreamsByID map[string]Upstream

func (u upstreamsByID) Upstream(id string) (Upstream, bool) {
	upstream, ok := u[id]

	return upstream, ok
}

// Quarantiner detects requests that crash upstreams and prevents them from running on any node. It is safe for
// concurrent use.
//
// Each node reports the requests that ran on a crashed upstream to two coordinators, which all nodes choose alike. The
// first of them asks all nodes whether a suspect was answered since its first crash. If it was not, it is quarantined:
// all nodes are told, and it is written to the platform's store, from which nodes that start later read it.
//
// Lock order: Quarantiner.mu, then the detector's, then the table's. No lock is held during calls.
type Quarantiner struct {
	options     Options
	table       *table
	detector    *detector
	answeredLog *answeredLog

	mu       sync.Mutex
	counters Counters
	// listed are the listed upstreams.
	listed Upstreams
	// failures are the upstreams on which this node's own requests broke off, oldest first.
	failures []*upstreamFailure
	// candidates are the nodes among which the coordinators are chosen.
	candidates   *chooser.Chooser
	coordinators []string
	chosenAt     time.Time
	// reporting, evaluating and resending are true while such a task runs.
	reporting, evaluating, resending bool
	evaluatedAt, resentAt, sweptAt   time.Time
}

// New returns a Quarantiner without quarantined requests.
func New(options Options) *Quarantiner {
	return &Quarantiner{
		options:     options,
		table:       newTable(),
		detector:    &detector{},
		answeredLog: &answeredLog{},
		listed:      upstreamsByID{},
	}
}

// Check returns the remaining time of the quarantine of a request, and false if the request may run.
func (q *Quarantiner) Check(key Key) (time.Duration, bool) {
	remaining, quarantined := q.table.find(time.Now(), key)
	if quarantined {
		q.count(func(c *Counters) { c.Refused++ })
	}

	return remaining, quarantined
}

// Answered records that an upstream answered a request completely.
func (q *Quarantiner) Answered(key Key) {
	q.answeredLog.add(time.Now(), key)
}

// Update replaces the listed upstreams and the quarantines that the store holds.
func (q *Quarantiner) Update(listed Upstreams, quarantined []Quarantine) {
	for _, added := range q.table.replace(quarantined) {
		q.onQuarantined(added, "store")
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	q.listed = listed
	q.confirmUnlisted()
}

// onQuarantined stops the detector from counting the crashes of a newly quarantined request against others, and logs the
// quarantine.
func (q *Quarantiner) onQuarantined(added Quarantine, source string) {
	q.detector.explain(added.Key)
	q.options.Logger.Info().Stringer("request_key", added.Key).Int("crashes", added.Crashes).
		Int64("since", added.Since).Str("source", source).Msg("request_quarantined")
}

// Run reports crashes, evaluates suspects and distributes quarantines until ctx ends.
func (q *Quarantiner) Run(ctx context.Context) {
	workers := pond.NewPool(maxConcurrentPeerCalls, pond.WithContext(ctx))

	ticker := time.NewTicker(stepInterval)
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
	coordinators := q.chooseCoordinators(now)

	for _, s := range q.startDueChecks(now) {
		go q.check(ctx, s)
	}

	if reports := q.startReports(now); len(reports) > 0 {
		go q.sendReports(ctx, coordinators, reports)
	}

	if len(coordinators) == 0 || coordinators[0] != q.options.Self {
		return
	}

	if q.startResend(now) {
		go q.resend(ctx, workers)
	}

	if suspects := q.startEvaluation(now); len(suspects) > 0 {
		go q.evaluateSuspects(ctx, workers, suspects)
	}

	if q.startSweep(now) {
		go q.sweep(ctx)
	}
}

// chooseCoordinators returns the present coordinators. After a change, all crashes that this node saw are reported
// again, since the new coordinators do not know them.
func (q *Quarantiner) chooseCoordinators(now time.Time) []string {
	q.mu.Lock()
	chosen, isFresh := q.coordinators, now.Sub(q.chosenAt) < coordinatorsInterval
	q.mu.Unlock()

	if isFresh {
		return chosen
	}

	live := slices.Sorted(slices.Values(q.options.CoordinatorCandidates()))

	q.mu.Lock()
	defer q.mu.Unlock()

	q.chosenAt = now

	nodes := q.candidates.WithNodes(live)
	if nodes == q.candidates {
		return q.coordinators
	}

	q.candidates = nodes
	chosen = nodes.ChooseN(coordinatorsKey, coordinatorCount)

	if !slices.Equal(chosen, q.coordinators) {
		q.coordinators = chosen

		for _, s := range q.failures {
			s.reported = 0
		}
	}

	return q.coordinators
}

// callPeers runs a call for each other live node concurrently and waits for all of them.
func (q *Quarantiner) callPeers(ctx context.Context, workers pond.Pool, call func(ctx context.Context, peer string)) {
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

	// The only error is the end of ctx.
	_ = group.Wait()
}
