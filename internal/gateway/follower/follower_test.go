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
	"quincepath.example/quincepath/internal/storer"
)

var errUnavailable = errors.New("away")

// fleet simulates a store and nodes with faults between them.
type fleet struct {
	mu       sync.Mutex
	version  int64
	revision int64
	// era is the store's; 0 if it names none. Nodes that are behind get answers of the era before.
	era    int64
	behind map[string]bool
	// routes and organisations are part of the configuration in force.
	routes        []cataloguer.Route
	organisations []cataloguer.Organisation
	nodes         []cataloguer.Node
	upstreamIDs   []string
	// addresses holds the addresses of upstreams that have one.
	addresses map[string]string
	// softwareVersions holds those of upstreams that have one. versions are the recorded ones; nil if the store keeps none, and
	// versionsRejected makes it take no more.
	softwareVersions map[string]string
	versions         map[cataloguer.ServiceVersion]bool
	versionsRejected bool
	// versionsHang makes each write of versions hang until its caller gives up.
	versionsHang bool
	reads        int
	// calls counts all calls to the store, including writes.
	calls int
	// lastReader is the node that made the last call.
	lastReader string
	// pastUpstreamIDs and pastNodes were listed at some time.
	pastUpstreamIDs, pastNodes map[string]bool
	// oldestRevision is the revision from which changes are available; changesHidden makes the list of changes empty.
	oldestRevision int64
	changesHidden  bool
	// unresponsive makes each call to the store hang until its caller gives up.
	unresponsive bool
	// rejected holds the nodes that the store rejects; while down, it rejects all.
	rejected map[string]bool
	down     bool
	// callDelay delays each response between nodes.
	callDelay time.Duration
	// pauses draws for how long a node stands still with a response in its hands, of the store or of a node; nil if none does.
	pauses  func() time.Duration
	members map[string]*member
	// stoppedAt holds the nodes that were stopped by stopNode.
	stoppedAt map[string]time.Time
	// departedNodes are reported as departed to all nodes.
	departedNodes []string
	// nodeInfo holds the announced entries of nodes that announce more than their name.
	nodeInfo map[string]cataloguer.Node
	// sentBytes counts the bytes of responses between nodes; crossDomainBytes those between failure domains.
	sentBytes, crossDomainBytes int
	// sentBy counts the responses and their bytes by node.
	sentBy map[string]traffic
	// registryPages is the number of parts in which the store lists the registry, each after pageDelay.
	registryPages int
	pageDelay     time.Duration
	// startsWithoutSeeds lets nodes start while no seed answers; listings counts how often they list the nodes.
	startsWithoutSeeds bool
	listings           int
	// absentHang makes calls to nodes that don't run hang until their caller gives up.
	absentHang bool
	// frozen holds the nodes that stand still, each with a channel that is closed when it goes on. frozenFor is the total time that
	// nodes have stood still.
	frozen    map[string]chan struct{}
	frozenFor map[string]time.Duration
	// linkBytesPerMS is the bandwidth of each node's link in bytes per millisecond; 0 means unlimited.
	linkBytesPerMS float64
}

// traffic counts the responses of one node.
type traffic struct {
	responses, bytes int
}

type member struct {
	fleet    *fleet
	name     string
	catalog  *cataloguer.Catalog
	follower *follower.Follower
	stop     context.CancelFunc
	// linkFreeAt is when the node's link has sent all queued bytes.
	linkFreeAt time.Time
	startedAt  time.Time
}

func newFleet(t *testing.T, count int) *fleet {
	t.Helper()

	f := &fleet{
		version: 1, revision: 1, upstreamIDs: []string{"a"}, rejected: map[string]bool{}, members: map[string]*member{},
		pastUpstreamIDs: map[string]bool{}, pastNodes: map[string]bool{}, nodeInfo: map[string]cataloguer.Node{}, sentBy: map[string]traffic{},
		stoppedAt: map[string]time.Time{},
	}
	for i := range count {
		f.start(t, fmt.Sprint("n", i), nil)
	}

	return f
}

