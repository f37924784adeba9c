package broker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/chooser"
	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/broker"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/sleeper"
)

const service = "chat"

// fleet connects brokers with a message delay of one millisecond.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]*broker.Broker
	names []string
	// listing is what the registry lists.
	listing cataloguer.Listing
	// unresponsive nodes answer nothing; down ones are not live either.
	unresponsive, down map[string]bool
	// stale nodes don't know yet that restarted nodes are live again.
	stale map[string]bool
	// restarted holds the nodes that were down before.
	restarted map[string]bool
	// dropsReports holds the nodes that receive no reports.
	dropsReports map[string]bool
	// scheduling is the options of the pools of nodes that are started.
	scheduling balancer.Options
}

// nodeOptions returns the options of a node in a fleet in which no node is leaving or cut off.
func nodeOptions(self string, live func() []string, peers broker.Peers) broker.Options {
	start := time.Now()

	return broker.Options{
		Self:       self,
		Live:       live,
		Leaving:    func() []string { return nil },
		LimitShare: func() float64 { return 1 },
		Now:        func() time.Duration { return time.Since(start) },
		Peers:      peers,
		Logger:     zerolog.Nop(),
	}
}

// link connects one node to the fleet.
type link struct {
	fleet *fleet
	self  string
}

func (l link) Call(ctx context.Context, peer, method string, params, result any) error {
	f := l.fleet

	f.mu.Lock()
	node, silent := f.nodes[peer], f.unresponsive[peer] || f.unresponsive[l.self] || f.dropsReports[peer] && method == broker.MethodReport
	f.mu.Unlock()

	if silent {
		<-ctx.Done()

		return ctx.Err()
	}

	return deliver(ctx, node, l.self, method, params, result)
}

// deliver passes a message to a node, with a delay of one millisecond, and returns its answer in result.
func deliver(ctx context.Context, node *broker.Broker, from, method string, params, result any) error {
	if !sleeper.Sleep(ctx, time.Millisecond) {
		return ctx.Err()
	}

	data, err := json.Marshal(params)
	if err != nil {
		return err
	}

	handle, ok := map[string]func(context.Context, string, json.RawMessage) (any, error){
		broker.MethodChoose: node.HandleChoose, broker.MethodReport: node.HandleReport,
		broker.MethodUtilisation: node.HandleUtilisation,
	}[method]
	if !ok {
		return errors.Newf("no method %s", method)
	}

	answer, err := handle(ctx, from, data)
	if err != nil || result == nil {
		return err
	}

	data, err = json.Marshal(answer)
	if err != nil {
		return err
	}

	return json.Unmarshal(data, result)
}

func (l link) Notify(ctx context.Context, peer, method string, params any) error {
	return l.Call(ctx, peer, method, params, nil)
}

// serviceState returns a state with one service and the listed entries.
func serviceState(listing cataloguer.Listing) *cataloguer.State {
	return &cataloguer.State{
		Configuration: cataloguer.Configuration{Version: 1, Services: []cataloguer.Service{{Name: service}}},
		Registry:      cataloguer.NewRegistry(listing),
	}
}

func newFleet(ctx context.Context, t *testing.T, count, servers, slots int) *fleet {
	t.Helper()

	f := &fleet{nodes: map[string]*broker.Broker{}, unresponsive: map[string]bool{}, down: map[string]bool{}, dropsReports: map[string]bool{}, stale: map[string]bool{}, restarted: map[string]bool{}}

	for i := range servers {
		f.listing.Upstreams = append(f.listing.Upstreams, cataloguer.Upstream{ID: fmt.Sprint("u", i), Service: service, Slots: slots})
	}

	for i := range count {
		name := fmt.Sprint("n", i)
		f.names = append(f.names, name)
		f.start(ctx, name)
	}

	return f
}

// start starts a node that knows of no running requests.
func (f *fleet) start(ctx context.Context, name string) {
	options := nodeOptions(name, func() []string { return f.liveSeenBy(name) }, link{f, name})
	options.Scheduling = f.scheduling
	node := broker.New(options)
	node.Update(serviceState(f.listing))

	f.mu.Lock()
	f.nodes[name] = node
	f.mu.Unlock()

	go node.Run(ctx)
}

// liveSeenBy returns the nodes that the given node considers live.
func (f *fleet) liveSeenBy(name string) []string {
	live := f.live()

	f.mu.Lock()
	defer f.mu.Unlock()

	if !f.stale[name] {
		return live
	}

	return slices.DeleteFunc(live, func(other string) bool { return f.restarted[other] })
}

