package follower_test

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

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/follower"
	"quincepath.example/quincepath/internal/sleeper"
)

var errAway = errors.New("away")

// fleet is a store and some nodes with faults between them.
type fleet struct {
	mu       sync.Mutex
	version  int64
	revision int64
	nodes    []cataloguer.Node
	ids      []string
	reads    int
	// turnedAway are the nodes that the store refuses; all while down.
	turnedAway map[string]bool
	down       bool
	// held delays each answer between nodes.
	held  time.Duration
	parts map[string]*member
	// dead are the nodes that all others take for gone.
	dead []string
}

type member struct {
	fleet    *fleet
	name     string
	catalog  *cataloguer.Catalog
	follower *follower.Follower
	stop     context.CancelFunc
}

func newFleet(t *testing.T, count int) *fleet {
	t.Helper()

	f := &fleet{version: 1, revision: 1, ids: []string{"a"}, turnedAway: map[string]bool{}, parts: map[string]*member{}}
	for i := range count {
		f.start(t, fmt.Sprint("n", i), nil)
	}

	return f
}

func (f *fleet) start(t *testing.T, name string, seeds []string) *member {
	t.Helper()

	begun := time.Now()
	ctx, stop := context.WithCancel(t.Context())
	m := &member{fleet: f, name: name, stop: stop}
	m.catalog = cataloguer.New(func() time.Duration { return time.Hour + time.Since(begun) })
	m.follower = follower.New(follower.Options{
		Catalog: m.catalog, Store: m, Peers: m, Self: cataloguer.Node{Name: name},
		Seeds: func() []string { return seeds }, Live: f.live, Gone: f.gone, Logger: zerolog.Nop(),
	})

	f.mu.Lock()
	f.parts[name] = m
	f.mu.Unlock()

	go m.follower.Run(ctx)

	return m
}

func (f *fleet) live() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	names := []string{}
	for name := range f.parts {
		names = append(names, name)
	}

	return names
}

func (f *fleet) gone() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.dead)
}

func (f *fleet) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.revision++
	do()
}

func (f *fleet) end() {
	for _, m := range f.parts {
		m.stop()
	}
}

// slowest is how long it takes until all nodes fulfil the condition.
func (f *fleet) slowest(fulfilled func(*cataloguer.State) bool) time.Duration {
	begun := time.Now()

	for time.Since(begun) < 20*time.Second {
		all := true
		for _, m := range f.parts {
			all = all && fulfilled(m.catalog.State())
		}

		if all {
			break
		}

		time.Sleep(10 * time.Millisecond)
	}

	return time.Since(begun)
}

func (m *member) read(ctx context.Context) error {
	if !sleeper.Sleep(ctx, 4*time.Millisecond) {
		return ctx.Err()
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	m.fleet.reads++

	if m.fleet.down || m.fleet.turnedAway[m.name] {
		return errAway
	}

	return nil
}

func (m *member) Configuration(ctx context.Context) (cataloguer.Configuration, int64, error) {
	if err := m.read(ctx); err != nil {
		return cataloguer.Configuration{}, 0, err
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	return cataloguer.Configuration{Version: m.fleet.version}, m.fleet.revision, nil
}

func (m *member) Registry(ctx context.Context) (cataloguer.Registry, error) {
	if err := m.read(ctx); err != nil {
		return cataloguer.Registry{}, err
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	registry := cataloguer.Registry{Revision: m.fleet.revision, Nodes: slices.Clone(m.fleet.nodes)}
	for _, id := range m.fleet.ids {
		registry.Upstreams = append(registry.Upstreams, cataloguer.Upstream{ID: id})
	}

	return registry, nil
}

func (m *member) Announce(ctx context.Context, node cataloguer.Node) error {
	if err := m.read(ctx); err != nil {
		return err
	}

	m.fleet.change(func() { m.fleet.nodes = append(m.fleet.nodes, node) })

	return nil
}

func (m *member) Withdraw(ctx context.Context, names []string) error {
	if err := m.read(ctx); err != nil {
		return err
	}

	m.fleet.change(func() {
		m.fleet.nodes = slices.DeleteFunc(m.fleet.nodes, func(n cataloguer.Node) bool { return slices.Contains(names, n.Name) })
	})

	return nil
}

func (m *member) Call(ctx context.Context, peer, method string, params, result any) error {
	m.fleet.mu.Lock()
	other, held := m.fleet.parts[peer], m.fleet.held
	m.fleet.mu.Unlock()

	if other == nil {
		return errAway
	}

	data, err := json.Marshal(params)
	if err != nil {
		return err
	}

	handle := other.follower.HandlePull
	if method == follower.MethodChanged {
		handle = other.follower.HandleChanged
	}

	answer, err := handle(ctx, m.name, data)
	if err != nil || result == nil {
		return err
	}

	if !sleeper.Sleep(ctx, time.Millisecond+held) {
		return ctx.Err()
	}

	data, err = json.Marshal(answer)
	if err != nil {
		return err
	}

	return json.Unmarshal(data, result)
}

func (m *member) Notify(ctx context.Context, peer, method string, params any) error {
	return m.Call(ctx, peer, method, params, nil)
}

func hasVersion(version int64) func(*cataloguer.State) bool {
	return func(s *cataloguer.State) bool { return s.Configuration.Version >= version }
}

func TestOneNodeReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.end()

		time.Sleep(10 * time.Second)
		f.mu.Lock()
		f.reads = 0
		f.mu.Unlock()
		time.Sleep(60 * time.Second)

		f.mu.Lock()
		defer f.mu.Unlock()
		// One node every 0.6 s, one call as long as nothing changes.
		assert.Assert(t, f.reads <= 105, "%d reads in a minute", f.reads)
		assert.Equal(t, len(f.nodes), 9)
	})
}

