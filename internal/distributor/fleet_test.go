package distributor_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/distributor"
	"quincepath.example/quincepath/internal/standin/keeper"
)

const (
	oneWay      = 1500 * time.Microsecond
	storeOneWay = time.Millisecond
	// keptUnused is how long the messenger keeps a connection that nobody uses.
	keptUnused = 30 * time.Second
)

// fleet is a set of nodes in one process with a fake network and the stand-in store.
type fleet struct {
	t      *testing.T
	ctx    context.Context
	store  *keeper.Store
	editor *configurer.Editor

	// down refuses all calls on the store; cut drops messages between two nodes.
	// While apart, no node has those among its members that it can't reach.
	down       atomic.Bool
	apart      atomic.Bool
	cut        atomic.Pointer[func(from, to string) bool]
	storeCalls atomic.Int64
	storePolls atomic.Int64
	messages   atomic.Int64
	bytes      atomic.Int64
	heartbeat  time.Duration
	// subscribe is called with the snapshots of nodes started from now on.
	subscribe func(configurer.Snapshot)

	running sync.WaitGroup

	mu    sync.Mutex
	nodes map[string]*node
	live  []distributor.Member
	// used holds when a node last sent a message to another one, by from and to.
	used  map[[2]string]time.Time
	edits int
}

type node struct {
	*distributor.Distributor
	fleet *fleet
	self  distributor.Member
	stop  context.CancelFunc
	// down refuses the calls of this node on the store; deaf makes its new watches silent.
	down, deaf atomic.Bool
	// slow delays the answers of this node.
	slow atomic.Int64
}

func newFleet(t *testing.T) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	store := keeper.NewStore(keeper.StoreOptions{})
	f := &fleet{t: t, ctx: ctx, store: store, nodes: map[string]*node{}, used: map[[2]string]time.Time{}, heartbeat: time.Second}
	f.editor = configurer.NewEditor(keeper.NewLocal(store, nil), configurer.EditorOptions{})
	f.cut.Store(new(func(string, string) bool { return false }))
	t.Cleanup(func() {
		cancel()
		f.running.Wait()
	})

	return f
}

func (f *fleet) start(name, domain string) *node {
	n := &node{fleet: f, self: distributor.Member{Name: name, FailureDomain: domain}}
	n.Distributor = distributor.New(distributor.Options{
		Self: n.self, Store: keeper.NewLocal(f.store, n.storeFault), Caller: n, Members: n, Seed: 7,
	})
	if f.subscribe != nil {
		n.Subscribe(f.subscribe)
	}
	ctx, stop := context.WithCancel(f.ctx)
	n.stop = stop
	f.mu.Lock()
	f.nodes[name] = n
	f.live = append(slices.Clone(f.live), n.self)
	f.mu.Unlock()
	f.running.Go(func() { n.Run(ctx) })
	f.running.Go(func() { n.beat(ctx) })

	return n
}

// kill ends a node; its name stays among the members until remove.
func (f *fleet) kill(name string) {
	f.nodes[name].stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.nodes, name)
}

func (f *fleet) remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = slices.DeleteFunc(slices.Clone(f.live), func(m distributor.Member) bool { return m.Name == name })
}

func (f *fleet) startAll(count, domains int) {
	for i := range count {
		f.start(fmt.Sprintf("node-%d", i), fmt.Sprintf("domain-%d", i%domains))
	}
}

func (n *node) storeFault(_ context.Context, call keeper.Call) keeper.Verdict {
	if call.Kind == "get" {
		n.fleet.storePolls.Add(1)
	}
	n.fleet.storeCalls.Add(1)
	if n.fleet.down.Load() || n.down.Load() {
		return keeper.Verdict{Refuse: errors.New("outage")}
	}

	if call.Kind == "watch" && n.deaf.Load() {
		return keeper.Verdict{LoseRequest: true}
	}

	return keeper.Verdict{DelayBefore: storeOneWay, DelayAfter: storeOneWay}
}

func (f *fleet) Live() []distributor.Member {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.live
}

func (n *node) Live() []distributor.Member {
	live := n.fleet.Live()
	if !n.fleet.apart.Load() {
		return live
	}

	return slices.DeleteFunc(slices.Clone(live), func(m distributor.Member) bool { return (*n.fleet.cut.Load())(n.self.Name, m.Name) })
}

