package limiter

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against refusing callers of an organisation that uses a twentieth of its
// limit, mostly while nodes restart. A node without a lease has its base share of two
// requests in use when a third arrives. It was refused before the node had requested a
// lease, while nearly all of the limit was free at its owner.
func TestBurstAwaitsTheLease(t *testing.T) {
	limits := Amounts{Concurrency: 200}
	admit := func(c *cluster, n *node) bool {
		_, ok := n.limiter.Admit(c.now, testKey.Service, testKey.Organisation, "chat")

		return ok
	}
	shouldWait := func(c *cluster, n *node) bool {
		return n.limiter.ShouldWaitForLease(c.now, testKey.Service, testKey.Organisation, "chat")
	}
	none := func(string) int { return 0 }

	for name, v := range map[string]struct {
		// ownerUnreachable drops all messages to and from the owner.
		ownerUnreachable bool
		want             bool
	}{
		"owner responds":       {want: true},
		"owner is unreachable": {ownerUnreachable: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(1, limits, 9)
			n := c.nodes[c.names()[0]]

			if n.name == c.ownerName() {
				n = c.nodes[c.names()[1]]
			}

			c.unreachable[c.ownerName()] = v.ownerUnreachable

			assert.Assert(t, admit(c, n))
			assert.Assert(t, admit(c, n))
			assert.Assert(t, shouldWait(c, n))

			for range int(n.limiter.options.ReportPeriod/tick) + int(n.limiter.options.ReportPeriod/tick)/exchangesPerPeriod {
				c.step(none, second, 0)
			}

			// The request doesn't wait once it can be admitted, nor for an owner that
			// is unresponsive.
			assert.Assert(t, !shouldWait(c, n))
			assert.Equal(t, admit(c, n), v.want)
		})
	}

	// Requests don't wait beyond an even share: 22 concurrent requests of 200 on one of
	// nine nodes.
	c := newCluster(1, limits, 9)
	n := c.nodes[c.names()[0]]
	assert.Assert(t, admit(c, n))
	assert.Assert(t, admit(c, n))
	assert.Assert(t, shouldWait(c, n))

	n.limiter.states[testKey].inFlight = 22
	assert.Assert(t, !shouldWait(c, n))
}