func (f *fleet) live() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	var live []string
	for _, name := range f.names {
		if !f.down[name] {
			live = append(live, name)
		}
	}

	return live
}

func (f *fleet) mark(marked map[string]bool, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	marked[name] = true
}

// holder returns the holder of the pool and the nodes that are neither holder nor standby.
func (f *fleet) holder() (string, []string) {
	chosen := chooser.New(f.live()).ChooseN(service+"/0", 2)

	var others []string
	for _, name := range f.live() {
		if name != chosen[0] && name != chosen[1] {
			others = append(others, name)
		}
	}

	return chosen[0], others
}

func work(id string) balancer.Request {
	return balancer.Request{ID: id, TimeLimit: 10 * time.Second, Target: 100 * time.Millisecond}
}

func withFleet(t *testing.T, count, servers, slots int, run func(*testing.T, *fleet)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		f := newFleet(ctx, t, count, servers, slots)
		// Wait until the holders have warmed up.
		time.Sleep(3 * time.Second)
		run(t, f)
		cancel()
		synctest.Wait()
	})
}

// choose sends the given number of requests from each node and counts them by upstream.
func choose(f *fleet, nodes []string, each int, prefix string) map[string]int {
	counts := map[string]int{}

	for i := range each {
		for _, name := range nodes {
			choice, ok := f.nodes[name].Choose(context.Background(), service, work(fmt.Sprint(prefix, name, i)))
			if ok {
				counts[choice.Upstream]++
			}
		}
	}

	return counts
}

// If each node knew only its own requests, several nodes would send to the same idle server.
func TestAllNodesChooseFromOneView(t *testing.T) {
	withFleet(t, 6, 3, 6, func(t *testing.T, f *fleet) {
		counts := choose(f, f.names, 3, "r")
		assert.DeepEqual(t, counts, map[string]int{"u0": 6, "u1": 6, "u2": 6})
	})
}

// While the holder is frozen, it answers nothing but still counts as live. Requests must not wait for it or pile up on few
// servers, since the standby has the same view.
func TestStandbyDecidesWhileTheHolderIsSilent(t *testing.T) {
	withFleet(t, 6, 3, 6, func(t *testing.T, f *fleet) {
		holder, others := f.holder()
		choose(f, others, 2, "before")

		for _, name := range others {
			for i := range 2 {
				f.nodes[name].RecordFirstEvent(fmt.Sprint("before", name, i), nil)
			}
		}

		time.Sleep(20 * time.Millisecond)
		f.mark(f.unresponsive, holder)

		counts := map[string]int{}

		for _, name := range others {
			begun := time.Now()
			choice, ok := f.nodes[name].Choose(context.Background(), service, work("after"+name))
			assert.Assert(t, ok)
			counts[choice.Upstream]++
			assert.Assert(t, time.Since(begun) < 60*time.Millisecond, "%s waited %v", name, time.Since(begun))
		}

		for upstream, count := range counts {
			assert.Assert(t, count <= 2, "%s got %d", upstream, count)
		}
	})
}

// After the holder and the standby died, a node without any view of the pool took over and overloaded servers, because requests
// in flight had been reported to the former holders only.
func TestNewHolderIsToldWhatRuns(t *testing.T) {
	withFleet(t, 8, 1, 4, func(t *testing.T, f *fleet) {
		holder, others := f.holder()
		_ = choose(f, others[:4], 1, "running")
		standby := chooser.New(f.live()).ChooseN(service+"/0", 2)[1]

		for _, name := range []string{holder, standby} {
			f.mark(f.unresponsive, name)
			f.mark(f.down, name)
		}

		time.Sleep(200 * time.Millisecond)
		// The first lookup of the new holders reports the running requests to them.
		for _, name := range others[:4] {
			f.nodes[name].RecordFirstEvent("running"+name+"0", nil)
		}

		time.Sleep(200 * time.Millisecond)

		// A plain server accepts eight requests beyond its slots; four are running.
		taken := 0

		for i := range 10 {
			asked := balancer.Request{ID: fmt.Sprint("new", i), TimeLimit: 100 * time.Millisecond}
			if _, ok := f.nodes[others[4]].Choose(context.Background(), service, asked); ok {
				taken++
			}
		}

		assert.Equal(t, taken, 8)
	})
}

