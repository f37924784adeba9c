package orderer_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/orderer"
	"quincepath.example/quincepath/internal/standin/keeper"
)

const (
	service = "assistente"
	// lease and longestPause are the values in the tests' settings.
	lease        = 5 * time.Second
	longestPause = 10 * time.Second
	// downTime is how long a crashed engine doesn't respond.
	downTime = 5 * time.Second
	// convergenceTime is the documented time until all engines have their desired state after the last fault: the
	// maximum delay between attempts to acquire a term, the old lease until its end is noticed, the wait before orders to
	// engines that ignore fencing numbers, the maximum retry delay of an order, and ten seconds for rounds.
	convergenceTime = 15*time.Second + lease + lease/3 + lease + longestPause + 45*time.Second + 10*time.Second
)

// appliedOrder is an order that an engine applied.
type appliedOrder struct {
	order  orderer.Order
	number int64
	at     time.Time
}

// fakeEngine simulates an engine that applies orders.
type fakeEngine struct {
	checksFencing bool
	// loadTime is the time until a loaded model appears in the state.
	loadTime time.Duration
	// maxModels is the maximum number of loaded models; 0 means no limit.
	maxModels int
	// invalidModel is a model whose load fails.
	invalidModel string
	// crashingModel is a model whose load crashes the engine after crashDelay. The engine doesn't respond for downTime, and
	// has lost its state when it responds again.
	crashingModel string
	crashDelay    time.Duration
	crashes       int
	// crashAt is the time of the next crash; zero means none. downUntil is when it responds again after the last one.
	crashAt, downUntil time.Time
	// hidesFencing omits the highest fencing number from the state.
	hidesFencing bool

	state   orderer.State
	applied []appliedOrder
	refused int
}

// isDown crashes the engine if a crash is due, and reports whether it doesn't respond.
func (e *fakeEngine) isDown() bool {
	now := time.Now()

	if !e.crashAt.IsZero() && !now.Before(e.crashAt) {
		e.state = orderer.State{}
		e.crashAt, e.downUntil = time.Time{}, e.crashAt.Add(downTime)
	}

	return now.Before(e.downUntil)
}

func (e *fakeEngine) apply(order orderer.Order, fencingNumber int64) error {
	if e.checksFencing && fencingNumber < e.state.HighestFencing {
		e.refused++
		return orderer.ErrFenced
	}

	if order.Kind == orderer.LoadModel && (order.Name == e.invalidModel || e.maxModels > 0 && len(e.state.Models) >= e.maxModels) {
		return errors.New("the model can't be loaded")
	}

	if order == (orderer.Order{Kind: orderer.LoadModel, Name: e.crashingModel}) {
		e.crashes++
		e.crashAt = time.Now().Add(e.crashDelay)

		return nil
	}

	e.state.HighestFencing = max(e.state.HighestFencing, fencingNumber)
	e.applied = append(e.applied, appliedOrder{order, fencingNumber, time.Now()})

	switch order.Kind {
	case orderer.LoadModel:
		e.state.Models = with(e.state.Models, order.Name)
	case orderer.UnloadModel:
		e.state.Models = without(e.state.Models, order.Name)
	case orderer.LoadAdapter:
		e.state.Adapters = with(e.state.Adapters, order.Name)
	case orderer.UnloadAdapter:
		e.state.Adapters = without(e.state.Adapters, order.Name)
	case orderer.SetRole:
		e.state.Role = order.Name
	}

	return nil
}

func sorted(names []string) []string {
	return slices.Sorted(slices.Values(names))
}

func with(names []string, name string) []string {
	return append(without(names, name), name)
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(v string) bool { return v == name })
}

// cluster simulates a store, engines, settings and the nodes that send orders. It implements Settings for all nodes.
type cluster struct {
	store *keeper.Store

	mu        sync.Mutex
	engines   map[string]*fakeEngine
	current   configurer.Service
	running   map[string]int
	candidate map[string]bool
	// outage makes all calls to the store fail.
	outage bool
}

func newCluster(desired []string, engines map[string]*fakeEngine) *cluster {
	c := &cluster{store: keeper.NewStore(keeper.StoreOptions{}), engines: engines, running: map[string]int{}, candidate: map[string]bool{}}
	c.current = configurer.Service{
		Name: service, Kind: configurer.KindEngine, Upstreams: map[string]configurer.Upstream{},
		Desired: configurer.Desired{Models: desired},
		Orders:  configurer.Orders{Lease: lease, LongestPause: longestPause, LoadsPerMinute: 600, LoadsAtOnce: 10, LoadTimeout: 20 * time.Second},
	}

	for k, v := range engines {
		c.current.Upstreams[k] = configurer.Upstream{Name: k, ChecksFencing: v.checksFencing}
	}

	return c
}

// bothKinds returns an engine that checks fencing numbers and one that ignores them.
func bothKinds() map[string]*fakeEngine {
	return map[string]*fakeEngine{"checks": {checksFencing: true}, "ignores": {}}
}

