package limiter

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Symptom: callers of an organisation that uses a twentieth of its limit are refused now and then, most while nodes start again.
// Sequence: a node without a lease has its base share of two requests in use; a third comes.
// Cause: it was refused before anybody was asked, while nearly all of the limit rested with its owner.
func TestBurstAwaitsTheLease(t *testing.T) {
	limits := Amounts{Concurrency: 200}
	admit := func(c *cluster, n *node) bool {
		_, ok := n.limiter.Admit(c.now, testKey.Service, testKey.Organisation, "chat")

		return ok
	}
	awaits := func(c *cluster, n *node) bool {
		return n.limiter.ShouldWaitForLease(c.now, testKey.Service, testKey.Organisation, "chat")
	}
	none := func(string) int { return 0 }

	for name, v := range map[string]struct {
		// cut takes the owner away.
		cut  bool
		want bool
	}{
		"owner answers": {want: true},
		"owner is away": {cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(1, limits, 9)
			n := c.nodes[c.names()[0]]

			if n.name == c.ownerName() {
				n = c.nodes[c.names()[1]]
			}

			c.cut[c.ownerName()] = v.cut

			assert.Assert(t, admit(c, n))
			assert.Assert(t, admit(c, n))
			assert.Assert(t, awaits(c, n))

			for range int(n.limiter.options.ReportPeriod/tick) + int(n.limiter.options.ReportPeriod/tick)/roundsPerPeriod {
				c.step(none, second, 0)
			}

			// It neither waits once it may go on, nor for an owner that is silent.
			assert.Assert(t, !awaits(c, n))
			assert.Equal(t, admit(c, n), v.want)
		})
	}

	// No more wait than an even part: 22 of 200 at once on one of nine nodes.
	c := newCluster(1, limits, 9)
	n := c.nodes[c.names()[0]]
	assert.Assert(t, admit(c, n))
	assert.Assert(t, admit(c, n))
	assert.Assert(t, awaits(c, n))

	n.limiter.entries[testKey].inFlight = 22
	assert.Assert(t, !awaits(c, n))
}