func (f *fleet) start(t *testing.T, name string, seeds []string) *member {
	t.Helper()

	startedAt := time.Now()
	ctx, stop := context.WithCancel(t.Context())
	m := &member{fleet: f, name: name, stop: stop, startedAt: startedAt}
	m.catalog = cataloguer.New(func() time.Duration { return time.Hour + time.Since(startedAt) })
	options := follower.Options{
		Catalog: m.catalog, Store: m, Peers: m, Self: f.node(name),
		Seeds: func() []string { return seeds }, LiveNodes: m.live, AbsentNodes: m.absent, DepartedNodes: f.departed, Paused: m.paused, Logger: zerolog.Nop(),
	}

	if f.versions != nil {
		options.Versions = m
	}

	if f.startsWithoutSeeds {
		options.NodeLister = m
	}

	m.follower = follower.New(options)

	f.mu.Lock()
	f.members[name] = m
	delete(f.stoppedAt, name)
	f.mu.Unlock()

	go m.follower.Run(ctx)

	return m
}

func (f *fleet) node(name string) cataloguer.Node {
	f.mu.Lock()
	defer f.mu.Unlock()

	if node, ok := f.nodeInfo[name]; ok {
		return node
	}

	return cataloguer.Node{Name: name}
}

// live returns the node itself and the running nodes that it knows.
func (m *member) live() []string {
	names := []string{m.name}

	m.fleet.awaitThaw(m.name)
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	for node := range m.catalog.State().Registry.Nodes.All() {
		if m.fleet.members[node.Name] != nil && node.Name != m.name {
			names = append(names, node.Name)
		}
	}

	return names
}

func (f *fleet) departed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.departedNodes)
}

func (f *fleet) update(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, id := range f.upstreamIDs {
		f.pastUpstreamIDs[id] = true
	}

	for _, node := range f.nodes {
		f.pastNodes[node.Name] = true
	}

	f.revision++
	apply()
}

func (f *fleet) stop() {
	for _, m := range f.members {
		m.stop()
	}
}

// names returns the node names. f.mu must be held.
func (f *fleet) names() iter.Seq[string] {
	return maps.Keys(f.members)
}

// reader returns the node that last called the store. f.mu must be held.
func (f *fleet) reader() string {
	return f.lastReader
}

// timeUntilAll returns the time until all nodes satisfy the condition, at most 20 s.
func (f *fleet) timeUntilAll(condition func(*cataloguer.State) bool) time.Duration {
	startedAt := time.Now()

	for time.Since(startedAt) < 20*time.Second {
		all := true
		for _, m := range f.members {
			all = all && condition(m.catalog.State())
		}

		if all {
			break
		}

		time.Sleep(10 * time.Millisecond)
	}

	return time.Since(startedAt)
}

func (f *fleet) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.reads
}

func (m *member) callStore(ctx context.Context) error {
	m.fleet.awaitThaw(m.name)

	if !sleeper.Sleep(ctx, 4*time.Millisecond) {
		return ctx.Err()
	}

	m.fleet.awaitThaw(m.name)

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	m.fleet.reads++
	m.fleet.calls++
	m.fleet.lastReader = m.name

	if m.fleet.unresponsive {
		m.fleet.mu.Unlock()
		<-ctx.Done()
		m.fleet.mu.Lock()

		return ctx.Err()
	}

	if m.fleet.down || m.fleet.rejected[m.name] {
		return errUnavailable
	}

	return nil
}

