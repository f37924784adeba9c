package follower_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	// largeFleetSize is the number of nodes of a large fleet; every twentieth is a strong VM.
	largeFleetSize = 300
	domainCount    = 5
	// narrowLinkBytesPerMS is 20 Mbit/s in bytes per millisecond.
	narrowLinkBytesPerMS = 2500
)

// newLargeFleet starts nodes in five failure domains, few of them strong, at nearly the same moment.
func newLargeFleet(t *testing.T) *fleet {
	t.Helper()

	f := newFleet(t, 0)
	f.startLarge(t)

	return f
}

// startLarge starts the nodes of a large fleet with three seeds.
func (f *fleet) startLarge(t *testing.T) {
	t.Helper()
	f.startNodes(t, largeFleetSize)
}

// startNodes starts nodes in five failure domains with three seeds.
func (f *fleet) startNodes(t *testing.T, count int) {
	t.Helper()

	seeds := []string{"n000", "n001", "n002"}

	for i := range count {
		name := fmt.Sprintf("n%03d", i)
		node := cataloguer.Node{Name: name, FailureDomain: fmt.Sprint("d", i%domainCount), Capacity: 0.2}

		if i/domainCount%20 == 3 {
			node.Capacity = 0.8
		}

		f.mu.Lock()
		f.nodeInfo[name] = node
		f.mu.Unlock()
		f.start(t, name, seeds)
	}
}

// countCalls returns the number of calls to the store within the given time.
func (f *fleet) countCalls(span time.Duration) int {
	f.mu.Lock()
	before := f.calls
	f.mu.Unlock()
	time.Sleep(span)
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.calls - before
}

// maxAge returns the highest configuration age of all nodes.
func (f *fleet) maxAge() time.Duration {
	oldest := time.Duration(0)

	for _, m := range f.members {
		age, known := m.catalog.ConfigurationAge()
		if !known {
			return time.Hour
		}

		oldest = max(oldest, age)
	}

	return oldest
}

func routes(count int) []cataloguer.Route {
	random := rand.New(rand.NewPCG(1, 2))
	result := make([]cataloguer.Route, 0, count)

	for i := range count {
		result = append(result, cataloguer.Route{
			Name: fmt.Sprintf("r-%07x", random.Uint32()), Host: fmt.Sprintf("h%07x.example", random.Uint32()),
			PathPrefix: fmt.Sprintf("/%07x%d/", random.Uint32(), i), Kind: cataloguer.Idempotent, Timeout: 3 * time.Second,
			Target: 100 * time.Millisecond, Shares: []cataloguer.Share{{Service: "counter", Weight: 1000}}, Attempts: 2,
		})
	}

	return result
}

// 300 nodes start within a second and don't know each other. If each reads the whole store and lists itself with its
// own write, which changes the registry on all others, the store rejects nodes for too many calls, and each call is
// paid for.
func TestManyNodesStartWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeFleet(t)
		defer f.stop()

		calls := f.countCalls(6 * time.Second)
		f.mu.Lock()
		listed := len(f.nodes)
		f.mu.Unlock()

		assert.Equal(t, listed, largeFleetSize)
		assert.Assert(t, f.maxAge() < 3*time.Second, "highest configuration age is %v", f.maxAge())
		// Three seeds read for 6 s, and ten writes list 300 nodes.
		assert.Assert(t, calls <= 150, "%d calls", calls)
	})
}

// A third of 300 nodes is rejected for 9 s; later the store answers no node for 8 s. If each node with a stale
// configuration reads the store every 0.6 s, whatever the others find, calls grow with the fleet while the store
// can't serve them, and it rejects those that matter.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeFleet(t)
		defer f.stop()

		time.Sleep(15 * time.Second)

		baseline := f.countCalls(9 * time.Second)
		assert.Assert(t, baseline <= 16, "%d calls in 9 s without faults", baseline)

		f.update(func() {
			for i, name := range slices.Sorted(f.names()) {
				f.rejected[name] = i%3 == 0
			}

			f.rejected[f.reader()] = true
		})

		calls := f.countCalls(4 * time.Second)
		assert.Assert(t, f.maxAge() < 4*time.Second, "highest configuration age is %v", f.maxAge())

		f.update(func() { f.version = 2 })
		assert.Assert(t, f.timeUntilAll(hasVersion(2)) < 2*time.Second)

		calls += f.countCalls(4 * time.Second)
		assert.Assert(t, calls <= 2*baseline, "%d calls while a third of the nodes is rejected, %d without faults", calls, baseline)

		f.update(func() { clear(f.rejected) })
		time.Sleep(5 * time.Second)
		f.update(func() { f.unresponsive = true })
		calls = f.countCalls(8 * time.Second)
		assert.Assert(t, calls <= 2*baseline, "%d calls while the store is unresponsive, %d without faults", calls, baseline)

		f.update(func() { f.unresponsive, f.version = false, 3 })
		assert.Assert(t, f.timeUntilAll(hasVersion(3)) < 3*time.Second)
		time.Sleep(3 * time.Second)
		assert.Assert(t, f.maxAge() < 3*time.Second, "highest configuration age is %v", f.maxAge())
	})
}

