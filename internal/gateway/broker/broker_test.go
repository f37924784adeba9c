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

// fleet joins brokers by messages that take a millisecond.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]*broker.Broker
	names []string
	state *cataloguer.State
	// silent nodes answer nothing; gone ones are not live either.
	silent, gone map[string]bool
	// blind nodes don't know yet that gone ones have come back.
	blind map[string]bool
	// returned are the nodes that were gone.
	returned map[string]bool
	// deaf nodes get no reports.
	deaf map[string]bool
}

// link is the fleet as one node sees it.
type link struct {
	fleet *fleet
	self  string
}

func (l link) Call(ctx context.Context, peer, method string, params, result any) error {
	f := l.fleet

	f.mu.Lock()
	node, silent := f.nodes[peer], f.silent[peer] || f.silent[l.self] || f.deaf[peer] && method == broker.MethodReport
	f.mu.Unlock()

	if silent {
		<-ctx.Done()

		return ctx.Err()
	}

	if !sleeper.Sleep(ctx, time.Millisecond) {
		return ctx.Err()
	}

	data, err := json.Marshal(params)
	if err != nil {
		return err
	}

	handle, ok := map[string]func(context.Context, string, json.RawMessage) (any, error){
		broker.MethodChoose: node.HandleChoose, broker.MethodReport: node.HandleReport,
	}[method]
	if !ok {
		return errors.Newf("no method %s", method)
	}

	answer, err := handle(ctx, l.self, data)
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

func newFleet(ctx context.Context, t *testing.T, count, servers, slots int) *fleet {
	t.Helper()

	f := &fleet{nodes: map[string]*broker.Broker{}, silent: map[string]bool{}, gone: map[string]bool{}, deaf: map[string]bool{}, blind: map[string]bool{}, returned: map[string]bool{}}
	state := &cataloguer.State{Configuration: cataloguer.Configuration{Version: 1, Services: []cataloguer.Service{{Name: service}}}}

	for i := range servers {
		state.Registry.Upstreams = append(state.Registry.Upstreams, cataloguer.Upstream{ID: fmt.Sprint("u", i), Service: service, Slots: slots})
	}

	f.state = state

	for i := range count {
		name := fmt.Sprint("n", i)
		f.names = append(f.names, name)
		f.start(ctx, name)
	}

	return f
}

// start starts a node that knows nothing of what runs.
func (f *fleet) start(ctx context.Context, name string) {
	node := broker.New(broker.Options{Self: name, Live: func() []string { return f.liveTo(name) }, Peers: link{f, name}, Logger: zerolog.Nop()})
	node.Update(f.state)

	f.mu.Lock()
	f.nodes[name] = node
	f.mu.Unlock()

	go node.Run(ctx)
}

// liveTo returns the nodes that one of them takes for live.
func (f *fleet) liveTo(name string) []string {
	live := f.live()

	f.mu.Lock()
	defer f.mu.Unlock()

	if !f.blind[name] {
		return live
	}

	return slices.DeleteFunc(live, func(other string) bool { return f.returned[other] })
}

func (f *fleet) live() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	var live []string
	for _, name := range f.names {
		if !f.gone[name] {
			live = append(live, name)
		}
	}

	return live
}

func (f *fleet) set(marks map[string]bool, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	marks[name] = true
}

// holder is the node that decides, others are those that don't know the pool.
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

func inFleet(t *testing.T, count, servers, slots int, run func(*testing.T, *fleet)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		f := newFleet(ctx, t, count, servers, slots)
		// Holders that have just started leave the choice to others.
		time.Sleep(3 * time.Second)
		run(t, f)
		cancel()
		synctest.Wait()
	})
}

// choose lets each of the nodes send so many requests and counts them by upstream.
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

// Symptom: three nodes send to the same idle server.
// Cause: each saw its own requests only.
func TestAllNodesChooseFromOneView(t *testing.T) {
	inFleet(t, 6, 3, 6, func(t *testing.T, f *fleet) {
		counts := choose(f, f.names, 3, "r")
		assert.DeepEqual(t, counts, map[string]int{"u0": 6, "u1": 6, "u2": 6})
	})
}

