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

// Orderer orders the engines of one service whenever this node is the candidate and holds the lease.
type Orderer struct {
	options Options
	fencer  *fencer.Fencer
	loads   *loadLimiter
	// delays holds back orders that failed, by upstream and order.
	delays map[string]*delay
	// crashes holds back orders that crash engines, at all of them.
	crashes crashes
	// swapping names the upstream that may unload before it loads; empty means that any may.
	swapping string
	// seenFencing is the highest fencing number that any engine has shown.
	seenFencing int64
}

// New returns an Orderer that does nothing before Run.
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
		delays:  make(map[string]*delay),
		crashes: make(crashes),
	}
}

// Run orders until ctx ends. It gives its lease back then.
func (o *Orderer) Run(ctx context.Context) {
	failures := newBackOff(longestTakeDelay)

	for ctx.Err() == nil {
		service, wanted := o.wanted()
		if !wanted {
			sleeper.Sleep(ctx, o.options.ReconcileInterval)
			continue
		}

		bounds := boundsOf(service)

		t, err := o.take(ctx, bounds)
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
		o.hold(ctx, t)
		o.options.Counters.ServicesHeld.Add(-1)
		// After a lost term another node goes first.
		sleeper.Sleep(ctx, failures.NextBackOff())
	}
}

// wanted says whether this node should order the service's engines.
func (o *Orderer) wanted() (configurer.Service, bool) {
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

// hold orders until the term ends or this node is no longer the candidate.
func (o *Orderer) hold(ctx context.Context, t *term) {
	work, cancel := context.WithCancel(ctx)

	var renewing sync.WaitGroup

	renewing.Go(func() { t.Renew(work) })

	o.loads = newLoadLimiter()
	if service, wanted := o.wanted(); wanted {
		o.loads.adopt(t.former, boundsOf(service).LoadTimeout)
	}

	for t.Valid() && work.Err() == nil {
		service, wanted := o.wanted()
		if !wanted {
			break
		}

		pause := o.options.ReconcileInterval
		if o.round(work, t, service) {
			pause = orderPause
		}

		o.rest(work, max(pause, o.stretch(service)), service)
	}

	if !t.Valid() {
		o.options.Counters.TermsLost.Add(1)
	}

	t.End()
	cancel()
	renewing.Wait()
	t.Release(ctx)
}

// rest sleeps until the next round, at most an interval longer than until what is desired changes.
func (o *Orderer) rest(ctx context.Context, length time.Duration, service configurer.Service) {
	for length > 0 && sleeper.Sleep(ctx, min(length, o.options.ReconcileInterval)) {
		length -= o.options.ReconcileInterval

		now, wanted := o.wanted()
		if !wanted || !reflect.DeepEqual(now.Desired, service.Desired) || !reflect.DeepEqual(now.Upstreams, service.Upstreams) {
			return
		}
	}
}

// orderPause is the time between two rounds while orders are due.
const orderPause = 100 * time.Millisecond

// stretch bounds the reads of engines' states, whatever their number.
func (o *Orderer) stretch(service configurer.Service) time.Duration {
	return time.Duration(float64(len(service.Upstreams)) / o.options.MaxReadsPerSecond * float64(time.Second))
}

const (
	firstDelay = 500 * time.Millisecond
	// longestTakeDelay is the longest mean time between two attempts to take a lease.
	longestTakeDelay = 10 * time.Second
	// longestOrderDelay is the longest mean time between two attempts of an order.
	longestOrderDelay = 30 * time.Second
)

// newBackOff returns delays that grow, each drawn at random from half its mean to one and a half.
func newBackOff(longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstDelay
	b.MaxInterval = longest

	return b
}

// delay is how long an order that failed is held back.
type delay struct {
	until   time.Time
	backOff *backoff.ExponentialBackOff
}

func (o *Orderer) failed(key string) {
	d := o.delays[key]
	if d == nil {
		d = &delay{backOff: newBackOff(longestOrderDelay)}
		o.delays[key] = d
	}

	d.until = time.Now().Add(d.backOff.NextBackOff())
}

func (o *Orderer) delayed(key string) bool {
	d := o.delays[key]

	return d != nil && time.Now().Before(d.until)
}

// forgetDelays drops the delays of orders that are no longer due and can't be on their way any more.
func (o *Orderer) forgetDelays(longestPause time.Duration) {
	for k, v := range o.delays {
		if time.Since(v.until) > longestPause {
			delete(o.delays, k)
		}
	}
}
