package leader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/scaler"
	"quincepath.example/quincepath/internal/sleeper"
)

const (
	// planInterval is the time between two plans.
	planInterval = 250 * time.Millisecond
	// resendInterval is the time after which an unchanged order is sent again.
	resendInterval = 10 * time.Second
	// unavailableDelay is the time until an order is sent again for which no upstreams were available.
	unavailableDelay = time.Second
	// failureDelay is the time until a failed order is sent again.
	failureDelay = time.Second
)

// orderKey identifies the pool and the kind of upstreams that an order is for.
type orderKey struct {
	scaler.Pool
	spot bool
}

// sentOrder is the last order for a key and when it may be sent again.
type sentOrder struct {
	count    int
	resendAt time.Duration
}

// orderUpstreams orders upstreams until ctx is done or the term has ended.
func (l *Leader) orderUpstreams(ctx context.Context, t *activeTerm) {
	planner := scaler.New()
	sent := make(map[orderKey]sentOrder)

	for ctx.Err() == nil && !t.Ended() {
		l.sendDueOrders(ctx, t, planner, sent)
		sleeper.Sleep(ctx, planInterval)
	}
}

// sendDueOrders plans orders for the current upstreams and sends those that are due.
func (l *Leader) sendDueOrders(ctx context.Context, t *activeTerm, planner *scaler.Planner, sent map[orderKey]sentOrder) {
	policy, enabled := l.options.Policy()
	state := l.options.State()

	if !enabled || !state.IsComplete() {
		return
	}

	sizes := scaler.CountUpstreams(state.Configuration.Services, &state.Registry.Upstreams)
	orders := planner.Plan(policy, state.Configuration.Services, sizes)
	l.status.setPools(sizes, orders)

	for _, order := range orders {
		l.sendOrder(ctx, t, sent, order, sizes[order.Pool])
	}
}

// sendOrder sends an order unless the same one was sent recently.
func (l *Leader) sendOrder(ctx context.Context, t *activeTerm, sent map[orderKey]sentOrder, order scaler.Order, size scaler.PoolSize) {
	key := orderKey{Pool: order.Pool, spot: order.Spot}

	last, known := sent[key]
	if known && last.count == order.Count && l.options.Now() < last.resendAt {
		return
	}

	err := l.call(ctx, t, func(ctx context.Context) error {
		return l.options.Platform.OrderUpstreams(ctx, t.authority, order)
	})
	if errors.Is(err, errCallNotAllowed) {
		return
	}

	event := l.options.Logger.Info()
	resendAt := l.options.Now() + resendInterval

	switch {
	case errors.Is(err, ErrUnavailable):
		resendAt = l.options.Now() + unavailableDelay
	case err != nil:
		event = l.options.Logger.Warn()
		resendAt = l.options.Now() + failureDelay
	}

	sent[key] = sentOrder{count: order.Count, resendAt: resendAt}

	event.AnErr("reason", err).Str("service", order.Service).Str("failure_domain", order.FailureDomain).
		Bool("spot", order.Spot).Int("count", order.Count).Int("regular", size.Regular).Int("spot_standing", size.Spot).
		Int("leaving", size.Draining).Int64("number", t.Number).Msg("upstreams_ordered")
}
