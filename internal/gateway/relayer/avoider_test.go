package relayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

func TestLeavingUpstreamIsAvoidedUntilItStartsAgain(t *testing.T) {
	v, now := newAvoider(), time.Now()

	assert.Assert(t, v.leave("desk", "u", 7))
	assert.Assert(t, !v.leave("desk", "u", 7))
	v.update([]cataloguer.Upstream{{ID: "u", Born: 7}}, now.Add(time.Hour))
	assert.Assert(t, v.avoids("u", now.Add(time.Hour)))

	v.update([]cataloguer.Upstream{{ID: "u", Born: 8}}, now.Add(time.Hour))
	assert.Assert(t, !v.avoids("u", now.Add(time.Hour)))
}

// Guards against: the entry of a leaving upstream lapses while the store is away, returns, and requests with it.
func TestLeavingUpstreamIsAvoidedWhenItsEntryReturns(t *testing.T) {
	v, now := newAvoider(), time.Now()

	v.leave("desk", "u", 0)
	v.update(nil, now)
	v.update([]cataloguer.Upstream{{ID: "u"}}, now.Add(10*time.Second))
	assert.Assert(t, v.avoids("u", now.Add(10*time.Second)))

	// One that is gone for good is forgotten.
	v.update(nil, now.Add(time.Minute))
	v.update(nil, now.Add(3*time.Minute))
	assert.Equal(t, v.counts(now), AvoidedUpstreams{})
}

func TestRestEnds(t *testing.T) {
	v, now := newAvoider(), time.Now()

	v.rest("desk", "u", 7, now.Add(3*time.Second))
	// A later answer that asks for less doesn't shorten it.
	v.rest("desk", "u", 7, now.Add(time.Second))
	v.rest("desk", "w", 7, now.Add(5*time.Second))
	v.rest("shop", "x", 7, now.Add(time.Second))

	ids, rest := v.list("desk", now)
	assert.Equal(t, len(ids), 2)
	assert.Equal(t, rest, 3*time.Second)
	assert.Equal(t, v.counts(now), AvoidedUpstreams{Resting: 3})

	ids, rest = v.list("desk", now.Add(3*time.Second))
	assert.DeepEqual(t, ids, []string{"w"})
	assert.Equal(t, rest, 2*time.Second)
	assert.Assert(t, !v.avoids("u", now.Add(3*time.Second)))

	// A start under the same id has asked for nothing.
	v.update([]cataloguer.Upstream{{ID: "w", Born: 8}}, now)
	assert.Assert(t, !v.avoids("w", now))

	// Marks whose time is over take no memory.
	v.update(nil, now.Add(time.Minute))
	assert.Equal(t, len(v.upstreams), 0)
}
