package server

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/loader"
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
