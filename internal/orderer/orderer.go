package orderer

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/fencer"
	"quincepath.example/quincepath/internal/sleeper"
)

// Orderer sends orders to the engines of one service while this node is the candidate and holds the lease.
type Orderer struct {
	options     Options
	fencer      *fencer.Fencer
	loadLimiter *loadLimiter
	// retries has the retry state of orders that failed, by upstream and order.
	retries map[string]*retryState
	// crashes blocks orders that crash engines, for all engines.
	crashes crashTracker
	// unloadFirst is the name of the only upstream that may unload before it loads; empty if none has started to.
	unloadFirst string
	// highestSeenFencing is the highest fencing number that any engine has reported.
	highestSeenFencing int64
}

// New returns an Orderer. It makes no calls before Run.
func New(options Options) *Orderer {
	options = options.withDefaults()

	return &Orderer{
		options: options,
		fencer: fencer.New(fencer.Options{
			Store:       options.Store,
			Prefix:      servicePrefix(options.Service),
			Node:        options.Node,
			Incarnation: options.Incarnation,
			CallTimeout: options.CallTimeout,
		}),
		retries: make(map[string]*retryState),
		crashes: make(crashTracker),
	}
}

// Run acquires terms and sends orders until ctx is done. It releases its lease before it returns.
func (o *Orderer) Run(ctx context.Context) {
	failures := newBackOff(maxAcquireDelay)

	for ctx.Err() == nil {
		service, ok := o.serviceToOrder()
		if !ok {
			sleeper.Sleep(ctx, o.options.ReconcileInterval)
			continue
		}

		bounds := ordersWithDefaults(service)

		t, err := o.acquireTerm(ctx, bounds)
		if errors.Is(err, fencer.ErrLeaseHeld) {
			sleeper.Sleep(ctx, bounds.Lease/fencer.RenewalsPerLease)
			continue
		}

		if err != nil {
			sleeper.Sleep(ctx, failures.NextBackOff())
			continue
		}

		failures.Reset()
		o.options.Counters.TermsAcquired.Add(1)
		o.options.Counters.ServicesHeld.Add(1)
		o.runTerm(ctx, t)
		o.options.Counters.ServicesHeld.Add(-1)
		// Lets another node acquire the lease first after a lost term.
		sleeper.Sleep(ctx, failures.NextBackOff())
	}
}

// serviceToOrder returns the service, and whether this node should send orders to its engines.
func (o *Orderer) serviceToOrder() (configurer.Service, bool) {
	service, ok := o.options.Settings.Service(o.options.Service)
	if !ok || !o.options.Candidates.IsCandidate(service.Name) {
		return service, false
	}

	for _, upstream := range service.Upstreams {
		if !service.DesiredOf(upstream).IsEmpty() {
			return service, true
		}
	}

	return service, false
}

// runTerm reconciles engines until the term ends or this node should no longer send orders.
func (o *Orderer) runTerm(ctx context.Context, t *term) {
	termCtx, cancel := context.WithCancel(ctx)

	var renewing sync.WaitGroup

	renewing.Go(func() { t.Renew(termCtx) })

	o.loadLimiter = newLoadLimiter()
	if service, ok := o.serviceToOrder(); ok {
		o.loadLimiter.restore(t.previousLoads, ordersWithDefaults(service).LoadTimeout)
	}

	for t.Valid() && termCtx.Err() == nil {
		service, ok := o.serviceToOrder()
		if !ok {
			break
		}

		interval := o.options.ReconcileInterval
		if o.reconcile(termCtx, t, service) {
			interval = pendingOrdersInterval
		}

		o.waitForNextRound(termCtx, max(interval, o.minReadInterval(service)), service)
	}

	if !t.Valid() {
		o.options.Counters.TermsLost.Add(1)
	}

	t.End()
	cancel()
	renewing.Wait()
	t.Release(ctx)
}

// waitForNextRound sleeps for the remaining time. It returns within ReconcileInterval after a change of the desired state or of
// the upstreams.
func (o *Orderer) waitForNextRound(ctx context.Context, remaining time.Duration, service configurer.Service) {
	for remaining > 0 && sleeper.Sleep(ctx, min(remaining, o.options.ReconcileInterval)) {
		remaining -= o.options.ReconcileInterval

		now, ok := o.serviceToOrder()
		if !ok || !reflect.DeepEqual(now.Desired, service.Desired) || !reflect.DeepEqual(now.Upstreams, service.Upstreams) {
			return
		}
	}
}

// pendingOrdersInterval is the minimum time between two rounds while orders are due.
const pendingOrdersInterval = 100 * time.Millisecond

// minReadInterval returns the minimum time between two reads of all engines' states, so that the rate of reads doesn't grow
// with the number of engines.
func (o *Orderer) minReadInterval(service configurer.Service) time.Duration {
	return time.Duration(float64(len(service.Upstreams)) / o.options.MaxReadsPerSecond * float64(time.Second))
}

const (
	initialRetryDelay = 500 * time.Millisecond
	// maxAcquireDelay is the maximum mean delay between two attempts to acquire a lease.
	maxAcquireDelay = 10 * time.Second
	// maxOrderRetryDelay is the maximum mean delay between two attempts to send an order.
	maxOrderRetryDelay = 30 * time.Second
)

// newBackOff returns an exponential backoff. Each delay is random, between half and one and a half times its mean.
func newBackOff(maxInterval time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryDelay
	b.MaxInterval = maxInterval

	return b
}

// retryState is the backoff of an order that failed.
type retryState struct {
	notBefore time.Time
	backOff   *backoff.ExponentialBackOff
}

func (o *Orderer) scheduleRetry(key string) {
	retry := o.retries[key]
	if retry == nil {
		retry = &retryState{backOff: newBackOff(maxOrderRetryDelay)}
		o.retries[key] = retry
	}

	retry.notBefore = time.Now().Add(retry.backOff.NextBackOff())
}

func (o *Orderer) isInBackoff(key string) bool {
	retry := o.retries[key]

	return retry != nil && time.Now().Before(retry.notBefore)
}

// pruneRetries drops the retry state of orders that are no longer due and can't still be in transit.
func (o *Orderer) pruneRetries(longestPause time.Duration) {
	for k, v := range o.retries {
		if time.Since(v.notBefore) > longestPause {
			delete(o.retries, k)
		}
	}
}
