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
	// lease and pause are the bounds that the tests' settings give.
	lease = 5 * time.Second
	pause = 10 * time.Second
	// downTime is how long an engine that crashed answers nothing.
	downTime = 5 * time.Second
	// converged is the stated time in which all engines are as desired once faults are over: the
	// longest delay of a take, the old lease until it is seen gone, the wait before engines that
	// ignore numbers are ordered, the longest delay of a failed order, and ten seconds of looks.
	converged = 15*time.Second + lease + lease/3 + lease + pause + 45*time.Second + 10*time.Second
)

// took is an order that took effect at an engine.
type took struct {
	order  orderer.Order
	number int64
	at     time.Time
}

// fakeEngine holds what it was ordered to hold.
type fakeEngine struct {
	checks bool
	// loadTime is how long a load takes to show.
	loadTime time.Duration
	// room is the most models that fit; 0 means any number.
	room int
	// unknown is a model that can't be loaded.
	unknown string
	// crashing is a model whose load crashes the engine after crashTime; it answers nothing for downTime and has lost all then.
	crashing  string
	crashTime time.Duration
	crashes   int
	// crashAt is when it crashes; zero means never. downUntil is when it answers after its last crash.
	crashAt, downUntil time.Time
	// hidesNumber keeps the highest number out of the state.
	hidesNumber bool

	state   orderer.State
	took    []took
	refused int
}

// isDown lets a crash that is due happen, and says whether the engine answers nothing.
func (e *fakeEngine) isDown() bool {
	now := time.Now()

	if !e.crashAt.IsZero() && !now.Before(e.crashAt) {
		e.state = orderer.State{}
		e.crashAt, e.downUntil = time.Time{}, e.crashAt.Add(downTime)
	}

	return now.Before(e.downUntil)
}

func (e *fakeEngine) apply(order orderer.Order, number int64) error {
	if e.checks && number < e.state.HighestFencing {
		e.refused++
		return orderer.ErrFenced
	}

	if order.Kind == orderer.LoadModel && (order.Name == e.unknown || e.room > 0 && len(e.state.Models) >= e.room) {
		return errors.New("no room")
	}

	if order == (orderer.Order{Kind: orderer.LoadModel, Name: e.crashing}) {
		e.crashes++
		e.crashAt = time.Now().Add(e.crashTime)

		return nil
	}

	e.state.HighestFencing = max(e.state.HighestFencing, number)
	e.took = append(e.took, took{order, number, time.Now()})

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

// world is a store, engines, settings and the nodes that order. It is the Settings of all nodes.
type world struct {
	store *keeper.Store

	mu        sync.Mutex
	engines   map[string]*fakeEngine
	current   configurer.Service
	running   map[string]int
	candidate map[string]bool
	// outage refuses all calls of the store.
	outage bool
}

func newWorld(desired []string, engines map[string]*fakeEngine) *world {
	w := &world{store: keeper.NewStore(keeper.StoreOptions{}), engines: engines, running: map[string]int{}, candidate: map[string]bool{}}
	w.current = configurer.Service{
		Name: service, Kind: configurer.KindEngine, Upstreams: map[string]configurer.Upstream{},
		Desired: configurer.Desired{Models: desired},
		Orders:  configurer.Orders{Lease: lease, LongestPause: pause, LoadsPerMinute: 600, LoadsAtOnce: 10, LoadTimeout: 20 * time.Second},
	}

	for k, v := range engines {
		w.current.Upstreams[k] = configurer.Upstream{Name: k, ChecksFencing: v.checks}
	}

	return w
}

// both returns an engine of each kind.
func both() map[string]*fakeEngine {
	return map[string]*fakeEngine{"checks": {checks: true}, "ignores": {}}
}

func (w *world) Service(string) (configurer.Service, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	s := w.current
	s.Upstreams = maps.Clone(s.Upstreams)

	return s, true
}

func (w *world) ActiveRequests(_ context.Context, upstream configurer.Upstream) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.running[upstream.Name], nil
}

