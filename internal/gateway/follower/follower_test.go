package follower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"maps"
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
	// routes and organisations are those of the configuration in force.
	routes        []cataloguer.Route
	organisations []cataloguer.Organisation
	nodes         []cataloguer.Node
	ids           []string
	reads         int
	// calls counts those to the store that are no reads too.
	calls int
	// lastReader is the node that made the last of them.
	lastReader string
	// formerIDs and formerNodes were listed once.
	formerIDs, formerNodes map[string]bool
	// history is the revision from which on changes are known; hidden says that they aren't told for now.
	history int64
	hidden  bool
	// silent delays each call to the store until its caller gives up.
	silent bool
	// turnedAway are the nodes that the store refuses; all while down.
	turnedAway map[string]bool
	down       bool
	// held delays each answer between nodes.
	held  time.Duration
	parts map[string]*member
	// dead are the nodes that all others take for gone.
	dead []string
	// listed holds how nodes announce themselves, where that is more than their name.
	listed map[string]cataloguer.Node
	// sent is the number of bytes that nodes answered each other; crossing those between failure domains.
	sent, crossing int
	// perMS is the bandwidth of each node's link in bytes for a millisecond; 0 means that it isn't bound.
	perMS float64
}

type member struct {
	fleet    *fleet
	name     string
	catalog  *cataloguer.Catalog
	follower *follower.Follower
	stop     context.CancelFunc
	// linkFree is when the node's link has sent all that waits there.
	linkFree time.Time
}

func newFleet(t *testing.T, count int) *fleet {
	t.Helper()

	f := &fleet{
		version: 1, revision: 1, ids: []string{"a"}, turnedAway: map[string]bool{}, parts: map[string]*member{},
		formerIDs: map[string]bool{}, formerNodes: map[string]bool{}, listed: map[string]cataloguer.Node{},
	}
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
		Catalog: m.catalog, Store: m, Peers: m, Self: f.self(name),
		Seeds: func() []string { return seeds }, LiveNodes: m.live, DepartedNodes: f.gone, Logger: zerolog.Nop(),
	})

	f.mu.Lock()
	f.parts[name] = m
	f.mu.Unlock()

	go m.follower.Run(ctx)

	return m
}

func (f *fleet) self(name string) cataloguer.Node {
	f.mu.Lock()
	defer f.mu.Unlock()

	if node, ok := f.listed[name]; ok {
		return node
	}

	return cataloguer.Node{Name: name}
}

