package throttler

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/chooser"
)

// RPC methods between nodes.
const (
	// MethodAdmit asks the node that decides for an upstream to admit a request.
	MethodAdmit = "rate_limit.admit"
	// MethodCount tells a node of a request that another one admitted.
	MethodCount = "rate_limit.count"
	// MethodLimit tells a node of a limit that is new or changed.
	MethodLimit = "rate_limit.put"
)

const (
	// admitTimeout limits a call to a node that decides.
	admitTimeout = 50 * time.Millisecond
	// notifyTimeout limits a notification to a peer.
	notifyTimeout = 300 * time.Millisecond
	// maxConcurrentNotifications is the number of peers that are notified at once.
	maxConcurrentNotifications = 32
	// admissionLifetime is how long after it was asked for an admission may be used. A frozen node would otherwise send requests
	// that were admitted seconds ago.
	admissionLifetime = time.Second
	// stepInterval is how often a node looks who decides.
	stepInterval = 100 * time.Millisecond
	// undecidedWait is the wait of a request for whose upstream no node can decide: it takes that long to find one.
	undecidedWait = time.Second
	// promiseSlack is how long after the time that it was told a node may ask before its turn is given to others.
	promiseSlack = 100 * time.Millisecond
	// decidersPerPart is the number of nodes that know what is admitted: the holder and its standby.
	decidersPerPart = 2
	// partCount is the number of parts into which upstreams are divided, each with a holder and a standby. They are known
	// before an upstream names a limit, so that its holder can admit requests at once.
	partCount = 64
)

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
	Notify(ctx context.Context, peer, method string, params any) error
}

// AdmitterOptions configure an Admitter; all are required.
type AdmitterOptions struct {
	// Self is this node's name.
	Self string
	// Live returns the names of the nodes that respond and are not leaving, this one included unless it is leaving.
	Live func() []string
	// Leaving returns the names of the nodes that respond and are leaving.
	Leaving func() []string
	// Known returns the number of nodes that may exist, this one included.
	Known func() int
	// Now returns a monotonic time that also advances while the system is suspended.
	Now    func() time.Duration
	Peers  Peers
	Logger zerolog.Logger
}

// Admitter admits the requests of all nodes to the upstreams that name rate limits. It is safe for concurrent use.
//
// Rendezvous hashing over the live nodes gives each part of the upstreams a holder and a standby. A node asks the holder
// before it sends a request to an upstream with a limit, or the standby if the holder doesn't answer, and sends nothing if
// neither admits it. A node that hears of a new or changed limit tells all others.
//
// Lock order: Admitter.mu, then the table's. No lock is held during calls.
type Admitter struct {
	options AdmitterOptions
	table   *Table

	mu sync.Mutex
	// workers send notifications; nil before Run.
	workers pond.Pool
	nodes   *chooser.Chooser
	// share is the part of the limits that this node may use together with the nodes that it reaches.
	share float64
	parts [partCount]part
	// upstreams holds what this node decides, by upstream.
	upstreams map[string]*decider
}

// part is a part of the upstreams.
type part struct {
	// holders are the holder and its standby; empty before the live nodes are known.
	holders []string
	tenure  Tenure
}

// decider is what a node that may decide for an upstream knows.
type decider struct {
	bucket Bucket
	// promises holds the times at which nodes that were refused were told to ask again. Each has a turn of its own, so that the
	// times are true.
	promises map[string]time.Time
}

// NewAdmitter returns an Admitter that knows no limit.
func NewAdmitter(options AdmitterOptions) *Admitter {
	return &Admitter{options: options, table: NewTable(), upstreams: make(map[string]*decider)}
}

// Table returns the limits that the node knows.
func (a *Admitter) Table() *Table {
	return a.table
}

// Run tracks who decides until ctx ends.
func (a *Admitter) Run(ctx context.Context) {
	a.mu.Lock()
	a.workers = pond.NewPool(maxConcurrentNotifications, pond.WithContext(ctx))
	a.mu.Unlock()

	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.step(now)
		}
	}
}