// Symptom: while the holder is frozen, requests wait or pile up on few servers.
// Sequence: it answers nothing and still counts as live; the standby knows the same.
func TestStandbyDecidesWhileTheHolderIsSilent(t *testing.T) {
	inFleet(t, 6, 3, 6, func(t *testing.T, f *fleet) {
		holder, others := f.holder()
		choose(f, others, 2, "before")

		for _, name := range others {
			for i := range 2 {
				f.nodes[name].RecordFirstEvent(fmt.Sprint("before", name, i), nil)
			}
		}

		time.Sleep(20 * time.Millisecond)
		f.set(f.silent, holder)

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

// Symptom: after a holder's end its successor overfills servers.
// Sequence: both holders die; a node that knew nothing takes over.
// Cause: requests in flight were told to the former holders only.
func TestNewHolderIsToldWhatRuns(t *testing.T) {
	inFleet(t, 8, 1, 4, func(t *testing.T, f *fleet) {
		holder, others := f.holder()
		_ = choose(f, others[:4], 1, "running")
		standby := chooser.New(f.live()).ChooseN(service+"/0", 2)[1]

		for _, name := range []string{holder, standby} {
			f.set(f.silent, name)
			f.set(f.gone, name)
		}

		time.Sleep(200 * time.Millisecond)
		// The first look at the new holders tells them what runs.
		for _, name := range others[:4] {
			f.nodes[name].RecordFirstEvent("running"+name+"0", nil)
		}

		time.Sleep(200 * time.Millisecond)

		// A plain server takes its slots and eight more; four of these are taken.
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

// Symptom: a queued request waits until its limit although there is room.
// Sequence: the holder's grant is lost on its way.
// Cause: nobody asked again.
func TestLostGrantIsAskedForAgain(t *testing.T) {
	inFleet(t, 5, 1, 1, func(t *testing.T, f *fleet) {
		_, others := f.holder()
		f.set(f.deaf, others[1])

		// A plain server takes its slots and eight more; all are taken here.
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
	inFleet(t, 5, 1, 1, func(t *testing.T, f *fleet) {
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

// Symptom: engines set requests back and refuse others two seconds after a VM has come back.
// Sequence: the holder of a pool dies; its standby fills the servers; the holder comes back and knows nothing; nodes
// learn that one after the other.
// Cause: it decided at once, by the requests of those that had told it theirs, beside the standby.
func TestHolderThatCameBackLearnsBeforeItDecides(t *testing.T) {
	inFleet(t, 7, 1, 4, func(t *testing.T, f *fleet) {
		ctx := t.Context()
		holder, others := f.holder()
		f.set(f.silent, holder)
		f.set(f.gone, holder)
		time.Sleep(200 * time.Millisecond)

		// A plain server takes its slots and eight more.
		counts := choose(f, others[:4], 3, "running")
		assert.DeepEqual(t, counts, map[string]int{"u0": 12})

		f.mu.Lock()
		f.returned[holder] = true
		for _, name := range others[:4] {
			f.blind[name] = true
		}
		delete(f.silent, holder)
		delete(f.gone, holder)
		f.mu.Unlock()
		f.start(ctx, holder)
		time.Sleep(200 * time.Millisecond)

		asked := balancer.Request{ID: "new", TimeLimit: 100 * time.Millisecond}
		_, ok := f.nodes[others[4]].Choose(ctx, service, asked)
		assert.Assert(t, !ok)

		f.mu.Lock()
		clear(f.blind)
		f.mu.Unlock()
		time.Sleep(3 * time.Second)

		// It decides now, and knows what runs.
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

// Symptom: on some days the nodes that send most of the requests time out at the one that decides.
// Sequence: five pools and six strong nodes; hashing gives one node three of the pools.
// Cause: each pool's holder was chosen without regard to the others.
func TestPoolsAreSpreadOverNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &cataloguer.State{Configuration: cataloguer.Configuration{Version: 1}}
		for i := range 5 {
			state.Configuration.Services = append(state.Configuration.Services, cataloguer.Service{Name: fmt.Sprint("service", i)})
		}

		live := []string{"n0", "n1", "n2", "n3", "n4", "n5"}
		node := broker.New(broker.Options{Self: "n0", Live: func() []string { return live }, Peers: link{}, Logger: zerolog.Nop()})
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
