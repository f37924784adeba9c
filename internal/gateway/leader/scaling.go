package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/scaler"
	"quincepath.example/quincepath/internal/sleeper"
)

const (
	// planInterval is the time between two plans.
	planInterval = 250 * time.Millisecond
	// restoreInterval is the time between two looks for the state of the former holder, before the first plan by need.
	restoreInterval = 25 * time.Millisecond
	// resendInterval is the time after which an unchanged order is sent again.
	resendInterval = 10 * time.Second
	// unavailableDelay is the time until an order is sent again for which no upstreams were available.
	unavailableDelay = time.Second
	// failureDelay is the time until a failed order is sent again.
	failureDelay = time.Second
	// minOrderInterval is the minimum time between two orders for a pool and a kind where they follow the need.
	minOrderInterval = time.Second
	// bootSlack is how much longer than the boot time of its service an ordered upstream may take until it is registered.
	bootSlack = 2 * time.Second
	// demandLogInterval is the minimum time between two log lines about the demand.
	demandLogInterval = time.Second
)

// orderKey identifies the pool and the kind of upstreams that an order is for.
type orderKey struct {
	scaler.Pool
	spot bool
}

// sentOrder is the last order for a key, when it was sent and when it may be sent again.
type sentOrder struct {
	count            int
	sentAt, resendAt time.Duration
}

// orderTerm orders upstreams in one term. It is not safe for concurrent use.
type orderTerm struct {
	*Leader
	*activeTerm

	planner  *scaler.Planner
	sent     map[orderKey]sentOrder
	exchange *demandExchange
	// restored is set once the planner has the state of the former holder.
	restored  bool
	startedAt time.Duration
	// loggedTargets holds the numbers of upstreams that were last logged by service, loggedAt when.
	loggedTargets map[string]int
	loggedAt      time.Duration
}

// orderUpstreams orders upstreams until ctx is done or the term has ended.
func (l *Leader) orderUpstreams(ctx context.Context, t *activeTerm, exchange *demandExchange) {
	o := &orderTerm{
		Leader: l, activeTerm: t, planner: scaler.New(), sent: make(map[orderKey]sentOrder), exchange: exchange, loggedTargets: make(map[string]int),
		startedAt: l.options.Now(),
	}

	for ctx.Err() == nil && !t.Ended() {
		o.sendDueOrders(ctx)
		sleeper.Sleep(ctx, o.pause())
	}
}

// pause returns the time until the next plan.
func (o *orderTerm) pause() time.Duration {
	if policy, enabled := o.options.Policy(); enabled && policy.ByNeed && !o.restored {
		return restoreInterval
	}

	return planInterval
}

// sendDueOrders plans and sends the orders that are due.
func (o *orderTerm) sendDueOrders(ctx context.Context) {
	policy, enabled := o.options.Policy()
	state := o.options.State()

	if !enabled || !state.IsComplete() {
		return
	}

	if policy.ByNeed {
		o.restored = o.exchange.pass(o.options.Now(), o.planner) || o.restored
		if !o.restored || o.options.Now() < o.formerOrdersStandAt(state.Configuration.Services) {
			// What the former holder ordered stands until it is known why.
			return
		}
	}

	sizes := scaler.CountUpstreams(state.Configuration.Services, &state.Registry.Upstreams)
	orders := o.planner.Plan(o.options.Now(), policy, state.Configuration.Services, sizes)
	o.status.setPools(sizes, orders)

	if policy.ByNeed {
		o.exchange.setCurrent(o.planner.State(o.options.Now()))
		o.reportDemand()
	}

	if policy.ByNeed {
		// Calls wait for the rate limit, so those that add upstreams go first.
		slices.SortStableFunc(orders, func(a, b scaler.Order) int {
			return cmp.Compare(reduces(a, sizes[a.Pool]), reduces(b, sizes[b.Pool]))
		})
	}

	for _, order := range orders {
		if o.isDue(order, sizes[order.Pool], policy.ByNeed) {
			o.sendOrder(ctx, order, sizes[order.Pool])
		}
	}
}

