// Package leader carries out the platform duties of a deployment: calls that one node at a time makes for all.
//
// The holder stands on a term of package fencer. Whatever it does, requests don't wait for it, and go on without any holder.
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
	// candidateInterval is the time between two looks whether this node should hold the duties.
	candidateInterval = 500 * time.Millisecond
	firstDelay        = 200 * time.Millisecond
	longestDelay      = 2 * time.Second
	// callTimeout bounds one call of the platform.
	callTimeout = time.Second
	// storeTimeout bounds one call of the store.
	storeTimeout = 700 * time.Millisecond
	// failedTime is how long calls of the platform may fail before another node takes over, and restTime how long
	// this one doesn't stand for it then.
	failedTime = 3 * time.Second
	restTime   = 10 * time.Second
	// ratePart is the part of the calls that the platform accepts which the holder makes at most. A holder before it may
	// have used its part in the same second.
	ratePart = 0.5
)

// ErrUnavailable means that the platform has none of the ordered upstreams at the moment.
var ErrUnavailable = errors.New("none are available")

// Platform makes the calls.
type Platform interface {
	// ReportUsage reports a window's requests by organisation.
	ReportUsage(ctx context.Context, authority Authority, window int64, counts map[string]int64) error
	// OrderUpstreams orders upstreams. It returns ErrUnavailable if there are none at the moment.
	OrderUpstreams(ctx context.Context, authority Authority, order scaler.Order) error
}

// Peers reaches other nodes, and this one by its own name.
type Peers interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

// Options are the parts of a Leader; all are required.
type Options struct {
	// Node is the name for the platform, Self the one among peers; Incarnation names this run of the process.
	Node, Self, Incarnation string
	Store                   fencer.Store
	Platform                Platform
	Peers                   Peers
	// IsCandidate says whether this node should take the duties if nobody holds them. It only avoids contention.
	IsCandidate func() bool
	// IsLeaving says that the node stops; it gives the duties up then.
	IsLeaving func() bool
	// Nodes returns the names of the nodes that may answer, those that leave among them.
	Nodes func() []string
	State func() *cataloguer.State
	// Lease is the length of a term.
	Lease time.Duration
	// CallsPerSecond is what the platform accepts from all nodes together.
	CallsPerSecond float64
	// Window is the length of a window of usage, ReportDeadline how long after its end its report is due. No usage is reported if
	// Window is 0.
	Window, ReportDeadline time.Duration
	// Scales says that the platform takes orders of upstreams.
	Scales bool
	// Policy returns what is to be kept; false while nothing shall be ordered.
	Policy func() (scaler.Policy, bool)
	// Now is a clock that counts suspensions and that nobody sets.
	Now    func() time.Duration
	Logger zerolog.Logger
}

// Leader holds the duties when it is this node's turn. It is safe for concurrent use.
type Leader struct {
	options Options
	fencer  *fencer.Fencer
	usage   *collector.Collector
	limit   *rate.Limiter
	status  status
	// restUntil is until when this node doesn't stand for the duties, by the options' clock.
	restUntil atomic.Int64
}

// New returns a leader that holds nothing.
func New(options Options) *Leader {
	return &Leader{
		options: options,
		fencer: fencer.New(fencer.Options{
			Store: options.Store, Node: options.Self, Incarnation: options.Incarnation,
			CallTimeout: storeTimeout, Now: options.Now,
		}),
		usage: collector.New(collector.Options{
			Store: options.Store, Window: options.Window, ReportDeadline: options.ReportDeadline, Now: options.Now,
		}),
		limit: rate.NewLimiter(rate.Limit(options.CallsPerSecond*ratePart), 1),
	}
}

// Run holds the duties whenever it is this node's turn, until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	failures := backoff.NewExponentialBackOff()
	failures.InitialInterval, failures.MaxInterval = firstDelay, longestDelay

	for ctx.Err() == nil {
		if l.resting() || !l.options.IsCandidate() {
			sleeper.Sleep(ctx, candidateInterval)

			continue
		}

		term, err := l.fencer.Acquire(ctx, l.options.Lease, 0)

		switch {
		case errors.Is(err, fencer.ErrLeaseHeld):
			sleeper.Sleep(ctx, l.options.Lease/fencer.RenewalsPerLease)
		case err != nil:
			l.options.Logger.Warn().Err(err).Msg("duties_not_taken")
			sleeper.Sleep(ctx, failures.NextBackOff())
		default:
			failures.Reset()
			l.hold(ctx, term)
		}
	}
}

// resting says whether this node has given the duties up so that another one tries.
func (l *Leader) resting() bool {
	return l.options.Now() < time.Duration(l.restUntil.Load())
}

// tenure is one term of this node with what it needs for its calls.
type tenure struct {
	*fencer.Term

	authority Authority
	// settled is when the first call may leave. The holder before the last one may be this node: had both acted just now, the
	// platform would see them act in turns within the length of a lease.
	settled time.Duration
	// failing is since when calls of the platform have failed; 0 if the last one succeeded.
	failing atomic.Int64
}

// hold carries out the duties until the term is over or given up.
func (l *Leader) hold(ctx context.Context, term *fencer.Term) {
	t := &tenure{Term: term, authority: Authority{Holder: l.options.Node, Number: term.Number, Valid: term.Valid}}
	if !term.IsFirst && !term.IsContinuation {
		t.settled = l.options.Now() + l.options.Lease
	}

	l.status.begin(term.Number)
	l.options.Logger.Info().Int64("number", term.Number).Bool("first", term.IsFirst).Bool("continued", term.IsContinuation).Msg("duties_taken")

	work, cancel := context.WithCancel(ctx)

	var working sync.WaitGroup

	working.Go(func() { term.Renew(work) })

	if l.options.Window > 0 {
		working.Go(func() { l.reportUsage(work, t) })
	}

	if l.options.Scales {
		working.Go(func() { l.orderUpstreams(work, t) })
	}

	for !term.Ended() && !l.resting() && !l.options.IsLeaving() && sleeper.Sleep(work, candidateInterval) {
		l.yieldIfFailing(t)
	}

	l.options.Logger.Info().Int64("number", term.Number).Bool("lost", term.Ended()).Msg("duties_left")
	term.End()
	cancel()
	working.Wait()
	term.Release(ctx)
	l.status.end()
}

// yieldIfFailing lets another node try where the platform has not answered this one for a while.
func (l *Leader) yieldIfFailing(t *tenure) {
	now := l.options.Now()

	if since := t.failing.Load(); since > 0 && now-time.Duration(since) > failedTime {
		l.restUntil.Store(int64(now + restTime))
	}
}

// call makes one call of the platform under the term, if the term and the rate allow it.
func (l *Leader) call(ctx context.Context, t *tenure, send func(ctx context.Context) error) error {
	if l.options.Now() < t.settled || !t.Valid() {
		return errNotYet
	}

	if err := l.limit.Wait(ctx); err != nil {
		return err
	}

	// A call that is under way when the term ends could arrive after one of the next holder.
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout, t.Remaining()))
	defer cancel()

	err := send(ctx)

	switch {
	case err == nil || errors.Is(err, ErrUnavailable):
		t.failing.Store(0)
	default:
		t.failing.CompareAndSwap(0, int64(l.options.Now()))
	}

	return err
}

// errNotYet means that the term doesn't allow a call at the moment.
var errNotYet = errors.New("the term allows no call yet")
