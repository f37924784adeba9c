package process_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/administrator"
)

// seesAlive waits until a node takes the named ones for alive.
func (f *fleet) seesAlive(t *testing.T, node int, names ...string) {
	t.Helper()

	for _, name := range names {
		waitFor(t, "news of "+name+" at "+f.nodeSpecs[node].name, func() bool {
			var status administrator.NodeStatus

			return f.query(t, node, &status, "node", "status") &&
				slices.ContainsFunc(status.Peers, func(p administrator.PeerStatus) bool {
					return p.Node == name && p.State == "alive"
				})
		})
	}
}

// Symptom: after VMs were replaced, callers can't come back for answers that new nodes hold, and
// requests whose pool's queue a new node keeps run without it, until every older node is restarted.
// Events: two nodes run; two more join, listed in nobody's settings but their own; the first two are
// killed under load and a fifth joins.
// Cause: probes told of the new nodes, so they became holders, but messages went only to nodes of the settings file.
func TestNodesJoinWithoutRestartOfOthers(t *testing.T) {
	t.Parallel()

	f := newFleet(t, 2)
	f.addNodes(t, 2)
	f.seesAlive(t, 0, "node-3", "node-4")
	f.seesAlive(t, 1, "node-3", "node-4")
	f.askForRequests(t)

	id := f.resumableRequest(t, f.nodes[2].address)
	call(t, http.MethodGet, "http://"+f.nodes[0].address+"/v1/requests/"+id+"/answer", nil, nil)

	options := f.replayOptions()
	events := mix(5, 40, 5*time.Second)
	reached := milestones(&options, len(events)/4, len(events)/2)
	done := inBackground(t, options, events)

	<-reached[0]
	f.nodes[0].kill()
	f.nodes[1].kill()
	<-reached[1]
	f.addNodes(t, 1)
	f.seesAlive(t, 2, "node-5")

	result := <-done
	f.checkPromises(t, result)
	assert.Assert(t, len(entriesOf(t, f.nodes[4].address).Entries) >= 3)
}
