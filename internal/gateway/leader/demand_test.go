package leader_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/leader"
	"quincepath.example/quincepath/internal/gateway/scaler"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/internal/storer"
)

// scaledFleet is a platform whose upstreams of three failure domains run as soon as they are ordered. It takes the orders of
// two nodes that measure the same demand.
type scaledFleet struct {
	store     *keeper.Store
	startedAt time.Time

	mu    sync.Mutex
	sizes map[scaler.Pool]scaler.PoolSize
	// orders holds the orders in the order of their arrival.
	orders []receivedOrder
	// work is the measured work; negative while it is unknown.
	work float64
	// stuck is true while the platform accepts orders without carrying them out.
	stuck bool
}

type receivedOrder struct {
	scaler.Order
	at     time.Time
	before scaler.PoolSize
}

func newScaledFleet() *scaledFleet {
	f := &scaledFleet{
		store: keeper.NewStore(keeper.StoreOptions{}), startedAt: time.Now(), sizes: make(map[scaler.Pool]scaler.PoolSize), work: 10,
	}

	for _, domain := range []string{"x", "y", "z"} {
		f.sizes[scaler.Pool{Service: "engines", FailureDomain: domain}] = scaler.PoolSize{Regular: 30}
	}

	return f
}

func (f *scaledFleet) ReportUsage(context.Context, leader.Authority, int64, map[string]int64) error {
	return nil
}

func (f *scaledFleet) OrderUpstreams(_ context.Context, _ leader.Authority, order scaler.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	size := f.sizes[order.Pool]
	f.orders = append(f.orders, receivedOrder{order, time.Now(), size})

	switch {
	case f.stuck:
	case order.Spot:
		size.Spot = order.Count
	default:
		size.Regular = order.Count
	}

	f.sizes[order.Pool] = size

	return nil
}

func (f *scaledFleet) state() *cataloguer.State {
	f.mu.Lock()
	defer f.mu.Unlock()

	var upstreams []cataloguer.Upstream

	for pool, size := range f.sizes {
		for i := range size.Regular + size.Spot {
			upstreams = append(upstreams, cataloguer.Upstream{
				ID: fmt.Sprint(pool.FailureDomain, i), Service: pool.Service, FailureDomain: pool.FailureDomain, Spot: i >= size.Regular,
			})
		}
	}

	spot := 0.15
	services := []cataloguer.Service{{Name: "engines", Scaling: &cataloguer.Scaling{Maximum: 60, SpotPrice: &spot, BootTime: 4 * time.Second}}}

	return &cataloguer.State{
		Configuration: cataloguer.Configuration{Version: 1, Services: services},
		Registry:      cataloguer.NewRegistry(cataloguer.Listing{Position: storer.Position{Revision: 1}, Upstreams: upstreams}),
	}
}

func (f *scaledFleet) measure(context.Context, []string) map[string]scaler.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.work < 0 {
		return nil
	}

	return map[string]scaler.Demand{"engines": {Work: f.work, Running: 90}}
}

func (f *scaledFleet) setWork(work float64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.work = work
}

// takeOrders returns the orders that arrived since the last call.
func (f *scaledFleet) takeOrders() []receivedOrder {
	f.mu.Lock()
	defer f.mu.Unlock()

	orders := f.orders
	f.orders = nil

	return orders
}

// total returns the number of upstreams.
func (f *scaledFleet) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	total := 0
	for _, size := range f.sizes {
		total += size.Regular + size.Spot
	}

	return total
}

// start runs a node until the returned function is called, which waits for its end.
func (f *scaledFleet) start(ctx context.Context, name string) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	l := leader.New(leader.Options{
		Node: name, Self: name, Incarnation: name,
		Store:    keeper.NewLocal(f.store, func(context.Context, keeper.Call) keeper.Verdict { return keeper.Verdict{} }),
		Platform: f, Peers: nil,
		IsCandidate:   func() bool { return true },
		IsLeaving:     func() bool { return false },
		Nodes:         func() []string { return nil },
		State:         f.state,
		MeasureDemand: f.measure,
		Lease:         lease, CallsPerSecond: 50, Scales: true,
		Policy: func() (scaler.Policy, bool) {
			return scaler.Policy{MaxFraction: 1, MinFraction: 0.75, ByNeed: true}, true
		},
		Now:    func() time.Duration { return time.Since(f.startedAt) },
		Logger: zerolog.Nop(),
	})

	var ended sync.WaitGroup

	ended.Go(func() { l.Run(ctx) })

	return func() {
		cancel()
		ended.Wait()
	}
}

// Guards against needless calls, and against orders that change abruptly when the duties pass to a node that has measured
// nothing yet.
func TestOrdersByNeed(t *testing.T) {
	runSimulation(t, func(t *testing.T, ctx context.Context) {
		f := newScaledFleet()
		stop := f.start(ctx, "a")

		time.Sleep(2 * time.Minute)

		reduced := f.total()
		assert.Assert(t, reduced >= 40 && reduced <= 60, "%d", reduced)

		lastAt := make(map[string]time.Time)

		for _, order := range f.takeOrders() {
			key := fmt.Sprint(order.Pool, order.Spot)
			assert.Assert(t, order.at.Sub(lastAt[key]) >= time.Second, "%+v", order)
			assert.Assert(t, order.Count != order.before.Spot || !order.Spot, "%+v", order)
			assert.Assert(t, order.Count != order.before.Regular || order.Spot, "%+v", order)
			lastAt[key] = order.at
		}

		// The demand isn't known to the next holder at first, and then is far lower.
		stop()
		f.setWork(-1)

		stop = f.start(ctx, "b")
		defer stop()

		time.Sleep(30 * time.Second)
		assert.Equal(t, len(f.takeOrders()), 0)

		f.setWork(1)
		time.Sleep(9 * time.Second)
		assert.Equal(t, f.total(), reduced)

		// What the former holder saw keeps the numbers up; they fall slowly.
		time.Sleep(15 * time.Second)
		assert.Assert(t, f.total() > reduced/2, "%d of %d", f.total(), reduced)

		// A burst raises the numbers at once, by one call a pool.
		f.takeOrders()
		f.setWork(40)
		time.Sleep(4 * time.Second)
		assert.Assert(t, f.total() >= 90, "%d", f.total())
	})
}

// Guards against orders that are repeated more than once in ten seconds while the platform doesn't carry them out.
func TestOrdersByNeedAreRepeatedRarely(t *testing.T) {
	runSimulation(t, func(t *testing.T, ctx context.Context) {
		f := newScaledFleet()
		f.stuck = true
		// Needs what is there, so that the orders stay the same.
		f.setWork(30)

		defer f.start(ctx, "a")()

		time.Sleep(30 * time.Second)

		orders := len(f.takeOrders())
		assert.Assert(t, orders >= 6 && orders <= 12, "%d", orders)
	})
}
