package server

import (
	"net/http"

	"quincepath.example/quincepath/internal/lister"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/prober"
)

// entriesAnswer lists the addresses to use, the best first.
type entriesAnswer struct {
	Entries []entryAddress `json:"entries"`
	// KeepSeconds is how long the caller keeps the list.
	KeepSeconds float64 `json:"keep_seconds"`
}

type entryAddress struct {
	Address       string `json:"address"`
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
}

func (n *Node) handleEntries(w http.ResponseWriter, r *http.Request) {
	if _, failure := n.tree.authenticate(r); failure != nil {
		n.refuse(w, "", failure)

		return
	}

	caller := lister.Caller{Service: r.URL.Query().Get("service"), FailureDomain: r.URL.Query().Get("failure_domain")}
	writeJSON(w, n.entries(caller))
}

// entries lists the nodes that this caller is to use.
func (n *Node) entries(caller lister.Caller) entriesAnswer {
	list := n.lister.List(caller, n.entryNodes())
	answer := entriesAnswer{KeepSeconds: list.Lifetime.Seconds()}

	for _, entry := range list.Entries {
		answer.Entries = append(answer.Entries, entryAddress{
			Address:       entry.Address,
			Node:          entry.Node,
			FailureDomain: entry.FailureDomain,
		})
	}

	return answer
}

// entryNodes are the nodes that callers may be sent to. Nodes that the settings
// name and that were not heard of yet stand last: a caller that meets a dead one
// gets a quick error, and a node that just started still names others.
func (n *Node) entryNodes() []lister.Node {
	nodes := []lister.Node{{
		Name:          n.settings.Node.Name,
		Address:       n.settings.Node.Advertise,
		FailureDomain: n.settings.Node.FailureDomain,
		Leaving:       n.drain.ShouldCloseConnections(),
		LoadPercent:   n.loadPercent(),
	}}

	for _, member := range n.members.view.Load().all {
		if member.Name == n.identity.node || member.State == prober.Dead {
			continue
		}

		nodes = append(nodes, lister.Node{
			Name:          member.Name,
			Address:       member.Address,
			FailureDomain: member.FailureDomain,
			Suspect:       member.State != prober.Live,
			Leaving:       member.Leaving,
			LoadPercent:   member.Digest.Load,
		})
	}

	return nodes
}

// HoldersOf implements lister.HolderLookup: callers of a service do best where its pools are held.
func (n *Node) HoldersOf(service string) []string {
	if n.router == nil || n.settings.Routing.Policy != loader.PolicyQueueSteered {
		return nil
	}

	return n.router.HoldersOf(service)
}