func (c *cluster) Service(string) (configurer.Service, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	s := c.current
	s.Upstreams = maps.Clone(s.Upstreams)

	return s, true
}

func (c *cluster) ActiveRequests(_ context.Context, upstream configurer.Upstream) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.running[upstream.Name], nil
}

func (c *cluster) update(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()

	do()
}

func (c *cluster) setDesiredModels(models ...string) {
	c.update(func() { c.current.Desired.Models = models })
}

// models returns the models that an engine has loaded, sorted by name.
func (c *cluster) models(name string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()

	return sorted(c.engines[name].state.Models)
}

// node runs one node's Orderer with its own faults. It implements Engines and Candidates for that node.
type node struct {
	*cluster
	name     string
	counters orderer.Counters

	// afterStateRead and beforeSend are called after an engine's state was read and before an order is sent, to pause the
	// node there.
	afterStateRead func()
	beforeSend     func(order orderer.Order, number int64)
	// faults injects faults into calls to the store.
	faults keeper.Faults
	// drop selects orders that are accepted but not applied; dropped counts them by engine.
	drop    func(order orderer.Order) bool
	dropped map[string]int
	// sentNumbers lists the fencing numbers of the orders that the node sent.
	sentNumbers []int64
}

func (c *cluster) node(name string) *node {
	c.update(func() { c.candidate[name] = true })

	return &node{cluster: c, name: name, dropped: map[string]int{}, afterStateRead: func() {}, beforeSend: func(orderer.Order, int64) {}}
}

// run starts the node, which runs until ctx is done.
func (n *node) run(ctx context.Context, group *sync.WaitGroup) {
	local := keeper.NewLocal(n.store, func(ctx context.Context, call keeper.Call) keeper.Verdict {
		n.mu.Lock()
		isDown := n.outage
		n.mu.Unlock()

		if isDown {
			return keeper.Verdict{Refuse: errors.New("outage")}
		}

		if n.faults == nil {
			return keeper.Verdict{}
		}

		return n.faults(ctx, call)
	})
	o := orderer.New(orderer.Options{
		Service: service, Node: n.name, Incarnation: "1", Store: local, Engines: n, Settings: n.cluster,
		Candidates: n, Counters: &n.counters,
	})

	group.Go(func() { o.Run(ctx) })
}

func (n *node) IsCandidate(string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.candidate[n.name]
}

func (n *node) State(_ context.Context, upstream configurer.Upstream) (orderer.State, error) {
	defer n.afterStateRead()

	n.mu.Lock()
	defer n.mu.Unlock()

	e := n.engines[upstream.Name]
	if e.isDown() {
		return orderer.State{}, errors.New("connection refused")
	}

	s := e.state
	s.Models, s.Adapters = nil, slices.Clone(s.Adapters)

	if e.hidesFencing {
		s.HighestFencing = 0
	}

	for _, v := range e.state.Models {
		if e.hasLoaded(v) {
			s.Models = append(s.Models, v)
		}
	}

	return s, nil
}

// hasLoaded reports whether the load of a model has taken its loadTime.
func (e *fakeEngine) hasLoaded(model string) bool {
	for _, v := range slices.Backward(e.applied) {
		if v.order == (orderer.Order{Kind: orderer.LoadModel, Name: model}) {
			return time.Since(v.at) >= e.loadTime
		}
	}

	return true
}

func (n *node) Send(_ context.Context, upstream configurer.Upstream, order orderer.Order, fencingNumber int64) error {
	n.beforeSend(order, fencingNumber)

	n.mu.Lock()
	defer n.mu.Unlock()

	n.sentNumbers = append(n.sentNumbers, fencingNumber)

	if n.drop != nil && n.drop(order) {
		n.dropped[upstream.Name]++
		return nil
	}

	e := n.engines[upstream.Name]
	if e.isDown() {
		return errors.New("connection refused")
	}

	return e.apply(order, fencingNumber)
}

// runSimulation runs the nodes in virtual time until scenario returns.
func runSimulation(t *testing.T, scenario func(t *testing.T, start func(n *node))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())

		var group sync.WaitGroup

		// Deferred, so that it also runs after a failed check: synctest panics if goroutines remain.
		defer func() {
			cancel()
			group.Wait()
			// Lets delayed calls to the store return.
			time.Sleep(time.Hour)
		}()

		scenario(t, func(n *node) { n.run(ctx, &group) })
	})
}

func checkModels(t assert.TestingT, c *cluster, want ...string) {
	for name := range c.engines {
		assert.DeepEqual(t, c.models(name), want)
	}
}

// checkNumbersAscend fails if an engine applied an order with a lower fencing number than an earlier one.
func checkNumbersAscend(t assert.TestingT, name string, e *fakeEngine) {
	for i := 1; i < len(e.applied); i++ {
		assert.Assert(t, e.applied[i].number >= e.applied[i-1].number, "%s applied %s", name, fmt.Sprint(e.applied))
	}
}
