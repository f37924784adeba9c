// Package leader carries out the platform duties of a deployment: calls that one node at a time makes on behalf of all.
//
// The holder of the duties acts under a term of package fencer. Requests never wait for the holder, and are served without one.
package leader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"quincepath.example/quincepath/internal/fencer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/collector"
	"quincepath.example/quincepath/internal/gateway/scaler"
	"quincepath.example/quincepath/internal/sleeper"
)

const (
	// candidacyInterval is the time between two checks of whether this node should take or keep the duties.
	candidacyInterval = 500 * time.Millisecond
	minBackoff        = 200 * time.Millisecond
	maxBackoff        = 2 * time.Second
	// callTimeout is the timeout of one call to the platform.
	callTimeout = time.Second
	// storeTimeout is the timeout of one call to the store.
	storeTimeout = 700 * time.Millisecond
	// failureTimeout is how long calls to the platform may fail before this node gives up the duties. It is then not a
	// candidate for candidacyPause, so that another node takes over.
	failureTimeout = 3 * time.Second
	candidacyPause = 10 * time.Second
	// rateShare is the share of the platform's rate limit that the holder may use. The previous holder may have used its
	// share in the same second.
	rateShare = 0.5
)

// ErrUnavailable means that the platform currently has none of the ordered upstreams.
var ErrUnavailable = errors.New("none are available")

// Platform sends the calls of the duties to the platform.
type Platform interface {
	// ReportUsage reports the numbers of requests in a window by organisation.
	ReportUsage(ctx context.Context, authority Authority, window int64, counts map[string]int64) error
	// OrderUpstreams orders upstreams. It returns ErrUnavailable if the platform currently has none.
	OrderUpstreams(ctx context.Context, authority Authority, order scaler.Order) error
}

// Peers calls other nodes, and this node by its own name.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

// Options configures a Leader. All fields are required, but MeasureDemand only for a policy by need.
type Options struct {
	// Node is the node's name for the platform, Self its name among peers. Incarnation identifies this run of the process.
	Node, Self, Incarnation string
	Store                   fencer.Store
	Platform                Platform
	Peers                   Peers
	// IsCandidate reports whether this node should take the duties if no node holds them. It only reduces contention.
	IsCandidate func() bool
	// IsLeaving reports whether the node is stopping; it gives up the duties then.
	IsLeaving func() bool
	// Nodes returns the names of the nodes that may answer, including leaving ones.
	Nodes func() []string
	State func() *cataloguer.State
	// Lease is the length of a term's lease.
	Lease time.Duration
	// CallsPerSecond is the platform's rate limit for all nodes together.
	CallsPerSecond float64
	// Window is the length of a usage window. ReportDeadline is how long after the end of a window its report is due. No
	// usage is reported if Window is 0.
	Window, ReportDeadline time.Duration
	// Scales is true if the platform accepts orders of upstreams.
	Scales bool
	// Policy returns the scaling policy, and false while no upstreams must be ordered.
	Policy func() (scaler.Policy, bool)
	// MeasureDemand returns the present demand of the given services, by name. Services whose demand is unknown are left out.
	MeasureDemand func(ctx context.Context, services []string) map[string]scaler.Demand
	// Now returns the time of a monotonic clock that includes suspensions.
	Now    func() time.Duration
	Logger zerolog.Logger
}

// Leader competes for the duties and carries them out while it holds them. It is safe for concurrent use.
type Leader struct {
	options Options
	fencer  *fencer.Fencer
	usage   *collector.Collector
	limit   *rate.Limiter
	status  status
	// pausedUntil is until when this node is not a candidate, by Options.Now.
	pausedUntil atomic.Int64
	// floor is the highest number of another process's term that a node told this one though the store didn't know it.
	floor atomic.Int64
}

// New returns a Leader that doesn't hold the duties.
func New(options Options) *Leader {
	return &Leader{
		options: options,
		fencer: fencer.New(fencer.Options{
			Store: options.Store, Node: options.Self, Incarnation: options.Incarnation,
			CallTimeout: storeTimeout, Now: options.Now, ConfirmRenewals: true,
		}),
		usage: collector.New(collector.Options{
			Node: options.Node, Store: options.Store, Window: options.Window, ReportDeadline: options.ReportDeadline, Now: options.Now,
		}),
		limit: rate.NewLimiter(rate.Limit(options.CallsPerSecond*rateShare), 1),
	}
}