func (a *Admitter) step(now time.Time) {
	live := slices.Sorted(slices.Values(a.options.Live()))
	leaving := a.options.Leaving()
	limits := a.table.Limits()

	a.mu.Lock()
	defer a.mu.Unlock()

	if nodes := a.nodes.WithNodes(live); nodes != a.nodes {
		a.nodes = nodes
		a.updatePartsLocked(now, live, leaving)
	}

	a.share = Share(len(live)+len(leaving), a.options.Known())
	known := make(map[string]bool, len(limits))

	for _, limit := range limits {
		known[limit.Upstream] = true

		_ = a.deciderLocked(now, limit)
	}

	for upstream := range a.upstreams {
		if !known[upstream] {
			delete(a.upstreams, upstream)
		}
	}
}

// updatePartsLocked finds the holders of all parts among the live nodes. The caller holds a.mu.
func (a *Admitter) updatePartsLocked(now time.Time, live, leaving []string) {
	answers := func(node string) bool { return slices.Contains(live, node) || slices.Contains(leaving, node) }

	for i := range a.parts {
		p := &a.parts[i]
		p.holders = nil

		if len(live) > 0 {
			p.holders = a.nodes.ChooseN(strconv.Itoa(i), decidersPerPart)
		}

		p.tenure.Update(now, a.options.Self, p.holders, answers)
	}
}

// partLocked returns the part of an upstream. The caller holds a.mu.
func (a *Admitter) partLocked(upstream string) *part {
	return &a.parts[xxhash.Sum64String(upstream)%partCount]
}

// deciderLocked returns the decider for the upstream of a limit, with the limit and this node's present terms. The caller
// holds a.mu.
func (a *Admitter) deciderLocked(now time.Time, limit Limit) *decider {
	d, ok := a.upstreams[limit.Upstream]
	if !ok {
		d = &decider{bucket: NewBucket(0, CostTakingOver), promises: make(map[string]time.Time)}
		a.upstreams[limit.Upstream] = d
	}

	d.bucket.SetLimit(now, limit)

	part, cost := a.partLocked(limit.Upstream).tenure.Terms(now, a.share)
	d.bucket.SetTerms(now, part, cost)

	return d
}

// Owns reports whether this node is the holder of an upstream, which writes its limit to the store.
func (a *Admitter) Owns(upstream string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	holders := a.partLocked(upstream).holders

	return len(holders) > 0 && holders[0] == a.options.Self
}

// Version returns the version of the limit that is known of an upstream; 0 if none is.
func (a *Admitter) Version(upstream string) int64 {
	return a.table.Version(upstream)
}

// Observe takes what a response of an upstream says: the rate in requests a second, if it names one. known is the version
// of the limit that this node knew when it sent the request.
func (a *Admitter) Observe(upstream string, rate float64, named bool, known int64) {
	limit, changed := a.table.Observe(time.Now(), upstream, rate, named, known)
	if !changed {
		return
	}

	message := "upstream_rate_limit"
	if !limit.Active() {
		message = "upstream_rate_limit_ended"
	}

	a.options.Logger.Info().Str("upstream", upstream).Float64("per_second", limit.PerSecond).Int64("version", limit.Version).Msg(message)

	for _, peer := range a.options.Live() {
		if peer != a.options.Self {
			a.notify(peer, MethodLimit, limit)
		}
	}
}

// notify sends a notification without waiting for it.
func (a *Admitter) notify(peer, method string, params any) {
	a.mu.Lock()
	workers := a.workers
	a.mu.Unlock()

	if workers == nil {
		return
	}

	// The only error is the end of Run.
	_ = workers.Go(func() {
		ctx, cancel := context.WithTimeout(workers.Context(), notifyTimeout)
		defer cancel()

		if err := a.options.Peers.Notify(ctx, peer, method, params); err != nil {
			a.options.Logger.Debug().Err(err).Str("peer", peer).Str("method", method).Msg("peer_not_told")
		}
	})
}

// admitParams and the types below are the messages between nodes.
type admitParams struct {
	Limit Limit `json:"limit"`
}

type admitResult struct {
	Admitted bool `json:"admitted"`
	// WaitMS is when to ask again if the request was not admitted.
	WaitMS float64 `json:"wait_ms,omitempty"`
	// Unready is set if the node may not decide for the upstream now.
	Unready bool `json:"unready,omitempty"`
	// Limit is the limit that the node applied. It may have ended.
	Limit Limit `json:"limit"`
}

type countParams struct {
	Upstream string `json:"upstream"`
}

