package cataloguer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

// fakeClock is a clock that tests set manually.
type fakeClock struct {
	now time.Duration
}

func (c *fakeClock) read() time.Duration { return c.now }

func newCatalog() (*cataloguer.Catalog, *fakeClock) {
	c := &fakeClock{now: time.Hour}

	return cataloguer.New(c.read), c
}

func version(number int64) cataloguer.Configuration {
	return cataloguer.Configuration{Version: number}
}

func registry(revision int64, ids ...string) cataloguer.Registry {
	listing := cataloguer.Listing{Position: storer.Position{Revision: revision}}
	for _, id := range ids {
		listing.Upstreams = append(listing.Upstreams, cataloguer.Upstream{ID: id})
	}

	return cataloguer.NewRegistry(listing)
}

func ids(c *cataloguer.Catalog) []string {
	listed := []string{}
	for upstream := range c.State().Registry.Upstreams.All() {
		listed = append(listed, upstream.ID)
	}

	return listed
}

// A removed route must not be served again when a delayed response with version 2 arrives after version 3 was
// applied.
func TestOlderConfigurationIsDropped(t *testing.T) {
	c, clock := newCatalog()

	assert.Assert(t, c.ApplyConfiguration(version(3), clock.now))
	assert.Assert(t, !c.ApplyConfiguration(version(2), clock.now+time.Second))
	assert.Equal(t, c.State().Configuration.Version, int64(3))
}

// A revoked key must not be accepted for longer because the node, at version 3, hears that version 2 was current a
// moment ago. Only confirmations of a version that is at least as new as the known one count.
func TestProofOfOlderVersionSaysNothing(t *testing.T) {
	c, clock := newCatalog()
	_, known := c.ConfigurationAge()
	assert.Assert(t, !known)

	c.ApplyConfiguration(version(3), clock.now)
	clock.now += 4 * time.Second
	c.MarkConfigurationFresh(2, clock.now)

	age, known := c.ConfigurationAge()
	assert.Assert(t, known)
	assert.Equal(t, age, 4*time.Second)

	c.MarkConfigurationFresh(3, clock.now-time.Second)
	age, _ = c.ConfigurationAge()
	assert.Equal(t, age, time.Second)

	// A newer version that the node doesn't have yet, because it arrives in pages, says nothing of the one it has.
	c.MarkConfigurationFresh(4, clock.now)
	age, _ = c.ConfigurationAge()
	assert.Equal(t, age, time.Second)

	// A confirmation as of an earlier time does not lower the freshness.
	c.MarkConfigurationFresh(3, clock.now-3*time.Second)
	age, _ = c.ConfigurationAge()
	assert.Equal(t, age, time.Second)
}

// Entries expire in the store during an outage, and the first read after it lacks them until the upstreams register
// again. Treating them as dead at once left half of the upstreams without requests for two seconds.
func TestUpstreamsMissingAfterOutageStayForAWhile(t *testing.T) {
	c, clock := newCatalog()
	c.ApplyRegistry(registry(10, "a", "b", "c"), false)

	c.ApplyRegistry(registry(20, "a"), true)
	assert.DeepEqual(t, ids(c), []string{"a", "b", "c"})
	assert.Equal(t, c.State().Registry.RetainedUpstreams, 2)

	clock.now += time.Second
	c.ApplyRegistry(registry(21, "a", "b"), false)
	assert.DeepEqual(t, ids(c), []string{"a", "b", "c"})

	clock.now += 1300 * time.Millisecond
	assert.Assert(t, c.ApplyRegistry(registry(21, "a", "b"), false))
	assert.DeepEqual(t, ids(c), []string{"a", "b"})
	assert.Equal(t, c.State().Registry.RetainedUpstreams, 0)
}

// The grace period must apply only after an outage. Otherwise an upstream that left, removed while the store answers,
// gets requests for two more seconds.
func TestUpstreamsMissingWithoutOutageAreGone(t *testing.T) {
	c, _ := newCatalog()
	c.ApplyRegistry(registry(10, "a", "b"), false)
	assert.Assert(t, c.ApplyRegistry(registry(11, "a"), false))
	assert.DeepEqual(t, ids(c), []string{"a"})
}