func (f *fleet) find(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.nodes[name]
}

// beat stands for the prober: it exchanges revisions with one random peer a heartbeat.
func (n *node) beat(ctx context.Context) {
	random := rand.New(rand.NewPCG(7, xxhash.Sum64String(n.self.Name)))
	for ctx.Err() == nil && n.fleet.heartbeat > 0 {
		time.Sleep(n.fleet.heartbeat/2 + time.Duration(random.Int64N(int64(n.fleet.heartbeat))))
		live := n.fleet.Live()
		peer := n.fleet.find(live[random.IntN(len(live))].Name)
		if peer == nil || (*n.fleet.cut.Load())(n.self.Name, peer.self.Name) {
			continue
		}
		peer.PeerRevision(n.self.Name, n.Revision())
		n.PeerRevision(peer.self.Name, peer.Revision())
	}
}

func (n *node) Notify(ctx context.Context, peer, method string, params any) error {
	return n.Call(ctx, peer, method, params, nil)
}

func (n *node) Call(ctx context.Context, peer, method string, params, result any) error {
	f := n.fleet
	sent, err := json.Marshal(params)
	assert.Check(f.t, err)
	f.messages.Add(1)
	f.bytes.Add(int64(len(sent)))
	f.mu.Lock()
	f.used[[2]string{n.self.Name, peer}] = time.Now()
	f.mu.Unlock()
	time.Sleep(oneWay)
	to := f.find(peer)
	if to == nil || (*f.cut.Load())(n.self.Name, peer) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Duration(to.slow.Load()))
	handle := to.HandlePull
	if method == distributor.MethodAnnounce {
		handle = to.HandleAnnounce
	}
	answer, err := handle(ctx, n.self.Name, sent)
	if err != nil || result == nil {
		return err
	}
	data, err := json.Marshal(answer)
	assert.Check(f.t, err)
	f.messages.Add(1)
	f.bytes.Add(int64(len(data)))
	time.Sleep(oneWay)

	return json.Unmarshal(data, result)
}

// branchText is long enough to be sent by lines.
var branchText = "# " + strings.Repeat("-", 300) + `
kind: engine
default_class: chat
classes:
  chat: {tier: 1, target: 1s, gap_limit: 1s, max_wait: 1s}
upstreams:
  u: {address: "http://127.0.0.1:%d", failure_domain: d, slots: 1}
`

// change edits a branch and returns the revision.
func (f *fleet) change(branch string) int64 {
	f.edits++
	tree, err := f.editor.Tree(f.ctx)
	assert.NilError(f.t, err)
	current, _ := tree.Find(branch)
	done, err := f.editor.Edit(f.ctx, configurer.Edit{
		Branch: branch, Value: fmt.Appendf(nil, branchText, f.edits), BaseRevision: current.Revision,
		ChangeID: fmt.Sprintf("c%d", f.edits), Author: "ronan",
	})
	assert.NilError(f.t, err)

	return done.Revision
}

// connections returns the most connections that a node has dialled, and that it has taken, if
// those are kept which were used within the length.
func (f *fleet) connections(length time.Duration) (dialled, taken int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := [2]map[string]int{{}, {}}
	for pair, last := range f.used {
		if time.Since(last) < length {
			counts[0][pair[0]]++
			counts[1][pair[1]]++
			dialled, taken = max(dialled, counts[0][pair[0]]), max(taken, counts[1][pair[1]])
		}
	}

	return dialled, taken
}

func (f *fleet) allAt(revision int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.nodes {
		if !v.IsReady() || v.Snapshot().Revision < revision {
			return false
		}
	}

	return true
}

// until returns the time until all nodes have the revision, at most limit.
func (f *fleet) until(revision int64, limit time.Duration) time.Duration {
	begun := time.Now()
	for !f.allAt(revision) && time.Since(begun) < limit {
		time.Sleep(time.Millisecond)
	}

	return time.Since(begun)
}

func (f *fleet) ready() {
	f.t.Helper()
	for range 60 {
		time.Sleep(time.Second)
		if f.allAt(f.nodes["node-0"].Snapshot().Revision) {
			return
		}
	}
	f.t.Fatal("the fleet isn't ready after a minute")
}
