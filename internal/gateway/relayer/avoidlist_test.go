package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

func TestLeavingUpstreamIsAvoidedUntilItStartsAgain(t *testing.T) {
	v, now := newAvoidList(), time.Now()

	assert.Assert(t, v.markLeaving("desk", "u", 7))
	assert.Assert(t, !v.markLeaving("desk", "u", 7))
	v.update(listed(cataloguer.Upstream{ID: "u", Born: 7}), now.Add(time.Hour))
	assert.Assert(t, v.contains("u", now.Add(time.Hour)))

	v.update(listed(cataloguer.Upstream{ID: "u", Born: 8}), now.Add(time.Hour))
	assert.Assert(t, !v.contains("u", now.Add(time.Hour)))
}

// Guards against sending requests to a leaving upstream whose entry expires during an outage of the store and returns.
func TestLeavingUpstreamIsAvoidedWhenItsEntryReturns(t *testing.T) {
	v, now := newAvoidList(), time.Now()

	v.markLeaving("desk", "u", 0)
	v.update(listed(), now)
	v.update(listed(cataloguer.Upstream{ID: "u"}), now.Add(10*time.Second))
	assert.Assert(t, v.contains("u", now.Add(10*time.Second)))

	// An upstream that stays unlisted is forgotten.
	v.update(listed(), now.Add(time.Minute))
	v.update(listed(), now.Add(3*time.Minute))
	assert.Equal(t, v.counts(now), AvoidedUpstreams{})
}

func TestRestingUpstreamIsAvoidedUntilItsRestEnds(t *testing.T) {
	v, now := newAvoidList(), time.Now()

	v.markResting("desk", "u", 7, now.Add(3*time.Second))
	// A later request for a shorter rest doesn't shorten it.
	v.markResting("desk", "u", 7, now.Add(time.Second))
	v.markResting("desk", "w", 7, now.Add(5*time.Second))
	v.markResting("shop", "x", 7, now.Add(time.Second))

	ids, rest := v.unavailable("desk", now)
	assert.Equal(t, len(ids), 2)
	assert.Equal(t, rest, 3*time.Second)
	assert.Equal(t, v.counts(now), AvoidedUpstreams{Resting: 3})

	ids, rest = v.unavailable("desk", now.Add(3*time.Second))
	assert.DeepEqual(t, ids, []string{"w"})
	assert.Equal(t, rest, 2*time.Second)
	assert.Assert(t, !v.contains("u", now.Add(3*time.Second)))

	// A new instance with the same ID accepts requests.
	v.update(listed(cataloguer.Upstream{ID: "w", Born: 8}), now)
	assert.Assert(t, !v.contains("w", now))

	// Expired entries are removed.
	v.update(listed(), now.Add(time.Minute))
	assert.Equal(t, len(v.upstreams), 0)
}

func listed(upstreams ...cataloguer.Upstream) *cataloguer.Index[cataloguer.Upstream] {
	registry := cataloguer.NewRegistry(cataloguer.Listing{Upstreams: upstreams})

	return &registry.Upstreams
}