func (w *world) change(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()

	do()
}

func (w *world) desire(models ...string) {
	w.change(func() { w.current.Desired.Models = models })
}

// models returns what the engines hold, in order.
func (w *world) models(name string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()

	return sorted(w.engines[name].state.Models)
}

// node is one node's Orderer with faults of its own; it is that node's Engines and Candidates.
type node struct {
	*world
	name     string
	counters orderer.Counters

	// beforeCheck and beforeSend are run in the middle of the node's work, where it may be paused.
	beforeCheck func()
	beforeSend  func(order orderer.Order, number int64)
	// faults judges store calls.
	faults keeper.Faults
	// drop says which orders are answered but take no effect yet; dropped counts them by engine.
	drop    func(order orderer.Order) bool
	dropped map[string]int
	// sent lists the numbers of orders that left the node.
	sent []int64
}

func (w *world) node(name string) *node {
	w.change(func() { w.candidate[name] = true })

	return &node{world: w, name: name, dropped: map[string]int{}, beforeCheck: func() {}, beforeSend: func(orderer.Order, int64) {}}
}

// run starts the node; the context's end stops it.
func (n *node) run(ctx context.Context, group *sync.WaitGroup) {
	local := keeper.NewLocal(n.store, func(ctx context.Context, call keeper.Call) keeper.Verdict {
		n.mu.Lock()
		down := n.outage
		n.mu.Unlock()

		if down {
			return keeper.Verdict{Refuse: errors.New("outage")}
		}

		if n.faults == nil {
			return keeper.Verdict{}
		}

		return n.faults(ctx, call)
	})
	o := orderer.New(orderer.Options{
		Service: service, Node: n.name, Incarnation: "1", Store: local, Engines: n, Settings: n.world,
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
	defer n.beforeCheck()

	n.mu.Lock()
	defer n.mu.Unlock()

	e := n.engines[upstream.Name]
	if e.isDown() {
		return orderer.State{}, errors.New("connection refused")
	}

	s := e.state
	s.Models, s.Adapters = nil, slices.Clone(s.Adapters)

	if e.hidesNumber {
		s.HighestFencing = 0
	}

	for _, v := range e.state.Models {
		if e.shown(v) {
			s.Models = append(s.Models, v)
		}
	}

	return s, nil
}

// shown says whether a load has had its time.
func (e *fakeEngine) shown(model string) bool {
	for _, v := range slices.Backward(e.took) {
		if v.order == (orderer.Order{Kind: orderer.LoadModel, Name: model}) {
			return time.Since(v.at) >= e.loadTime
		}
	}

	return true
}

func (n *node) Send(_ context.Context, upstream configurer.Upstream, order orderer.Order, number int64) error {
	n.beforeSend(order, number)

	n.mu.Lock()
	defer n.mu.Unlock()

	n.sent = append(n.sent, number)

	if n.drop != nil && n.drop(order) {
		n.dropped[upstream.Name]++
		return nil
	}

	e := n.engines[upstream.Name]
	if e.isDown() {
		return errors.New("connection refused")
	}

	return e.apply(order, number)
}

// play runs the nodes under virtual time until do returns.
func play(t *testing.T, do func(t *testing.T, start func(n *node))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())

		var group sync.WaitGroup

		// Also after a failed check: goroutines left behind would end the whole run by a panic.
		defer func() {
			cancel()
			group.Wait()
			// Calls that the store got late still end.
			time.Sleep(time.Hour)
		}()

		do(t, func(n *node) { n.run(ctx, &group) })
	})
}

func checkModels(t assert.TestingT, w *world, want ...string) {
	for name := range w.engines {
		assert.DeepEqual(t, w.models(name), want)
	}
}

// checkOrder fails if an engine took an order with a lower number than one before.
func checkOrder(t assert.TestingT, name string, e *fakeEngine) {
	for i := 1; i < len(e.took); i++ {
		assert.Assert(t, e.took[i].number >= e.took[i-1].number, "%s took %s", name, fmt.Sprint(e.took))
	}
}