func (m *member) Position(ctx context.Context) (storer.Position, error) {
	if err := m.callStore(ctx); err != nil {
		return storer.Position{}, err
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	position := m.fleet.positionLocked()
	if m.fleet.behind[m.name] {
		position.Era--
	}

	m.fleet.mu.Unlock()
	m.fleet.pause()
	m.fleet.mu.Lock()

	return position, nil
}

// pause lets a node stand still. Nothing that it waits for can end that.
func (f *fleet) pause() {
	f.mu.Lock()
	pauses := f.pauses
	f.mu.Unlock()

	if pauses != nil {
		time.Sleep(pauses())
	}
}

func (m *member) Changes(ctx context.Context, after storer.Position) (follower.Changes, error) {
	if err := m.callStore(ctx); err != nil {
		return follower.Changes{}, err
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	if after.Revision < m.fleet.oldestRevision || after.Era != m.fleet.era || after.Revision > m.fleet.revision {
		return follower.Changes{}, follower.ErrHistoryCompacted
	}

	if m.fleet.changesHidden {
		return follower.Changes{}, nil
	}

	changes := m.fleet.changesLocked()

	m.fleet.mu.Unlock()
	m.fleet.pause()
	m.fleet.mu.Lock()

	return changes, nil
}

// changesLocked reports all current entries as written and all past ones as removed. f.mu must be held.
func (f *fleet) changesLocked() follower.Changes {
	configuration := f.configurationLocked()
	changes := follower.Changes{Position: f.positionLocked(), Configuration: &configuration, Nodes: slices.Clone(f.nodes)}

	for _, id := range f.upstreamIDs {
		changes.Upstreams = append(changes.Upstreams, cataloguer.Upstream{ID: id, Address: f.addresses[id], SoftwareVersion: f.softwareVersions[id]})
	}

	for id := range f.pastUpstreamIDs {
		if !slices.Contains(f.upstreamIDs, id) {
			changes.GoneUpstreams = append(changes.GoneUpstreams, id)
		}
	}

	for name := range f.pastNodes {
		if !slices.ContainsFunc(f.nodes, func(n cataloguer.Node) bool { return n.Name == name }) {
			changes.GoneNodes = append(changes.GoneNodes, name)
		}
	}

	return changes
}

// positionLocked returns the store's position. f.mu must be held.
func (f *fleet) positionLocked() storer.Position {
	return storer.Position{Era: f.era, Revision: f.revision}
}

// configurationLocked returns the configuration in force. f.mu must be held.
func (f *fleet) configurationLocked() cataloguer.Configuration {
	return cataloguer.Configuration{Version: f.version, Routes: f.routes, Organisations: f.organisations}
}

func (m *member) Configuration(ctx context.Context) (cataloguer.Configuration, storer.Position, error) {
	if err := m.callStore(ctx); err != nil {
		return cataloguer.Configuration{}, storer.Position{}, err
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	return m.fleet.configurationLocked(), m.fleet.positionLocked(), nil
}

func (m *member) Nodes(ctx context.Context) ([]cataloguer.Node, error) {
	if err := m.callStore(ctx); err != nil {
		return nil, err
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	m.fleet.listings++

	return slices.Clone(m.fleet.nodes), nil
}

func (m *member) Registry(ctx context.Context, progress func()) (cataloguer.Listing, error) {
	for range max(m.fleet.registryPages, 1) {
		if err := m.callStore(ctx); err != nil {
			return cataloguer.Listing{}, err
		}

		if !sleeper.Sleep(ctx, m.fleet.pageDelay) {
			return cataloguer.Listing{}, ctx.Err()
		}

		progress()
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	listing := cataloguer.Listing{Position: m.fleet.positionLocked(), Nodes: slices.Clone(m.fleet.nodes)}
	for _, id := range m.fleet.upstreamIDs {
		listing.Upstreams = append(listing.Upstreams, cataloguer.Upstream{ID: id, Address: m.fleet.addresses[id], SoftwareVersion: m.fleet.softwareVersions[id]})
	}

	return listing, nil
}

func (m *member) Announce(ctx context.Context, nodes []cataloguer.Node) error {
	if err := m.callStore(ctx); err != nil {
		return err
	}

	m.fleet.update(func() {
		for _, node := range nodes {
			if !slices.Contains(m.fleet.nodes, node) {
				m.fleet.nodes = append(m.fleet.nodes, node)
			}
		}
	})

	return nil
}

func (m *member) Withdraw(ctx context.Context, names []string) error {
	if err := m.callStore(ctx); err != nil {
		return err
	}

	m.fleet.update(func() {
		m.fleet.nodes = slices.DeleteFunc(m.fleet.nodes, func(n cataloguer.Node) bool { return slices.Contains(names, n.Name) })
	})

	return nil
}

func (m *member) Call(ctx context.Context, peer, method string, params, result any) error {
	m.fleet.mu.Lock()
	other, held := m.fleet.members[peer], m.fleet.callDelay
	m.fleet.mu.Unlock()

	if other == nil {
		if m.fleet.absentHang {
			<-ctx.Done()
		}

		return errUnavailable
	}

	m.fleet.awaitThaw(m.name)

	if !m.fleet.awaitThawUntil(ctx, peer) {
		return ctx.Err()
	}

	data, err := json.Marshal(params)
	if err != nil {
		return err
	}

	handlers := map[string]func(context.Context, string, json.RawMessage) (any, error){
		follower.MethodPull:      other.follower.HandlePull,
		follower.MethodChanged:   other.follower.HandleChanged,
		follower.MethodAnnounce:  other.follower.HandleAnnounce,
		follower.MethodInvite:    other.follower.HandleInvite,
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

	m.fleet.pause()
	m.fleet.awaitThaw(m.name)

	if !sleeper.Sleep(ctx, time.Millisecond+held+m.transferTime(other, len(data))) {
		return ctx.Err()
	}

	if result == nil {
		return nil
	}

	return json.Unmarshal(data, result)
}

// transferTime counts a response and returns its transfer time on the sender's link, which sends responses one after
// the other.
func (m *member) transferTime(from *member, bytes int) time.Duration {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	m.fleet.sentBytes += bytes
	sent := m.fleet.sentBy[from.name]
	m.fleet.sentBy[from.name] = traffic{responses: sent.responses + 1, bytes: sent.bytes + bytes}

	if m.fleet.nodeInfo[m.name].FailureDomain != m.fleet.nodeInfo[from.name].FailureDomain {
		m.fleet.crossDomainBytes += bytes
	}

	if m.fleet.linkBytesPerMS == 0 {
		return 0
	}

	now := time.Now()
	if from.linkFreeAt.Before(now) {
		from.linkFreeAt = now
	}

	from.linkFreeAt = from.linkFreeAt.Add(time.Duration(float64(bytes) / m.fleet.linkBytesPerMS * float64(time.Millisecond)))

	return from.linkFreeAt.Sub(now)
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
		defer f.stop()

		time.Sleep(10 * time.Second)
		f.mu.Lock()
		f.reads = 0
		f.mu.Unlock()
		time.Sleep(60 * time.Second)

		f.mu.Lock()
		defer f.mu.Unlock()
		// One node reads every 0.6 s, with one call as long as nothing changes.
		assert.Assert(t, f.reads <= 105, "%d reads in a minute", f.reads)
		assert.Equal(t, len(f.nodes), 9)
	})
}

func TestChangesReachAllNodes(t *testing.T) {
	for _, count := range []int{9, 88, 370} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, count)
			defer f.stop()

			time.Sleep(15 * time.Second)
			f.update(func() { f.version = 7 })
			took := f.timeUntilAll(hasVersion(7))
			assert.Assert(t, took < 1200*time.Millisecond, "%d nodes: %v", count, took)
		})
	}
}