// A reader may drop a retained upstream while the store's revision is unchanged. Peers must accept its registry as
// newer, or they keep listing that upstream.
func TestRegistryWithFewerKeptUpstreamsIsNewer(t *testing.T) {
	r := cataloguer.Registry{Position: storer.Position{Era: 2, Revision: 5}, RetainedUpstreams: 1}
	at := func(revision int64) storer.Position { return storer.Position{Era: 2, Revision: revision} }

	assert.Assert(t, r.IsNewerThan(at(4), 0))
	assert.Assert(t, r.IsNewerThan(at(5), 2))
	assert.Assert(t, !r.IsNewerThan(at(5), 1))
	assert.Assert(t, !r.IsNewerThan(at(6), 3))
	assert.Assert(t, r.IsNewerThan(storer.Position{Era: 1, Revision: 9}, 0))
	assert.Assert(t, !r.IsNewerThan(storer.Position{Era: 3, Revision: 1}, 9))
}

// Guards against a state that is confirmed and not in force yet, as what puts it in force waits for a processor.
func TestEachChangeIsAppliedBeforeItsCallReturns(t *testing.T) {
	c, clock := newCatalog()

	var applied []*cataloguer.State

	c.OnChange(func(state *cataloguer.State) { applied = append(applied, state) })

	c.ApplyConfiguration(version(1), clock.now)
	assert.Equal(t, len(applied), 1)
	assert.Equal(t, applied[0], c.State())

	c.ApplyRegistry(registry(1), false)
	assert.Equal(t, len(applied), 1, "an unchanged registry was applied")

	c.ApplyFreshRegistry(registry(2, "a"), false, clock.now)
	assert.Equal(t, len(applied), 2)
	assert.Equal(t, applied[1], c.State())

	age, known := applied[1].RegistryFreshness.Age()
	assert.Assert(t, known)
	assert.Equal(t, age, time.Duration(0))
}

// Guards against an older configuration, or an older list, that appears fresh because a newer one was confirmed.
func TestConfirmationOfNewerContentSaysNothingOfOlder(t *testing.T) {
	c, clock := newCatalog()
	c.ApplyConfiguration(version(1), clock.now)
	c.ApplyFreshRegistry(registry(1, "a"), false, clock.now)
	older := c.State()

	clock.now += 7 * time.Second
	c.ApplyConfiguration(version(2), clock.now)
	c.MarkConfigurationFresh(2, clock.now)
	c.ApplyFreshRegistry(registry(2, "a", "b"), false, clock.now)
	c.MarkRegistryFresh(clock.now)

	for _, freshness := range []*cataloguer.Freshness{older.ConfigurationFreshness, older.RegistryFreshness} {
		age, known := freshness.Age()
		assert.Assert(t, known)
		assert.Equal(t, age, 7*time.Second)
	}

	for _, freshness := range []*cataloguer.Freshness{c.State().ConfigurationFreshness, c.State().RegistryFreshness} {
		age, _ := freshness.Age()
		assert.Equal(t, age, time.Duration(0))
	}
}

// Newer content lacks nothing that older content has, so it is as fresh as that from the start.
func TestNewerContentIsAsFreshAsOlder(t *testing.T) {
	c, clock := newCatalog()
	c.ApplyConfiguration(version(1), clock.now)
	c.ApplyFreshRegistry(registry(1, "a"), false, clock.now)
	clock.now += time.Second

	// A peer's answer that was on its way for long.
	c.ApplyConfiguration(version(2), clock.now-5*time.Second)
	c.ApplyRegistry(registry(2, "a", "b"), false)

	age, _ := c.ConfigurationAge()
	assert.Equal(t, age, time.Second)

	age, _ = c.RegistryAge()
	assert.Equal(t, age, time.Second)

	// A registry without changes keeps the freshness of the one that it equals.
	c.ApplyFreshRegistry(registry(3, "a", "b"), false, clock.now)
	c.AdvanceRegistry(c.State().Digest, storer.Position{Revision: 4}, 0)

	age, _ = c.RegistryAge()
	assert.Equal(t, age, time.Duration(0))
}

// A server restarts under its ID, and then the entry of its previous start becomes visible. If entries are ordered
// only by their arrival, requests go to the server's old address.
func TestEntryOfAnEarlierStartIsDropped(t *testing.T) {
	c, _ := newCatalog()
	listed := func(revision, born int64, address string) cataloguer.Registry {
		return cataloguer.NewRegistry(cataloguer.Listing{Position: storer.Position{Revision: revision}, Upstreams: []cataloguer.Upstream{{ID: "a", Born: born, Address: address}}})
	}
	address := func() string {
		upstream, _ := c.State().Registry.Upstreams.Get("a")

		return upstream.Address
	}

	c.ApplyRegistry(listed(1, 100, "old"), false)
	c.ApplyRegistry(listed(2, 200, "new"), false)
	c.ApplyRegistry(listed(3, 100, "old"), false)
	assert.Equal(t, address(), "new")

	// An entry without a start time replaces the known one.
	c.ApplyRegistry(listed(4, 0, "other"), false)
	assert.Equal(t, address(), "other")
}