// Run competes for the duties and carries them out while it holds them, until ctx is done.
func (l *Leader) Run(ctx context.Context) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = minBackoff, maxBackoff

	for ctx.Err() == nil {
		if l.isPaused() || !l.options.IsCandidate() {
			sleeper.Sleep(ctx, candidacyInterval)

			continue
		}

		term, err := l.fencer.Acquire(ctx, l.options.Lease, l.floor.Load())
		l.usage.ObserveEra(l.fencer.EraSince())

		switch {
		case errors.Is(err, fencer.ErrLeaseHeld):
			sleeper.Sleep(ctx, l.options.Lease/fencer.RenewalsPerLease)
		case err != nil:
			l.options.Logger.Warn().Err(err).Msg("duties_not_taken")
			sleeper.Sleep(ctx, retryBackoff.NextBackOff())
		default:
			retryBackoff.Reset()
			l.runTerm(ctx, term)
		}
	}
}

// isPaused reports whether this node has given up the duties so that another node takes over.
func (l *Leader) isPaused() bool {
	return l.options.Now() < time.Duration(l.pausedUntil.Load())
}

// activeTerm is a term that this node holds, with the state of its calls.
type activeTerm struct {
	*fencer.Term

	authority Authority
	// callsAllowedAt is when the first call may be sent. This node may also have been the holder before the previous one. If
	// it called immediately, the platform could see calls from this node, another and this one again within one lease.
	callsAllowedAt time.Duration
	// hasAsked is true once the nodes were asked for the terms that they know. A call before that might have a number that was used.
	hasAsked atomic.Bool
	// failingSince is when calls to the platform began to fail; 0 if the last one succeeded.
	failingSince atomic.Int64
}

// runTerm carries out the duties until the term has ended or is given up.
func (l *Leader) runTerm(ctx context.Context, term *fencer.Term) {
	t := &activeTerm{Term: term, authority: Authority{Holder: l.options.Node, Number: term.Number, Valid: term.Valid}}
	if !term.IsFirst && !term.IsContinuation {
		t.callsAllowedAt = l.options.Now() + l.options.Lease
	}

	l.status.beginTerm(term.Number)
	l.options.Logger.Info().Int64("number", term.Number).Bool("first", term.IsFirst).Bool("continued", term.IsContinuation).Msg("duties_taken")

	workCtx, cancel := context.WithCancel(ctx)

	var workers sync.WaitGroup

	workers.Go(func() { term.Renew(workCtx) })

	if l.options.Window > 0 {
		workers.Go(func() { l.reportUsage(workCtx, t) })
	} else {
		t.hasAsked.Store(true)
	}

	if l.options.Scales {
		exchange := &demandExchange{}

		workers.Go(func() { l.measureDemand(workCtx, t, exchange) })
		workers.Go(func() { l.orderUpstreams(workCtx, t, exchange) })
	}

	for !term.Ended() && !l.isPaused() && !l.options.IsLeaving() && sleeper.Sleep(workCtx, candidacyInterval) {
		l.pauseIfFailing(t)
	}

	l.options.Logger.Info().Int64("number", term.Number).Bool("lost", term.Ended()).Msg("duties_left")
	term.End()
	cancel()
	workers.Wait()
	term.Release(ctx)
	l.status.endTerm()
}

// pauseIfFailing gives up the duties if calls to the platform have failed for too long, so that another node tries.
func (l *Leader) pauseIfFailing(t *activeTerm) {
	now := l.options.Now()

	if since := t.failingSince.Load(); since > 0 && now-time.Duration(since) > failureTimeout {
		l.pausedUntil.Store(int64(now + candidacyPause))
	}
}

// call makes one call to the platform under the term, if the term allows it, and waits for the rate limit.
func (l *Leader) call(ctx context.Context, t *activeTerm, send func(ctx context.Context) error) error {
	if l.options.Now() < t.callsAllowedAt || !t.hasAsked.Load() || !t.Valid() {
		return errCallNotAllowed
	}

	if err := l.limit.Wait(ctx); err != nil {
		return err
	}

	// A call in flight when the term ends could arrive after a call of the next holder.
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout, t.Remaining()))
	defer cancel()

	err := send(ctx)

	switch {
	case err == nil || errors.Is(err, ErrUnavailable):
		t.failingSince.Store(0)
	default:
		t.failingSince.CompareAndSwap(0, int64(l.options.Now()))
	}

	return err
}

// errCallNotAllowed means that the term doesn't allow a call yet, or no longer.
var errCallNotAllowed = errors.New("the term does not allow a call now")
