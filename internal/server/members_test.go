package server

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/prober"
)

// Symptom: nodes that listen on all addresses of their VM were taken for dead.
// Sequence: a node listens for peers on 0.0.0.0 and tells peers so; they probe
// that address from then on. Cause: the address to listen on was announced,
// although the settings name the one that peers reach.
func TestNodeAnnouncesTheAddressThatPeersReach(t *testing.T) {
	for _, v := range []struct{ listed, announced string }{
		{"node-1", "192.0.2.1:7101"},
		{"node-2", "0.0.0.0:7101"},
	} {
		settings := loader.Defaults()
		settings.Node.Name = "node-1"
		settings.Node.FailureDomain = "catania-sala"
		settings.Node.PeerListen = "0.0.0.0:7101"
		settings.Peers.Nodes = []loader.Peer{{
			Name: v.listed, PeerAddress: "192.0.2.1:7101", EntryAddress: "192.0.2.1:7100", FailureDomain: "catania-sala",
		}}

		node, err := newNode(settings, zerolog.Nop())
		assert.NilError(t, err)

		defer node.stopWork()

		assert.Equal(t, node.members.prober.Self().PeerAddress, v.announced)
	}
}

// Symptom: callers are sent to a VM that the platform is about to take away.
// Sequence: a node joins that no settings file here names; the platform's list marks its VM as leaving.
// Cause: marks were applied to the nodes of the settings alone.
func TestListMarksNodesThatJoined(t *testing.T) {
	node, _ := newTestNode(t)
	node.settings.Peers.Nodes = []loader.Peer{{Name: "node-2", PeerAddress: "192.0.2.2:7101"}}
	joined := prober.VM{Name: "node-9", Address: "192.0.2.9:7100", PeerAddress: "192.0.2.9:7101", FailureDomain: "siracusa-sala"}
	node.members.prober.Receive(time.Now(), prober.Packet{Kind: prober.KindDigest, From: joined.Name, Incarnation: 1, Sequence: 1, VM: &joined})

	for _, marked := range []bool{true, false} {
		node.members.prober.SetListedNodes(time.Now(), node.listedNodes(map[string]bool{joined.Name: marked, "node-10": true}))

		member, known := node.members.prober.Member(joined.Name)
		assert.Assert(t, known)
		assert.Equal(t, member.Leaving, marked)
		assert.Equal(t, member.Address, joined.Address)
	}

	_, known := node.members.prober.Member("node-10")
	assert.Assert(t, !known, "a VM that is no node became one")
}

// Symptom: during a roll-out a caller that asks twice for a booking, as it may, is told that its outcome is unknown, and the first answer comes a moment later.
// Sequence: a node starts again and runs a booking; the node that writes the shard of claims has heard from it only before; the caller asks for the same key.
// Cause: an incarnation other than the one that was heard was taken for an earlier one, which is gone.
func TestMakerThatJustStartedIsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &members{newcomers: newcomers{since: make(map[string]time.Time)}}
		heard := func(run string) { m.put(&memberView{runs: map[string]string{"node-2": run}}) }

		heard("first")
		assert.Assert(t, m.Alive("node-2", "first"))
		assert.Assert(t, m.Alive("node-2", "second"))

		// What it was before is gone as soon as the next is heard.
		heard("second")
		heard("second")
		assert.Assert(t, m.Alive("node-2", "second"))
		assert.Assert(t, !m.Alive("node-2", "first"))

		// A run that is never heard doesn't count as alive for good.
		assert.Assert(t, m.Alive("node-2", "third"))
		time.Sleep(hearingTime)
		assert.Assert(t, !m.Alive("node-2", "third"))

		// A node that just joined runs a booking before this one has heard of it at all.
		assert.Assert(t, m.Alive("node-9", "first"))
		time.Sleep(hearingTime)
		assert.Assert(t, !m.Alive("node-9", "first"))
		m.put(&memberView{all: []prober.Member{{Name: "node-9", State: prober.Dead}}})
		assert.Assert(t, !m.Alive("node-9", "second"))

		// A node that is dead has no run that goes on, and none of before does when it is back.
		m.put(&memberView{})
		assert.Assert(t, !m.Alive("node-2", "second"))
		heard("fourth")
		assert.Assert(t, !m.Alive("node-2", "second"))
	})
}