// The store rejects the root, and then an upstream leaves. If other nodes wait long before they read the store, or
// notify only their children, the upstream gets requests two seconds after it announced that it leaves.
func TestReaderThatIsTurnedAwayIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.stop()

		time.Sleep(15 * time.Second)
		f.update(func() { f.rejected[f.firstNodeLocked()] = true })
		time.Sleep(5 * time.Second)

		for i := range 20 {
			f.update(func() { f.upstreamIDs = []string{fmt.Sprint("u", i)} })
			took := f.timeUntilAll(func(s *cataloguer.State) bool {
				return s.Registry.Upstreams.Contains(fmt.Sprint("u", i)) && s.Registry.Upstreams.Len() == 1
			})
			assert.Assert(t, took < 1700*time.Millisecond, "change %d: %v", i, took)
			time.Sleep(130 * time.Millisecond)
		}
	})
}

// firstNodeLocked returns the root, which reads the store. f.mu must be held.
func (f *fleet) firstNodeLocked() string {
	names := []string{}
	for name := range f.members {
		names = append(names, name)
	}

	return follower.SortByHash(names)[0]
}

// The store serves one node of nine. If only a node's own reads count for its freshness, the nodes that the store
// rejects refuse all keys.
func TestNodesLearnThroughTheOneThatReachesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.stop()

		time.Sleep(15 * time.Second)
		f.update(func() {
			for name := range f.members {
				f.rejected[name] = name != "n5"
			}
		})
		time.Sleep(3 * time.Second)

		for range 50 {
			time.Sleep(200 * time.Millisecond)

			for name, m := range f.members {
				age, known := m.catalog.ConfigurationAge()
				assert.Assert(t, known && age < 4*time.Second, "%s has a configuration age of %v", name, age)
			}
		}
	})
}