// live returns the node itself and those running ones that it knows.
func (m *member) live() []string {
	names := []string{m.name}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	for _, node := range m.catalog.State().Registry.Nodes {
		if m.fleet.parts[node.Name] != nil && node.Name != m.name {
			names = append(names, node.Name)
		}
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

	for _, id := range f.ids {
		f.formerIDs[id] = true
	}

	for _, node := range f.nodes {
		f.formerNodes[node.Name] = true
	}

	f.revision++
	do()
}

func (f *fleet) end() {
	for _, m := range f.parts {
		m.stop()
	}
}

// names returns the nodes; f.mu is held.
func (f *fleet) names() iter.Seq[string] {
	return maps.Keys(f.parts)
}

// reader returns the node that read the store last; f.mu is held.
func (f *fleet) reader() string {
	return f.lastReader
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

func (f *fleet) countReads() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.reads
}

func (m *member) read(ctx context.Context) error {
	if !sleeper.Sleep(ctx, 4*time.Millisecond) {
		return ctx.Err()
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	m.fleet.reads++
	m.fleet.calls++
	m.fleet.lastReader = m.name

	if m.fleet.silent {
		m.fleet.mu.Unlock()
		<-ctx.Done()
		m.fleet.mu.Lock()

		return ctx.Err()
	}

	if m.fleet.down || m.fleet.turnedAway[m.name] {
		return errAway
	}

	return nil
}

func (m *member) Revision(ctx context.Context) (int64, error) {
	if err := m.read(ctx); err != nil {
		return 0, err
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	return m.fleet.revision, nil
}

func (m *member) Changes(ctx context.Context, after int64) (follower.Changes, error) {
	if err := m.read(ctx); err != nil {
		return follower.Changes{}, err
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	if after < m.fleet.history {
		return follower.Changes{}, follower.ErrHistoryCompacted
	}

	if m.fleet.hidden {
		return follower.Changes{}, nil
	}

	return m.fleet.changesLocked(), nil
}

// changesLocked tells all that is there as written and all that was there as removed; f.mu is held.
func (f *fleet) changesLocked() follower.Changes {
	configuration := f.configurationLocked()
	changes := follower.Changes{Revision: f.revision, Configuration: &configuration, Nodes: slices.Clone(f.nodes)}

	for _, id := range f.ids {
		changes.Upstreams = append(changes.Upstreams, cataloguer.Upstream{ID: id})
	}

	for id := range f.formerIDs {
		if !slices.Contains(f.ids, id) {
			changes.RemovedUpstreams = append(changes.RemovedUpstreams, id)
		}
	}

	for name := range f.formerNodes {
		if !slices.ContainsFunc(f.nodes, func(n cataloguer.Node) bool { return n.Name == name }) {
			changes.RemovedNodes = append(changes.RemovedNodes, name)
		}
	}

	return changes
}

// configurationLocked returns the configuration in force; f.mu is held.
func (f *fleet) configurationLocked() cataloguer.Configuration {
	return cataloguer.Configuration{Version: f.version, Routes: f.routes, Organisations: f.organisations}
}

func (m *member) Configuration(ctx context.Context) (cataloguer.Configuration, int64, error) {
	if err := m.read(ctx); err != nil {
		return cataloguer.Configuration{}, 0, err
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	return m.fleet.configurationLocked(), m.fleet.revision, nil
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

func (m *member) Announce(ctx context.Context, nodes []cataloguer.Node) error {
	if err := m.read(ctx); err != nil {
		return err
	}

	m.fleet.change(func() {
		for _, node := range nodes {
			if !slices.Contains(m.fleet.nodes, node) {
				m.fleet.nodes = append(m.fleet.nodes, node)
			}
		}
	})

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

	handlers := map[string]func(context.Context, string, json.RawMessage) (any, error){
		follower.MethodPull:      other.follower.HandlePull,
		follower.MethodChanged:   other.follower.HandleChanged,
		follower.MethodAnnounce:  other.follower.HandleAnnounce,
		follower.MethodReadStore: other.follower.HandleReadStore,
	}

	answer, err := handlers[method](ctx, m.name, data)
	if err != nil {
		return err
	}

	data, err = json.Marshal(answer)
	if err != nil {
		return err
	}

	if !sleeper.Sleep(ctx, time.Millisecond+held+m.transfer(other, len(data))) {
		return ctx.Err()
	}

	if result == nil {
		return nil
	}

	return json.Unmarshal(data, result)
}

// transfer counts an answer and returns how long it takes on the link of the node that sends it, which carries one
// after the other.
func (m *member) transfer(from *member, bytes int) time.Duration {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	m.fleet.sent += bytes
	if m.fleet.listed[m.name].FailureDomain != m.fleet.listed[from.name].FailureDomain {
		m.fleet.crossing += bytes
	}

	if m.fleet.perMS == 0 {
		return 0
	}

	now := time.Now()
	if from.linkFree.Before(now) {
		from.linkFree = now
	}

	from.linkFree = from.linkFree.Add(time.Duration(float64(bytes) / m.fleet.perMS * float64(time.Millisecond)))

	return from.linkFree.Sub(now)
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

	return follower.SortByHash(names)[0]
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
				age, known := m.catalog.ConfigurationAge()
				assert.Assert(t, known && age < 4*time.Second, "%s knows what was true %v ago", name, age)
			}
		}
	})
}

// Symptom: a key is honoured for longer than two seconds after its end.
// Sequence: the store turns all of nine nodes away but one; a key is taken away at that moment.
// Cause: nodes far behind the first one in the order waited for so long before they tried the store.
func TestAnyOneOfNineHearsOfChangesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.end()

		for i := range 9 {
			f.change(func() { clear(f.turnedAway) })
			time.Sleep(10*time.Second + time.Duration(i)*70*time.Millisecond)
			f.change(func() {
				for name := range f.parts {
					f.turnedAway[name] = name != fmt.Sprint("n", i)
				}

				f.version++
			})

			took := f.slowest(hasVersion(f.version))
			assert.Assert(t, took < 1900*time.Millisecond, "n%d: %v", i, took)
		}
	})
}

// Guards against: a key is honoured for longer than three seconds after its end, where the store turns most of many nodes away
// and those that it serves stand far behind the first one.
func TestAnyEighthOfManyHearsOfChangesInTime(t *testing.T) {
	const (
		nodes = 65
		part  = 8
	)

	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, nodes)
		defer f.end()

		for i := range part {
			f.change(func() { clear(f.turnedAway) })
			time.Sleep(15*time.Second + time.Duration(i)*70*time.Millisecond)
			f.change(func() {
				for j := range nodes {
					f.turnedAway[fmt.Sprint("n", j)] = j%part != i
				}

				f.version++
			})

			took := f.slowest(hasVersion(f.version))
			assert.Check(t, took < 3*time.Second, "every %dth from n%d: %v", part, i, took)
		}
	})
}

// Symptom: routes are refused that have been there for over two seconds, and keys honoured that are gone.
// Sequence: the store is away for some seconds; it is back for two, in which operators write; then it turns all nodes away but one.
// Cause: all nodes had failed at nearly the same moment and waited for equally long, so nobody noticed the return.
func TestReturnOfTheStoreIsNoticedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.end()

		for i := range 20 {
			time.Sleep(10 * time.Second)
			f.change(func() { f.down = true })
			time.Sleep(4*time.Second + time.Duration(i)*250*time.Millisecond)
			f.change(func() { f.down = false; f.version++ })

			took := f.slowest(hasVersion(f.version))
			assert.Assert(t, took < 1300*time.Millisecond, "outage %d: %v", i, took)
		}
	})
}

