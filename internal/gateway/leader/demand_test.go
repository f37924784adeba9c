package leader_test

import (
	"context"
	"fmt"
	"maps"
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
	// storeDown is true while the store gets no calls. Writes of the demand arrive after demandDelay.
	storeDown   bool
	demandDelay time.Duration
	// stuck is true while the platform accepts orders without carrying them out.
	stuck bool
	// bootTime is how long an ordered upstream takes to run.
	bootTime time.Duration
	// ordered holds the last orders.
	ordered map[scaler.Order]int
}

type receivedOrder struct {
	scaler.Order
	at     time.Time
	before scaler.PoolSize
}

func newScaledFleet() *scaledFleet {
	f := &scaledFleet{
		store: keeper.NewStore(keeper.StoreOptions{NamesEras: true}), startedAt: time.Now(),
		sizes: make(map[scaler.Pool]scaler.PoolSize), work: 10, ordered: make(map[scaler.Order]int),
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
	f.ordered[scaler.Order{Pool: order.Pool, Spot: order.Spot}] = order.Count

	switch standing := map[bool]int{true: size.Spot, false: size.Regular}[order.Spot]; {
	case f.stuck:
	case order.Count <= standing || f.bootTime == 0:
		f.resizeLocked(order)
	default:
		time.AfterFunc(f.bootTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()

			order.Count = min(order.Count, f.ordered[scaler.Order{Pool: order.Pool, Spot: order.Spot}])
			f.resizeLocked(order)
		})
	}

	return nil
}

// resizeLocked carries out an order; f.mu must be held.
func (f *scaledFleet) resizeLocked(order scaler.Order) {
	size := f.sizes[order.Pool]
	if order.Spot {
		size.Spot = order.Count
	} else {
		size.Regular = order.Count
	}

	f.sizes[order.Pool] = size
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

func (f *scaledFleet) storeFault(_ context.Context, call keeper.Call) keeper.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()

	verdict := keeper.Verdict{LoseRequest: f.storeDown}
	if call.Kind == keeper.CallTxn && call.Key == "demand" {
		verdict.DelayBefore = f.demandDelay
	}

	return verdict
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
		Store:    keeper.NewLocal(f.store, f.storeFault),
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

// Guards against a new holder that takes back what the former one ordered, since the store lost the demand, or never got it, and the
// ordered upstreams don't run yet.
func TestOrdersStandThoughTheDemandIsLost(t *testing.T) {
	tests := map[string]struct{ killed, returns bool }{
		"holder killed":                      {killed: true},
		"store returns":                      {returns: true},
		"holder killed and store returns":    {killed: true, returns: true},
		"neither, and the demand is written": {},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, func(t *testing.T, ctx context.Context) {
				f := newScaledFleet()
				f.bootTime = 4 * time.Second
				stop := f.start(ctx, "a")

				time.Sleep(2 * time.Minute)

				loss := f.store.TakeCopy()

				f.takeOrders()
				f.setWork(30)

				for len(f.takeOrders()) == 0 {
					time.Sleep(10 * time.Millisecond)
				}

				time.Sleep(300 * time.Millisecond)

				if test.killed {
					// Nothing is written, and the lease isn't given up.
					f.setStoreDown(true)
					stop()
					f.setStoreDown(false)
				}

				if test.returns {
					f.store.Restore(loss, false)
				}

				f.setWork(10)
				defer f.start(ctx, "b")()

				f.checkOrdersStand(t)

				if !test.killed {
					stop()
				}
			})
		})
	}
}

// checkOrdersStand fails if less is ordered than before within nine seconds: the planner reduces orders after ten.
func (f *scaledFleet) checkOrdersStand(t *testing.T) {
	t.Helper()

	highest := f.lastOrders()

	for range 90 {
		time.Sleep(100 * time.Millisecond)

		for key, count := range f.lastOrders() {
			assert.Assert(t, !key.Spot || count >= highest[key], "%+v: %d after %d", key, count, highest[key])
			highest[key] = count
		}
	}
}

func (f *scaledFleet) lastOrders() map[scaler.Order]int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return maps.Clone(f.ordered)
}

func (f *scaledFleet) setStoreDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.storeDown = down
}

// Guards against a demand that a former holder wrote and that arrives in the term of the next one.
func TestDemandOfAnEarlierTermIsNotWritten(t *testing.T) {
	runSimulation(t, func(t *testing.T, ctx context.Context) {
		f := newScaledFleet()
		stop := f.start(ctx, "a")

		time.Sleep(2 * time.Minute)

		// The next holder doesn't see from the upstreams what this one orders.
		f.delayDemand(10*time.Second, true)
		f.setWork(30)
		time.Sleep(4 * time.Second)
		stop()
		f.delayDemand(0, true)

		before := f.storedDemand(t)

		// The next holder measures nothing, so it writes nothing.
		f.setWork(-1)
		defer f.start(ctx, "b")()

		time.Sleep(20 * time.Second)
		assert.Equal(t, f.storedDemand(t), before)
	})
}

func (f *scaledFleet) delayDemand(delay time.Duration, stuck bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.demandDelay, f.stuck = delay, stuck
}

func (f *scaledFleet) storedDemand(t *testing.T) string {
	t.Helper()

	found, _, err := keeper.NewLocal(f.store, nil).Get(t.Context(), "demand")
	assert.NilError(t, err)

	return string(found.Value)
}
