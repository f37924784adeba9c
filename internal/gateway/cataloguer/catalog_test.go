package cataloguer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// clock is set by hand.
type clock struct {
	now time.Duration
}

func (c *clock) read() time.Duration { return c.now }

func newCatalog() (*cataloguer.Catalog, *clock) {
	c := &clock{now: time.Hour}

	return cataloguer.New(c.read), c
}

func version(number int64) cataloguer.Configuration {
	return cataloguer.Configuration{Version: number}
}

func registry(revision int64, ids ...string) cataloguer.Registry {
	r := cataloguer.Registry{Revision: revision}
	for _, id := range ids {
		r.Upstreams = append(r.Upstreams, cataloguer.Upstream{ID: id})
	}

	return r
}

func ids(c *cataloguer.Catalog) []string {
	listed := []string{}
	for _, upstream := range c.State().Registry.Upstreams {
		listed = append(listed, upstream.ID)
	}

	return listed
}

// Symptom: a route that was removed is served again for a moment.
// Sequence: a node applies version 3; a slow answer with version 2 arrives.
// Cause: the later arrival was taken for the newer state.
func TestOlderConfigurationIsDropped(t *testing.T) {
	c, clock := newCatalog()

	assert.Assert(t, c.ApplyConfiguration(version(3), clock.now))
	assert.Assert(t, !c.ApplyConfiguration(version(2), clock.now+time.Second))
	assert.Equal(t, c.State().Configuration.Version, int64(3))
}

// Symptom: a key that was taken away is honoured long after.
// Sequence: a node that knows version 3 hears that version 2 was the newest a moment ago.
// Cause: any proof counted, also one of a version that the node has left behind.
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

	// An answer that was asked for earlier takes nothing back.
	c.MarkConfigurationFresh(3, clock.now-3*time.Second)
	age, _ = c.ConfigurationAge()
	assert.Equal(t, age, time.Second)
}

// Symptom: after an outage of the store half of the upstreams get nothing for two seconds.
// Sequence: the store is away, entries lapse there; it returns; the first read lacks them; they come back.
// Cause: a missing entry was taken for a dead upstream at once.
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

// Symptom: an upstream that left gets requests for two more seconds.
// Sequence: the store answers all the time; an entry is removed.
// Cause: the grace for outages was given without an outage.
func TestUpstreamsMissingWithoutOutageAreGone(t *testing.T) {
	c, _ := newCatalog()
	c.ApplyRegistry(registry(10, "a", "b"), false)
	assert.Assert(t, c.ApplyRegistry(registry(11, "a"), false))
	assert.DeepEqual(t, ids(c), []string{"a"})
}

// Symptom: peers list an upstream that its reader has dropped.
// Sequence: a reader drops a kept entry; the store's revision has not changed.
// Cause: only a higher revision counted as newer.
func TestRegistryWithFewerKeptUpstreamsIsNewer(t *testing.T) {
	r := cataloguer.Registry{Revision: 5, RetainedUpstreams: 1}

	assert.Assert(t, r.IsNewerThan(4, 0))
	assert.Assert(t, r.IsNewerThan(5, 2))
	assert.Assert(t, !r.IsNewerThan(5, 1))
	assert.Assert(t, !r.IsNewerThan(6, 3))
}

func TestChangedIsClosedAtEachChange(t *testing.T) {
	c, clock := newCatalog()
	changed := c.Changed()

	c.ApplyConfiguration(version(1), clock.now)

	select {
	case <-changed:
	default:
		t.Fatal("a new configuration woke nobody")
	}

	changed = c.Changed()
	c.ApplyRegistry(registry(1), false)

	select {
	case <-changed:
		t.Fatal("an unchanged registry woke somebody")
	default:
	}
}

// Symptom: requests go to an address where the server isn't any more, although it has told its new one.
// Sequence: a server starts again under its id; then its entry of the start before becomes visible.
// Cause: entries of one id were told apart by the time of their arrival only.
func TestEntryOfAnEarlierStartIsDropped(t *testing.T) {
	c, _ := newCatalog()
	listed := func(revision, born int64, address string) cataloguer.Registry {
		return cataloguer.Registry{Revision: revision, Upstreams: []cataloguer.Upstream{{ID: "a", Born: born, Address: address}}}
	}

	c.ApplyRegistry(listed(1, 100, "old"), false)
	c.ApplyRegistry(listed(2, 200, "new"), false)
	c.ApplyRegistry(listed(3, 100, "old"), false)
	assert.Equal(t, c.State().Registry.Upstreams[0].Address, "new")

	// One that doesn't tell its start replaces what is known.
	c.ApplyRegistry(listed(4, 0, "other"), false)
	assert.Equal(t, c.State().Registry.Upstreams[0].Address, "other")
}
