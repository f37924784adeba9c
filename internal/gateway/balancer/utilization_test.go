package balancer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// Guards against a measured load that misses prompts, counts cached parts, or counts what was sent long ago.
func TestUtilisationCountsWorkInServers(t *testing.T) {
	p := engines(4, 10)

	_, known := p.Utilisation(start)
	assert.Assert(t, !known)

	// Of two prompts of one session, the second finds 6,300 tokens cached.
	for i := range 2 {
		granted(t, p, at(time.Millisecond), notes(fmt.Sprint(i), "session"))
	}

	u, known := p.Utilisation(at(time.Second))
	assert.Assert(t, known)
	// Before any response, an engine is expected to read 110,000 tokens a second.
	assert.Assert(t, math.Abs(u.PrefillLoad-(9000.0+2700)/110_000) < 1e-9, "%+v", u)
	assert.Assert(t, math.Abs(u.SlotLoad-0.2) < 1e-9, "%+v", u)
	assert.Equal(t, u.Servers, 4)
	assert.Equal(t, u.InProgress, 2)
	assert.Equal(t, u.Late, 2)

	// A second caller in between doesn't take the rate away from the first.
	again, known := p.Utilisation(at(1100 * time.Millisecond))
	assert.Assert(t, known)
	assert.Equal(t, again.PrefillLoad, u.PrefillLoad)

	u, _ = p.Utilisation(at(2 * time.Second))
	assert.Equal(t, u.PrefillLoad, 0.0)

	_, known = p.Utilisation(at(time.Minute))
	assert.Assert(t, !known)
}

// Guards against servers that are gone, or that are new, in the rate of sent tokens.
func TestUtilisationAfterAChangeOfServers(t *testing.T) {
	p := engines(1, 10)
	granted(t, p, start, notes("0", "session"))
	p.Utilisation(start)
	p.SetUpstreams(at(time.Second), []balancer.Upstream{{ID: "new", Slots: 10}}, balancer.Engine{CacheTokens: 300_000, EventTokens: 3})
	granted(t, p, at(time.Second), notes("1", "session"))

	u, _ := p.Utilisation(at(2 * time.Second))
	assert.Assert(t, math.Abs(u.PrefillLoad-4500.0/110_000) < 1e-9, "%+v", u)
	assert.Equal(t, u.Servers, 1)
}

// Guards against measurements that take the lock of a pool for long: 90 servers with 900 requests.
func BenchmarkUtilisation(b *testing.B) {
	p := engines(90, 64)
	for i := range 900 {
		p.Acquire(start, "n", chat(fmt.Sprint(i)))
	}

	for i := 0; b.Loop(); i++ {
		p.Utilisation(at(time.Duration(i%1000) * time.Millisecond))
	}
}