// Operators add 1,900 routes, and each node pulls them from its parent over a 20 Mbit/s link. When the whole
// configuration of half a megabyte was sent to all children at once, each pull timed out after 0.3 s and started
// over. The configuration never arrived, the state of keys became too old, and every VM refused every request.
func TestManyRoutesReachAllOverNarrowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeFleet(t)
		defer f.stop()

		f.update(func() { f.routes = routes(100) })
		time.Sleep(15 * time.Second)

		f.mu.Lock()
		f.linkBytesPerMS = narrowLinkBytesPerMS
		f.mu.Unlock()
		f.update(func() { f.version, f.routes = 2, append(f.routes, routes(2000)[100:]...) })

		took := f.timeUntilAll(hasVersion(2))
		assert.Assert(t, took < 4*time.Second, "applied on all nodes after %v", took)

		for name, m := range f.members {
			assert.Equal(t, len(m.catalog.State().Configuration.Routes), 2000, name)
		}

		// Another key then costs a few bytes, not a resend of the routes.
		f.mu.Lock()
		f.sentBytes = 0
		f.mu.Unlock()
		f.update(func() {
			f.version, f.organisations = 3, []cataloguer.Organisation{{Name: "salon", Keys: []string{"k"}}}
		})

		took = f.timeUntilAll(hasVersion(3))
		assert.Assert(t, took < 1500*time.Millisecond, "key change applied on all nodes after %v", took)
		assert.Assert(t, f.sentBytes < 1000*largeFleetSize, "%d bytes for one key", f.sentBytes)
	})
}

// Upstreams come and go one by one, and each change goes to 300 nodes. When each change carried the whole registry of
// about 60 KB, and parents were chosen regardless of failure domain, cross-domain bytes and processor time grew with
// the square of the fleet during a release.
func TestOneUpstreamCostsOneUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLargeFleet(t)
		defer f.stop()

		f.update(func() {
			for i := range 150 {
				f.upstreamIDs = append(f.upstreamIDs, fmt.Sprintf("u%03d", i))
			}
		})
		time.Sleep(15 * time.Second)

		f.mu.Lock()
		f.sentBytes, f.crossDomainBytes = 0, 0
		f.mu.Unlock()

		const changes = 10
		for i := range changes {
			f.update(func() { f.upstreamIDs[i] = fmt.Sprint("new", i) })
			time.Sleep(time.Second)
		}

		f.timeUntilAll(func(s *cataloguer.State) bool {
			return s.Registry.Upstreams.Contains("new9")
		})

		// Beside the changes, each node asks every 0.4 s for the age of its parent's state.
		assert.Assert(t, f.sentBytes < changes*largeFleetSize*1200, "%d bytes", f.sentBytes)
		assert.Assert(t, f.crossDomainBytes*10 < f.sentBytes, "%d of %d bytes went between failure domains", f.crossDomainBytes, f.sentBytes)
	})
}

// The store's list of changes is empty for a second while operators write, and that second is compacted afterwards.
// If an empty list counts as confirmation that nothing changed, some nodes accept a revoked key indefinitely.
func TestChangesThatTheStoreHidesAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.stop()

		time.Sleep(10 * time.Second)
		f.update(func() { f.changesHidden, f.version = true, 2 })
		assert.Assert(t, f.timeUntilAll(hasVersion(2)) < 1700*time.Millisecond)

		f.update(func() { f.version = 3 })
		f.mu.Lock()
		f.changesHidden, f.oldestRevision = false, f.revision
		f.mu.Unlock()
		assert.Assert(t, f.timeUntilAll(hasVersion(3)) < 1700*time.Millisecond)
	})
}

// All VMs lost power at once: 300 nodes start and ask three seeds for 2,000 routes over 20 Mbit/s links. When all
// read the store at the same time, sharing its link and its rate limit, or requested the whole uncompressed
// configuration from three weak VMs, starting over each time, callers were refused for many seconds, longer with more
// VMs.
func TestManyRoutesReachAFleetThatStartsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		defer f.stop()

		f.linkBytesPerMS = narrowLinkBytesPerMS
		f.routes = routes(2000)
		f.startLarge(t)

		took := f.timeUntilAll(hasVersion(1))
		f.mu.Lock()
		calls := f.calls
		f.mu.Unlock()

		assert.Assert(t, took < 4*time.Second, "all nodes have the routes after %v", took)
		// Nodes whose seeds are too slow read the store, at most once each.
		assert.Assert(t, calls <= 4*largeFleetSize, "%d calls", calls)
	})
}