// Admit reports whether a request may be sent to an upstream now, and if not, when to ask again.
func (a *Admitter) Admit(ctx context.Context, upstream string) (time.Duration, bool) {
	limit, known := a.table.Get(upstream)
	if !known || !limit.Active() {
		return 0, true
	}

	a.mu.Lock()
	holders := a.partLocked(upstream).holders
	a.mu.Unlock()

	for i, holder := range holders {
		askedAt := a.options.Now()

		result, err := a.ask(ctx, holder, limit)
		if err != nil || result.Unready {
			continue
		}

		a.table.Merge(result.Limit)

		if !result.Admitted {
			return time.Duration(result.WaitMS * float64(time.Millisecond)), false
		}

		a.countElsewhere(holders, i, upstream)

		if a.options.Now()-askedAt > admissionLifetime {
			a.table.CountExpired()

			return undecidedWait, false
		}

		return 0, true
	}

	return undecidedWait, false
}

// countElsewhere tells the decider that was not asked of a request that the other one admitted.
func (a *Admitter) countElsewhere(holders []string, admittedBy int, upstream string) {
	for i, holder := range holders {
		switch {
		case i == admittedBy:
		case holder == a.options.Self:
			a.count(upstream)
		default:
			a.notify(holder, MethodCount, countParams{Upstream: upstream})
		}
	}
}

func (a *Admitter) ask(ctx context.Context, holder string, limit Limit) (admitResult, error) {
	if holder == a.options.Self {
		return a.decide(time.Now(), holder, limit), nil
	}

	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()

	var result admitResult
	err := a.options.Peers.Call(ctx, holder, MethodAdmit, admitParams{Limit: limit}, &result)

	return result, err
}

// decide admits a request that the given node wants to send.
func (a *Admitter) decide(now time.Time, from string, limit Limit) admitResult {
	a.table.Merge(limit)

	current, known := a.table.Get(limit.Upstream)
	if !known {
		current = limit
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	if !a.partLocked(limit.Upstream).tenure.Ready(now) {
		return admitResult{Unready: true}
	}

	d := a.deciderLocked(now, current)
	if d.admit(now, from) {
		return admitResult{Admitted: true, Limit: current}
	}

	return admitResult{WaitMS: float64(d.promise(now, from)) / float64(time.Millisecond), Limit: current}
}

// admit takes a request of a node if the limit admits it beside the nodes whose turn it is.
func (d *decider) admit(now time.Time, from string) bool {
	maps.DeleteFunc(d.promises, func(_ string, at time.Time) bool { return now.Sub(at) > promiseSlack })

	due := 0

	for node, at := range d.promises {
		if node != from && !at.After(now) {
			due++
		}
	}

	if !d.bucket.Admits(now) || due > 0 && d.bucket.Requests(now) < float64(due+1) {
		return false
	}

	d.bucket.Take(now)
	delete(d.promises, from)

	return true
}

// promise returns when a node that was refused may ask again: after the nodes that were refused before it.
func (d *decider) promise(now time.Time, from string) time.Duration {
	if at, ok := d.promises[from]; ok && at.After(now) {
		return at.Sub(now)
	}

	rate := d.bucket.Rate()
	if rate == 0 {
		return undecidedWait
	}

	delete(d.promises, from)

	missing := max(float64(len(d.promises)+1)-d.bucket.Requests(now), 0)
	wait := time.Duration(missing / rate * float64(time.Second))
	d.promises[from] = now.Add(wait)

	return wait
}

func (a *Admitter) count(upstream string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if d, ok := a.upstreams[upstream]; ok {
		d.bucket.TakeElsewhere(time.Now())
	}
}

// HandleAdmit handles MethodAdmit.
func (a *Admitter) HandleAdmit(_ context.Context, from string, params json.RawMessage) (any, error) {
	var request admitParams
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}

	return a.decide(time.Now(), from, request.Limit), nil
}

// HandleCount handles MethodCount.
func (a *Admitter) HandleCount(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request countParams
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}

	a.count(request.Upstream)

	return struct{}{}, nil
}

// HandleLimit handles MethodLimit.
func (a *Admitter) HandleLimit(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var limit Limit
	if err := json.Unmarshal(params, &limit); err != nil {
		return nil, err
	}

	a.table.Merge(limit)

	return struct{}{}, nil
}
