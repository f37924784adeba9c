package leader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/scaler"
	"quincepath.example/quincepath/internal/sleeper"
)

const (
	// planInterval is the time between two looks at what stands.
	planInterval = 250 * time.Millisecond
	// repeatInterval is the time after which an order that holds is sent once more.
	repeatInterval = 10 * time.Second
	// unavailablePause is how long an order isn't repeated for which none were available.
	unavailablePause = time.Second
	// failedPause is how long an order isn't repeated that the platform didn't answer well.
	failedPause = time.Second
)

// subject is what an order is about.
type subject struct {
	scaler.Pool
	spot bool
}

// ordered is the last order of a subject and when it may be sent again.
type ordered struct {
	count int
	next  time.Duration
}

// orderUpstreams orders upstreams until ctx ends or the term is over.
func (l *Leader) orderUpstreams(ctx context.Context, t *tenure) {
	planner := scaler.New()
	sent := make(map[subject]ordered)

	for ctx.Err() == nil && !t.Ended() {
		l.planRound(ctx, t, planner, sent)
		sleeper.Sleep(ctx, planInterval)
	}
}

// planRound looks at what stands and sends the orders that are due.
func (l *Leader) planRound(ctx context.Context, t *tenure, planner *scaler.Planner, sent map[subject]ordered) {
	policy, on := l.options.Policy()
	state := l.options.State()

	if !on || !state.HasConfiguration() || state.Registry.Revision == 0 {
		return
	}

	standing := scaler.CountUpstreams(state.Configuration.Services, state.Registry.Upstreams)
	orders := planner.Plan(policy, state.Configuration.Services, standing)
	l.status.plan(standing, orders)

	for _, order := range orders {
		l.order(ctx, t, sent, order, standing[order.Pool])
	}
}

// order sends an order unless it holds already.
func (l *Leader) order(ctx context.Context, t *tenure, sent map[subject]ordered, order scaler.Order, standing scaler.PoolSize) {
	about := subject{Pool: order.Pool, spot: order.Spot}

	last, known := sent[about]
	if known && last.count == order.Count && l.options.Now() < last.next {
		return
	}

	err := l.call(ctx, t, func(ctx context.Context) error {
		return l.options.Platform.OrderUpstreams(ctx, t.authority, order)
	})
	if errors.Is(err, errNotYet) {
		return
	}

	line := l.options.Logger.Info()
	next := l.options.Now() + repeatInterval

	switch {
	case errors.Is(err, ErrUnavailable):
		next = l.options.Now() + unavailablePause
	case err != nil:
		line = l.options.Logger.Warn()
		next = l.options.Now() + failedPause
	}

	sent[about] = ordered{count: order.Count, next: next}

	line.AnErr("reason", err).Str("service", order.Service).Str("failure_domain", order.FailureDomain).
		Bool("spot", order.Spot).Int("count", order.Count).Int("regular", standing.Regular).Int("spot_standing", standing.Spot).
		Int("leaving", standing.Draining).Int64("number", t.Number).Msg("upstreams_ordered")
}
