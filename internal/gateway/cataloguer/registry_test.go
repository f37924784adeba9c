package cataloguer_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/packer"
	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/internal/throttler"
)

// drawListing draws up to 12 upstreams, 6 nodes and 3 rate limits.
func drawListing(t *rapid.T, revision int64) cataloguer.Listing {
	listing := cataloguer.Listing{Position: storer.Position{Revision: revision}, UnreadableEntries: rapid.IntRange(0, 1).Draw(t, "unreadable")}

	for i := range 12 {
		if rapid.Bool().Draw(t, "upstream") {
			listing.Upstreams = append(listing.Upstreams, cataloguer.Upstream{
				ID: fmt.Sprintf("u%02d", i), Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), Slots: rapid.IntRange(1, 2).Draw(t, "slots"),
			})
		}
	}

	for i := range 6 {
		if rapid.Bool().Draw(t, "node") {
			listing.Nodes = append(listing.Nodes, cataloguer.Node{Name: fmt.Sprint("n", i), FailureDomain: rapid.SampledFrom([]string{"d", "e"}).Draw(t, "domain")})
		}
	}

	for i := range 3 {
		if rapid.Bool().Draw(t, "limit") {
			listing.Limits = append(listing.Limits, throttler.Limit{Upstream: fmt.Sprint("l", i), PerSecond: rapid.Float64Range(1, 2).Draw(t, "rate"), Version: 1})
		}
	}

	return listing
}

// Guards against nodes that end with different lists after the same changes: a registry that was reached by deltas, one
// that was read as a whole and one that a peer sent have the same entries and the same digest.
func TestRegistryIsTheSameHoweverItWasReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := cataloguer.NewRegistry(drawListing(t, 0))

		var passed []cataloguer.Registry

		for revision := range int64(rapid.IntRange(1, 6).Draw(t, "changes")) {
			passed = append(passed, registry)
			listing := drawListing(t, revision+1)
			target := cataloguer.NewRegistry(listing)
			delta := target.DeltaFrom(&registry)
			registry = registry.Apply(&delta)

			assert.DeepEqual(t, registry.Listing(), listing)
			assert.Equal(t, registry.Digest(), target.Digest())
		}

		for _, former := range passed {
			before := former.Listing()
			delta, ok := registry.DeltaSince(former.Digest())
			assert.Assert(t, ok)

			got := former.Apply(&delta)
			assert.DeepEqual(t, got.Listing(), registry.Listing())
			assert.DeepEqual(t, former.Listing(), before)
		}

		payload, err := packer.Pack(registry)
		assert.NilError(t, err)

		var received cataloguer.Registry

		assert.NilError(t, payload.Unpack(&received))
		assert.DeepEqual(t, received.Listing(), registry.Listing())
		assert.Equal(t, received.Digest(), registry.Digest())
	})
}

// Guards against a whole registry that a node of another version sends, with fields in another order, null for an empty
// list, or fields that this version doesn't know, and that is not understood.
func TestRegistryOfAnotherVersionIsDecoded(t *testing.T) {
	payload, err := packer.Pack(json.RawMessage(`{"rate_limits":null,"upstreams":[{"id":"u","service":"s"}],"later":{"a":[1]},"nodes":null,"kept":2,"revision":7}`))
	assert.NilError(t, err)

	var registry cataloguer.Registry

	assert.NilError(t, payload.Unpack(&registry))
	assert.DeepEqual(t, registry.Listing(), cataloguer.Listing{Position: storer.Position{Revision: 7}, RetainedUpstreams: 2, Upstreams: []cataloguer.Upstream{{ID: "u", Service: "s"}}})
}

// A peer that lags behind by a few changes must get those changes, not the whole registry, and one that lags far behind
// must not get changes that lack some.
func TestRegistryRemembersItsLatestChanges(t *testing.T) {
	c := cataloguer.New(func() time.Duration { return time.Hour })

	var digests []uint64

	for revision := range int64(200) {
		c.ApplyRegistry(registry(revision+1, fmt.Sprint(revision)), false)
		digests = append(digests, c.State().Digest)
	}

	newest := c.State().Registry

	for i, digest := range digests {
		delta, ok := newest.DeltaSince(digest)
		assert.Assert(t, ok || i < len(digests)-17, "%d changes ago is forgotten", len(digests)-1-i)

		if ok && i < len(digests)-1 {
			assert.DeepEqual(t, delta.Upstreams.Put, []cataloguer.Upstream{{ID: "199"}})
		}
	}

	_, ok := newest.DeltaSince(digests[0])
	assert.Assert(t, !ok)
}