// Symptom: the store returns and nobody notices for 1.3 s, but only from the second outage on.
// Sequence: the store is away twice; a node that reads only while others can't fails in both.
// Cause: such a node counted the failed reads of the first outage on, since it had no sound read of its own between
// them. With more than one failed read all nodes wait equally long, so their reads came in one cluster each 1.8 s.
func TestTurnsAreTakenInEachOutage(t *testing.T) {
	// longestPause is the 0.6 s of a turn, and the 0.5 s over which the first tries of all are spread.
	const longestPause = 1100 * time.Millisecond

	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.end()

		for outage := range 20 {
			time.Sleep(10*time.Second + time.Duration(outage)*130*time.Millisecond)
			f.change(func() { f.down = true })
			// By then all have tried once.
			time.Sleep(2500 * time.Millisecond)

			last, reads := time.Now(), f.countReads()

			for range 800 {
				time.Sleep(10 * time.Millisecond)

				if now := f.countReads(); now != reads {
					last, reads = time.Now(), now
				}

				assert.Assert(t, time.Since(last) < longestPause, "outage %d", outage)
			}

			f.change(func() { f.down = false })
		}
	})
}

// Symptom: a node goes on sending to an upstream that left, though its parent knows.
// Sequence: an upstream leaves, comes back the same, and leaves again; a child misses the first time and hears of the second.
// Cause: the parent's encoded change bore the revision of the first time, so the child took it for an older registry than its own.
func TestRegistryThatIsTheSameAgainIsTakenIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.end()

		time.Sleep(10 * time.Second)

		for i := range 12 {
			f.change(func() { f.ids = []string{"a", "b"}[:1+i%2] })
			want := len(f.ids)
			took := f.slowest(func(s *cataloguer.State) bool { return len(s.Registry.Upstreams) == want })
			assert.Assert(t, took < 1700*time.Millisecond, "change %d: %v", i, took)
			time.Sleep(time.Duration(i) * 90 * time.Millisecond)
		}
	})
}

// The parent's answers, with the change encoded at an earlier time at which its registry held the same.
func TestChangeBearsTheRevisionOfTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := func() time.Duration { return time.Hour }
		parent, child := cataloguer.New(now), cataloguer.New(now)
		alone := &fleet{version: 1, parts: map[string]*member{}, turnedAway: map[string]bool{}, listed: map[string]cataloguer.Node{}}
		m := &member{fleet: alone, name: "parent", catalog: parent}
		m.follower = follower.New(follower.Options{
			Catalog: parent, Store: m, Peers: m, Self: cataloguer.Node{Name: "parent"},
			Seeds: func() []string { return nil }, LiveNodes: m.live, DepartedNodes: alone.gone, Logger: zerolog.Nop(),
		})
		alone.parts["parent"] = m

		both := []cataloguer.Upstream{{ID: "a"}, {ID: "b"}}
		register := func(c *cataloguer.Catalog, revision int64, upstreams []cataloguer.Upstream) {
			c.ApplyConfiguration(cataloguer.Configuration{Version: 1}, time.Hour)
			c.ApplyRegistry(cataloguer.Registry{Revision: revision, Upstreams: upstreams}, false)
		}

		register(parent, 9, both)
		register(parent, 10, both[:1])

		// Another child had the change at revision 10; the parent then missed that b came back for a moment.
		other := cataloguer.New(now)
		register(other, 9, both)
		pullOnce(t, m, other)
		parent.AdvanceRegistryRevision(parent.State().Digest, 20, 0)

		register(child, 12, both)
		pullOnce(t, m, child)
		assert.Equal(t, len(child.State().Registry.Upstreams), 1)
		assert.Equal(t, child.State().Registry.Revision, int64(20))
	})
}

// pullOnce lets a node with the catalog ask another one once.
func pullOnce(t *testing.T, asked *member, catalog *cataloguer.Catalog) {
	t.Helper()

	child := &member{fleet: asked.fleet, name: "child", catalog: catalog}
	child.follower = follower.New(follower.Options{
		Catalog: catalog, Store: child, Peers: child, Self: cataloguer.Node{Name: "child"},
		Seeds: func() []string { return nil }, LiveNodes: child.live, DepartedNodes: asked.fleet.gone, Logger: zerolog.Nop(),
	})

	_, err := child.follower.HandleChanged(t.Context(), asked.name, nil)
	assert.NilError(t, err)

	ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()

	child.follower.Run(ctx)
	synctest.Wait()
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
			age, _ := m.catalog.ConfigurationAge()
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