// The store rejects all of nine nodes but one, and a key is revoked at that moment. If nodes far behind the root in
// the order wait too long before they try the store, the key is accepted for longer than two seconds.
func TestAnyOneOfNineHearsOfChangesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.stop()

		for i := range 9 {
			f.update(func() { clear(f.rejected) })
			time.Sleep(10*time.Second + time.Duration(i)*70*time.Millisecond)
			f.update(func() {
				for name := range f.members {
					f.rejected[name] = name != fmt.Sprint("n", i)
				}

				f.version++
			})

			took := f.timeUntilAll(hasVersion(f.version))
			assert.Assert(t, took < 1900*time.Millisecond, "n%d: %v", i, took)
		}
	})
}

// The store rejects most of many nodes, and those that it serves are far behind the root in the order. A revoked key
// must not be accepted for longer than three seconds.
func TestAnyEighthOfManyHearsOfChangesInTime(t *testing.T) {
	const (
		nodes = 65
		part  = 8
	)

	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, nodes)
		defer f.stop()

		for i := range part {
			f.update(func() { clear(f.rejected) })
			time.Sleep(15*time.Second + time.Duration(i)*70*time.Millisecond)
			f.update(func() {
				for j := range nodes {
					f.rejected[fmt.Sprint("n", j)] = j%part != i
				}

				f.version++
			})

			took := f.timeUntilAll(hasVersion(f.version))
			assert.Check(t, took < 3*time.Second, "every %dth from n%d: %v", part, i, took)
		}
	})
}

// The store is away for some seconds, returns for two seconds in which operators write, and then rejects all nodes
// but one. If all nodes failed at nearly the same moment and wait equally long, none notices the return: new routes
// are refused, and revoked keys accepted, for over two seconds.
func TestReturnOfTheStoreIsNoticedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.stop()

		for i := range 20 {
			time.Sleep(10 * time.Second)
			f.update(func() { f.down = true })
			time.Sleep(4*time.Second + time.Duration(i)*250*time.Millisecond)
			f.update(func() { f.down = false; f.version++ })

			took := f.timeUntilAll(hasVersion(f.version))
			assert.Assert(t, took < 1300*time.Millisecond, "outage %d: %v", i, took)
		}
	})
}

// The store is away twice, and a node that reads only while others can't fails in both outages. It had no successful
// read between them, so it counted the failed reads of the first outage in the second. With more than one failed read
// all nodes wait equally long: their reads came in one cluster every 1.8 s, and the store's return went unnoticed for
// 1.3 s from the second outage on.
func TestTurnsAreTakenInEachOutage(t *testing.T) {
	// longestPause is one retry slot of 0.6 s plus the 0.5 s over which the first reads of all nodes are spread.
	const longestPause = 1100 * time.Millisecond

	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.stop()

		for outage := range 20 {
			time.Sleep(10*time.Second + time.Duration(outage)*130*time.Millisecond)
			f.update(func() { f.down = true })
			// By then all nodes have tried once.
			time.Sleep(2500 * time.Millisecond)

			last, reads := time.Now(), f.readCount()

			for range 800 {
				time.Sleep(10 * time.Millisecond)

				if now := f.readCount(); now != reads {
					last, reads = time.Now(), now
				}

				assert.Assert(t, time.Since(last) < longestPause, "outage %d", outage)
			}

			f.update(func() { f.down = false })
		}
	})
}

// An upstream leaves, returns unchanged, and leaves again; a child misses the first departure and is notified of the
// second. If the parent's cached delta carries the revision of the first departure, the child ignores it as older
// than its own registry, and keeps sending to the upstream.
func TestRegistryThatIsTheSameAgainIsTakenIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()

		time.Sleep(10 * time.Second)

		for i := range 12 {
			f.update(func() { f.upstreamIDs = []string{"a", "b"}[:1+i%2] })
			want := len(f.upstreamIDs)
			took := f.timeUntilAll(func(s *cataloguer.State) bool { return s.Registry.Upstreams.Len() == want })
			assert.Assert(t, took < 1700*time.Millisecond, "change %d: %v", i, took)
			time.Sleep(time.Duration(i) * 90 * time.Millisecond)
		}
	})
}