// If the holder's grant was lost and nobody asked again, a queued request would wait until its limit although a server has room.
func TestLostGrantIsAskedForAgain(t *testing.T) {
	withFleet(t, 5, 1, 1, func(t *testing.T, f *fleet) {
		_, others := f.holder()
		f.mark(f.dropsReports, others[1])

		// A plain server accepts eight requests beyond its slots; all are running.
		for i := range 9 {
			_, ok := f.nodes[others[0]].Choose(context.Background(), service, work(fmt.Sprint("r", i)))
			assert.Assert(t, ok)
		}

		got := make(chan time.Duration)
		begun := time.Now()

		go func() {
			_, ok := f.nodes[others[1]].Choose(context.Background(), service, work("waits"))
			assert.Check(t, ok)
			got <- time.Since(begun)
		}()

		time.Sleep(100 * time.Millisecond)
		f.nodes[others[0]].RecordEnd("r0", balancer.Served)
		took := <-got
		assert.Assert(t, took < time.Second, "%v", took)
	})
}

func TestRequestThatLeftTheQueueGetsNothing(t *testing.T) {
	withFleet(t, 5, 1, 1, func(t *testing.T, f *fleet) {
		_, others := f.holder()

		for i := range 9 {
			_, _ = f.nodes[others[0]].Choose(context.Background(), service, work(fmt.Sprint("r", i)))
		}

		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()

		_, ok := f.nodes[others[1]].Choose(ctx, service, work("gone"))
		assert.Assert(t, !ok)
		time.Sleep(20 * time.Millisecond)

		f.nodes[others[0]].RecordEnd("r0", balancer.Served)
		time.Sleep(100 * time.Millisecond)
		_, ok = f.nodes[others[2]].Choose(context.Background(), service, work("next"))
		assert.Assert(t, ok)
	})
}

// Two seconds after a VM came back, engines preempted requests and refused others. The holder of a pool had died, its standby had
// filled the servers, and the holder came back without any state. It decided at once, next to the standby, knowing only the
// requests of the nodes that had already noticed its return.
func TestHolderThatCameBackLearnsBeforeItDecides(t *testing.T) {
	withFleet(t, 7, 1, 4, func(t *testing.T, f *fleet) {
		ctx := t.Context()
		holder, others := f.holder()
		f.mark(f.unresponsive, holder)
		f.mark(f.down, holder)
		time.Sleep(200 * time.Millisecond)

		// A plain server accepts eight requests beyond its slots.
		counts := choose(f, others[:4], 3, "running")
		assert.DeepEqual(t, counts, map[string]int{"u0": 12})

		f.mu.Lock()
		f.restarted[holder] = true
		for _, name := range others[:4] {
			f.stale[name] = true
		}
		delete(f.unresponsive, holder)
		delete(f.down, holder)
		f.mu.Unlock()
		f.start(ctx, holder)
		time.Sleep(200 * time.Millisecond)

		asked := balancer.Request{ID: "new", TimeLimit: 100 * time.Millisecond}
		_, ok := f.nodes[others[4]].Choose(ctx, service, asked)
		assert.Assert(t, !ok)

		f.mu.Lock()
		clear(f.stale)
		f.mu.Unlock()
		time.Sleep(3 * time.Second)

		// The holder decides again, and knows the running requests.
		f.nodes[others[0]].RecordEnd("running"+others[0]+"0", balancer.Served)
		time.Sleep(50 * time.Millisecond)

		taken := 0

		for i := range 3 {
			if _, ok := f.nodes[others[4]].Choose(ctx, service, balancer.Request{ID: fmt.Sprint("later", i), TimeLimit: 100 * time.Millisecond}); ok {
				taken++
			}
		}

		assert.Equal(t, taken, 1)
	})
}

// With five pools and six strong nodes, hashing gave one node three of the pools, because the holder of each pool was selected
// independently. Nodes that sent most of the requests timed out at that holder.
func TestPoolsAreSpreadOverNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &cataloguer.State{Configuration: cataloguer.Configuration{Version: 1}}
		for i := range 5 {
			state.Configuration.Services = append(state.Configuration.Services, cataloguer.Service{Name: fmt.Sprint("service", i)})
		}

		live := []string{"n0", "n1", "n2", "n3", "n4", "n5"}
		node := broker.New(nodeOptions("n0", func() []string { return live }, link{}))
		node.Update(state)

		held := map[string]int{}
		for _, stats := range node.Stats(time.Now()) {
			held[stats.Holder]++
		}

		assert.Equal(t, len(held), 5, "%v", held)

		live = live[:2]
		time.Sleep(time.Second)
		clear(held)

		for _, stats := range node.Stats(time.Now()) {
			held[stats.Holder]++
		}

		assert.Assert(t, held["n0"] >= 2 && held["n1"] >= 2, "%v", held)
	})
}
