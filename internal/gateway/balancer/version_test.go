package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/balancer"
)

// mixedPool returns a pool of engines with one slot each, whose software versions are given.
func mixedPool(versions ...string) *balancer.Pool {
	upstreams := engineList(len(versions), 1)
	for i, version := range versions {
		upstreams[i].SoftwareVersion = version
	}

	p := balancer.NewPool(balancer.Options{})
	p.SetUpstreams(start, upstreams, balancer.Engine{CacheTokens: 300_000, EventTokens: 3})

	return p
}

func chatAt(id, version string) balancer.Request {
	request := chat(id)
	request.SoftwareVersion = version

	return request
}

// Guards against a request that goes to another software version than the one that it is bound to.
func TestBoundRequestGetsItsVersionOnly(t *testing.T) {
	p := mixedPool("v1", "v2", "", "v1")

	choice, decision := p.Acquire(start, "node", chatAt("r0", "v2"))
	assert.Equal(t, decision, balancer.Granted)
	assert.Equal(t, choice.Upstream, "b")
	assert.Equal(t, choice.SoftwareVersion, "v2")

	// The same answer if the first one was lost.
	choice, decision = p.Acquire(start, "node", chatAt("r0", "v2"))
	assert.Equal(t, decision, balancer.Granted)
	assert.Equal(t, choice.SoftwareVersion, "v2")

	_, decision = p.Acquire(start, "node", chatAt("r1", "v2"))
	assert.Equal(t, decision, balancer.Queued)

	_, decision = p.Acquire(start, "node", chatAt("r2", "v3"))
	assert.Equal(t, decision, balancer.Refused)

	p.RecordEnd(at(time.Millisecond), "r0", balancer.Served)
	grants := p.GrantQueued(at(time.Millisecond))
	assert.Equal(t, len(grants), 1)
	assert.Equal(t, grants[0].ID, "r1")
	assert.Equal(t, grants[0].Choice.Upstream, "b")
}

// Guards against requests that wait for one software version and keep others from upstreams that they can't use themselves.
func TestBoundRequestsHoldUpNoOthers(t *testing.T) {
	p := mixedPool("v1", "v2", "v2")
	granted(t, p, start, chatAt("r0", "v1"))

	for i := range 5 {
		_, decision := p.Acquire(start, "node", chatAt(fmt.Sprint("waiting", i), "v1"))
		assert.Equal(t, decision, balancer.Queued)
	}

	granted(t, p, at(time.Millisecond), chat("r1"))
	granted(t, p, at(time.Millisecond), chatAt("r2", "v2"))
}