func TestChangesReachAllNodes(t *testing.T) {
	for _, count := range []int{9, 88, 370} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, count)
			defer f.end()

			time.Sleep(15 * time.Second)
			f.change(func() { f.version = 7 })
			took := f.slowest(hasVersion(7))
			assert.Assert(t, took < 1200*time.Millisecond, "%d nodes: %v", count, took)
		})
	}
}

// Symptom: an upstream gets requests two seconds after it told that it leaves.
// Sequence: the store turns the node away that reads for all; an upstream leaves.
// Cause: the others waited long before they read themselves, and told nobody but those below them.
func TestReaderThatIsTurnedAwayIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.end()

		time.Sleep(15 * time.Second)
		f.change(func() { f.turnedAway[f.firstLocked()] = true })
		time.Sleep(5 * time.Second)

		for i := range 20 {
			f.change(func() { f.ids = []string{fmt.Sprint("u", i)} })
			took := f.slowest(func(s *cataloguer.State) bool { return s.Registry.Upstreams[0].ID == fmt.Sprint("u", i) })
			assert.Assert(t, took < 1700*time.Millisecond, "change %d: %v", i, took)
			time.Sleep(130 * time.Millisecond)
		}
	})
}

// firstLocked is the node that reads the store; f.mu is held.
func (f *fleet) firstLocked() string {
	names := []string{}
	for name := range f.parts {
		names = append(names, name)
	}

	return follower.Order(names)[0]
}

// Symptom: nodes that the store turns away refuse all keys.
// Sequence: the store serves one node of nine.
// Cause: only own reads counted as proof.
func TestNodesLearnThroughTheOneThatReachesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.end()

		time.Sleep(15 * time.Second)
		f.change(func() {
			for name := range f.parts {
				f.turnedAway[name] = name != "n5"
			}
		})
		time.Sleep(3 * time.Second)

		for range 50 {
			time.Sleep(200 * time.Millisecond)

			for name, m := range f.parts {
				age, known := m.catalog.Age()
				assert.Assert(t, known && age < 4*time.Second, "%s knows what was true %v ago", name, age)
			}
		}
	})
}

// Symptom: a node that was cut off looks fresh.
// Sequence: the store is away; an answer of a peer is held up on its way.
// Cause: the age in the answer counted from its arrival, not from the question.
func TestAgeGrowsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.end()

		time.Sleep(15 * time.Second)
		f.change(func() {
			f.down = true
			f.held = 200 * time.Millisecond
		})
		time.Sleep(10 * time.Second)

		for name, m := range f.parts {
			age, _ := m.catalog.Age()
			assert.Assert(t, age >= 10*time.Second, "%s believes that it knows what was true %v ago", name, age)
		}
	})
}

// Symptom: a node that restarts during an outage answers 404 or 401 for what is there.
// Sequence: the store is away; a node starts that knows only a seed.
// Cause: only the store could tell it the configuration.
func TestNodeStartsDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.end()

		time.Sleep(5 * time.Second)
		f.change(func() { f.down = true })
		started := f.start(t, "new", []string{"gone", "n1"})
		time.Sleep(3 * time.Second)

		assert.Equal(t, started.catalog.State().Configuration.Version, int64(1))
	})
}

// Symptom: the list of nodes grows with each VM that is replaced, and all are probed for good.
// Sequence: a node is gone for good; another one is taken for gone although it lives.
// Cause: entries were written and never removed.
func TestNodesThatAreGoneAreWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.end()

		time.Sleep(10 * time.Second)
		f.parts["n3"].stop()
		f.mu.Lock()
		delete(f.parts, "n3")
		f.dead = []string{"n3", "n5", "never-listed"}
		f.mu.Unlock()
		time.Sleep(90 * time.Second)

		f.mu.Lock()
		f.dead = nil
		f.mu.Unlock()
		time.Sleep(10 * time.Second)

		f.mu.Lock()
		defer f.mu.Unlock()

		var listed []string
		for _, node := range f.nodes {
			listed = append(listed, node.Name)
		}

		slices.Sort(listed)
		assert.DeepEqual(t, listed, []string{"n0", "n1", "n2", "n4", "n5", "n6", "n7", "n8"})
	})
}