// The parent answers with a delta that was encoded at an earlier revision, at which its registry had the same
// content.
func TestChangeBearsTheRevisionOfTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := func() time.Duration { return time.Hour }
		parent, child := cataloguer.New(now), cataloguer.New(now)
		singleNode := &fleet{version: 1, members: map[string]*member{}, rejected: map[string]bool{}, nodeInfo: map[string]cataloguer.Node{}, sentBy: map[string]traffic{}}
		m := &member{fleet: singleNode, name: "parent", catalog: parent}
		m.follower = follower.New(follower.Options{
			Catalog: parent, Store: m, Peers: m, Self: cataloguer.Node{Name: "parent"},
			Seeds: func() []string { return nil }, LiveNodes: m.live, DepartedNodes: singleNode.departed, Logger: zerolog.Nop(),
		})
		singleNode.members["parent"] = m

		both := []cataloguer.Upstream{{ID: "a"}, {ID: "b"}}
		register := func(c *cataloguer.Catalog, revision int64, upstreams []cataloguer.Upstream) {
			c.ApplyConfiguration(cataloguer.Configuration{Version: 1}, time.Hour)
			c.ApplyRegistry(cataloguer.NewRegistry(cataloguer.Listing{Position: storer.Position{Revision: revision}, Upstreams: upstreams}), false)
		}

		register(parent, 9, both)
		register(parent, 10, both[:1])

		// Another child had the change at revision 10; the parent then missed that b returned for a moment.
		other := cataloguer.New(now)
		register(other, 9, both)
		pullOnce(t, m, other)
		parent.AdvanceRegistry(parent.State().Digest, storer.Position{Revision: 20}, 0)

		register(child, 12, both)
		pullOnce(t, m, child)
		assert.Equal(t, child.State().Registry.Upstreams.Len(), 1)
		assert.Equal(t, child.State().Registry.Position.Revision, int64(20))
	})
}

// pullOnce makes a node with the given catalog pull from a peer once.
func pullOnce(t *testing.T, peer *member, catalog *cataloguer.Catalog) {
	t.Helper()

	child := &member{fleet: peer.fleet, name: "child", catalog: catalog}
	child.follower = follower.New(follower.Options{
		Catalog: catalog, Store: child, Peers: child, Self: cataloguer.Node{Name: "child"},
		Seeds: func() []string { return nil }, LiveNodes: child.live, DepartedNodes: peer.fleet.departed, Logger: zerolog.Nop(),
	})

	_, err := child.follower.HandleChanged(t.Context(), peer.name, nil)
	assert.NilError(t, err)

	ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()

	child.follower.Run(ctx)
	synctest.Wait()
}

// The store is away, and a peer's response is delayed. If its age counts from its arrival and not from the pull, a
// node that is cut off appears fresh.
func TestAgeGrowsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.stop()

		time.Sleep(15 * time.Second)
		f.update(func() {
			f.down = true
			f.callDelay = 200 * time.Millisecond
		})
		time.Sleep(10 * time.Second)

		for name, m := range f.members {
			age, _ := m.catalog.ConfigurationAge()
			assert.Assert(t, age >= 10*time.Second, "%s reports a configuration age of only %v", name, age)
		}
	})
}

// A node that knows only a seed starts during a store outage. If only the store can provide the configuration, the
// node answers 404 or 401 for existing routes and keys.
func TestNodeStartsDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()

		time.Sleep(5 * time.Second)
		f.update(func() { f.down = true })
		started := f.start(t, "new", []string{"gone", "n1"})
		time.Sleep(3 * time.Second)

		assert.Equal(t, started.catalog.State().Configuration.Version, int64(1))
	})
}

// Nodes leave for good, and a live node is reported as departed. If entries are never removed, the list of nodes
// grows with each replaced VM, and all nodes are probed forever. The live node must be listed again.
func TestNodesThatAreGoneAreWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.stop()

		time.Sleep(10 * time.Second)
		f.members["n3"].stop()
		f.mu.Lock()
		delete(f.members, "n3")
		f.departedNodes = []string{"n3", "n5", "never-listed"}
		f.mu.Unlock()
		time.Sleep(90 * time.Second)

		f.mu.Lock()
		f.departedNodes = nil
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