// formerOrdersStandAt returns when the upstreams that the former holder ordered are registered. The demand that it last ordered for may not
// be in the store: it was not written yet, or was lost.
func (o *orderTerm) formerOrdersStandAt(services []cataloguer.Service) time.Duration {
	if o.IsFirst {
		return o.startedAt
	}

	var longest time.Duration

	for _, service := range services {
		if service.Scaling.HasSpot() {
			longest = max(longest, service.Scaling.BootTime)
		}
	}

	return o.startedAt + longest + bootSlack
}

// reduces returns 1 if an order leaves fewer upstreams of its kind than there are, or else 0.
func reduces(order scaler.Order, size scaler.PoolSize) int {
	if order.Count < standing(order, size) {
		return 1
	}

	return 0
}

// standing returns the number of upstreams of an order's kind in its pool.
func standing(order scaler.Order, size scaler.PoolSize) int {
	if order.Spot {
		return size.Spot
	}

	return size.Regular
}

// reportDemand shows the demand to operators, and logs changes of the numbers of upstreams to reach.
func (o *orderTerm) reportDemand() {
	now := o.options.Now()
	statuses := o.planner.Status(now)
	o.status.setDemand(statuses)

	if now-o.loggedAt < demandLogInterval {
		return
	}

	for service, s := range statuses {
		if o.loggedTargets[service] == s.Target {
			continue
		}

		o.loggedTargets[service], o.loggedAt = s.Target, now
		o.options.Logger.Info().Str("service", service).Int("target", s.Target).Int("needed", s.Needed).Int("surviving", s.Surviving).
			Float64("work", s.Demand.Work).Float64("mean", s.Mean).Float64("peak", s.Peak).Int("late", s.Demand.Late).
			Int("refused", s.Demand.Refused).Bool("pressing", s.Pressing).Int64("number", o.Number).Msg("upstreams_needed")
	}
}

// isDue reports whether an order must be sent now. The same one is repeated after a while in any case, as it may have been
// lost; where upstreams are ordered by need, only while it would change something, and at most once a second.
func (o *orderTerm) isDue(order scaler.Order, size scaler.PoolSize, byNeed bool) bool {
	now := o.options.Now()
	last, known := o.sent[orderKey{Pool: order.Pool, spot: order.Spot}]
	isRepeated := known && last.count == order.Count

	if isRepeated && now < last.resendAt {
		return false
	}

	if !byNeed {
		return true
	}

	return (known && !isRepeated || standing(order, size) != order.Count) && (!known || now-last.sentAt >= minOrderInterval)
}

// sendOrder sends an order.
func (o *orderTerm) sendOrder(ctx context.Context, order scaler.Order, size scaler.PoolSize) {
	sentAt := o.options.Now()

	err := o.call(ctx, o.activeTerm, func(ctx context.Context) error {
		return o.options.Platform.OrderUpstreams(ctx, o.authority, order)
	})
	if errors.Is(err, errCallNotAllowed) {
		return
	}

	event := o.options.Logger.Info()
	resendAt := o.options.Now() + resendInterval

	switch {
	case errors.Is(err, ErrUnavailable):
		resendAt = o.options.Now() + unavailableDelay
	case err != nil:
		event = o.options.Logger.Warn()
		resendAt = o.options.Now() + failureDelay
	}

	o.sent[orderKey{Pool: order.Pool, spot: order.Spot}] = sentOrder{count: order.Count, sentAt: sentAt, resendAt: resendAt}
	o.status.countOrder(err)

	event.AnErr("reason", err).Str("service", order.Service).Str("failure_domain", order.FailureDomain).
		Bool("spot", order.Spot).Int("count", order.Count).Int("regular", size.Regular).Int("spot_standing", size.Spot).
		Int("leaving", size.Draining).Int64("number", o.Number).Msg("upstreams_ordered")
}
