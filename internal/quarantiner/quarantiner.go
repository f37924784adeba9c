package quarantiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/storer"
)

const (
	// stepInterval is how often a node looks for due work.
	stepInterval = 100 * time.Millisecond
	// coordinatorCount is the number of nodes that receive all crash reports: the one that decides and its standbys.
	coordinatorCount = 3
	// standbyDelay is how much later than the coordinator before it each standby decides.
	standbyDelay = 500 * time.Millisecond
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
	// MethodRelease tells a node which quarantines are lifted, since an upstream answered.
	MethodRelease = "quarantine.release"
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

// Store is the part of the platform's store that renewals require. Its keys are the text form of those of quarantines, and its
// values the JSON form of what a Recorder recorded.
type Store interface {
	Get(ctx context.Context, key string) (storer.KeyValue, int64, error)
	Txn(ctx context.Context, t storer.Txn) (storer.TxnResult, error)
}

// Options configure a Quarantiner; all but Store are required.
type Options struct {
	// Self is this node's name.
	Self string
	// Live returns the names of the nodes that respond, including this one.
	Live func() []string
	// CoordinatorCandidates returns the names of the nodes among which the coordinators are chosen.
	CoordinatorCandidates func() []string
	Peers                 Peers
	// IsDown reports whether an upstream accepts no connection, or an error if that is not known. silent is set if it refuses none
	// either, so that it may only be silent.
	IsDown   func(ctx context.Context, upstream, address string) (down, silent bool, err error)
	Recorder Recorder
	// Store renews the quarantines of prompt parts; nil if requests have none.
	Store  Store
	Logger zerolog.Logger
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
// Each node reports the requests that ran on a crashed upstream, and the parts of their prompts, to the coordinators, which all
// nodes choose alike. The first of them asks all nodes whether a suspect was answered since its first crash; the others do so later,
// if it has not. If the suspect was not answered, it is quarantined: all nodes are told, and it is written to the platform's
// store, from which nodes that start later read it. A part in quarantine is tried again some time later, see trials.go.
//
// Lock order: Quarantiner.mu, then the detector's, then the table's; that of closedAnswers is held alone. No lock is held during
// calls.
type Quarantiner struct {
	options     Options
	table       *table
	detector    *detector
	answeredLog *answeredLog
	// answeredParts are the prompt parts that were answered.
	answeredParts *answeredParts
	// closedAnswers are answers of which nothing tells yet whether they were complete.
	closedAnswers *closedAnswers
	// crashed receives a value when this node finds that an upstream crashed.
	crashed chan struct{}

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
	// trials are the parts of which this node may let one request through, renewAt when it asks the store for others.
	trials  map[Key]Quarantine
	renewAt map[Key]time.Time
	// releases are the quarantines that this node found to be wrong and that are not removed from the store yet.
	releases  []Quarantine
	releasing bool
}

// New returns a Quarantiner without quarantined requests.
func New(options Options) *Quarantiner {
	return &Quarantiner{
		options:       options,
		table:         newTable(),
		detector:      &detector{},
		answeredLog:   &answeredLog{},
		answeredParts: newAnsweredParts(),
		closedAnswers: newClosedAnswers(),
		crashed:       make(chan struct{}, 1),
		listed:        upstreamsByID{},
		trials:        make(map[Key]Quarantine),
		renewAt:       make(map[Key]time.Time),
	}
}

// Verdict is what the quarantine says of a request.
type Verdict struct {
	// Remaining is how much longer the request must not run.
	Remaining time.Duration
	// Part is the ID of the prompt part that is in quarantine; empty if it is the whole request.
	Part string
	// Trial is the key of a part of which this request is the trial; the zero Key if it is none. Such a request may run once.
	Trial Key
}

// Check returns what the quarantine says of a request, and false if the request must not run. A request that was admitted as a
// trial passes the verdict's Trial when it is checked again, and the zero Key before.
func (q *Quarantiner) Check(traits Traits, trial Key) (Verdict, bool) {
	now := time.Now()

	if found, ok := q.table.find(now, traits.Content); ok {
		q.count(func(c *Counters) { c.Refused++ })

		return Verdict{Remaining: found.remaining(now)}, false
	}

	verdict := Verdict{Trial: trial}

	found, ok := q.table.findPart(now, traits.Parts, trial)
	if !ok {
		return verdict, true
	}

	if trial == (Key{}) && q.takeTrial(now, found) {
		return Verdict{Trial: found.Key}, true
	}

	q.count(func(c *Counters) { c.Refused++ })

	remaining := found.remaining(now)
	if remaining <= 0 {
		remaining = q.maxRenewalDelay() + trialRetryAfter
	}

	return Verdict{Remaining: remaining, Part: found.Part}, false
}

// Answered records that an upstream answered a request completely, and successfully.
func (q *Quarantiner) Answered(traits Traits, service string) {
	q.answeredLog.add(time.Now(), traits.Content)
	q.Survived(traits, service)
}

// Failed records that an upstream answered a request with an error. It may not have looked at the prompt.
func (q *Quarantiner) Failed(traits Traits) {
	q.answeredLog.add(time.Now(), traits.Content)
}

// Survived records that an upstream has been answering a request for some time: none of its prompt parts crashes upstreams that
// begin to answer.
func (q *Quarantiner) Survived(traits Traits, service string) {
	now := time.Now()
	q.answeredParts.add(now, service, traits.Parts)

	if found, ok := q.table.findPart(now, traits.Parts, Key{}); ok {
		q.startRelease(found)
	}
}

// Update replaces the listed upstreams and the quarantines that the store holds. storeReturns counts its returns from older copies.
func (q *Quarantiner) Update(listed Upstreams, quarantined []Quarantine, storeReturns int64) {
	for _, added := range q.table.replace(time.Now(), quarantined, storeReturns) {
		q.onQuarantined(added, "store")
	}

	q.mu.Lock()
	former := q.listed
	q.listed = listed
	q.mu.Unlock()

	q.breakUnlisted(former, listed)

	q.mu.Lock()
	defer q.mu.Unlock()

	q.confirmUnlisted()
}

// onQuarantined stops the detector from counting the crashes of a newly quarantined request against others, and logs the
// quarantine.
func (q *Quarantiner) onQuarantined(added Quarantine, source string) {
	q.detector.explain(added.Key)
	q.options.Logger.Info().Stringer("request_key", added.Key).Int("crashes", added.Crashes).
		Str("prompt_part", added.Part).Int("trials", added.Trials).
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
		case <-q.crashed:
			q.step(ctx, time.Now(), workers)
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

	if releases := q.startReleases(); len(releases) > 0 {
		go q.sendReleases(ctx, workers, releases)
	}

	for _, due := range q.startRenewals(now) {
		go q.renew(ctx, workers, due)
	}

	standby := slices.Index(coordinators, q.options.Self)
	if standby < 0 {
		return
	}

	if q.startResend(now) {
		go q.resend(ctx, workers)
	}

	if suspects := q.startEvaluation(now, standby); len(suspects) > 0 {
		go q.evaluateSuspects(ctx, workers, suspects)
	}

	if standby == 0 && q.startSweep(now) {
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
