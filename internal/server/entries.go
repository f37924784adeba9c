package server

import (
	"encoding/json"
	"net/http"
	"slices"
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

	writeJSON(w, entriesAnswer{Entries: n.entries(), KeepSeconds: n.settings.Node.EntryLifetime.Seconds()})
}

func (n *Node) entries() []entryAddress {
	entries := []entryAddress{{
		Address:       n.settings.Node.Advertise,
		Node:          n.settings.Node.Name,
		FailureDomain: n.settings.Node.FailureDomain,
	}}

	for _, peer := range n.settings.Peers.Nodes {
		if peer.Name == n.settings.Node.Name {
			continue
		}

		entries = append(entries, entryAddress{Address: peer.EntryAddress, Node: peer.Name, FailureDomain: peer.FailureDomain})
	}

	return entries
}

// modelsAnswer is the OpenAI list of models.
type modelsAnswer struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (n *Node) handleModels(w http.ResponseWriter, r *http.Request) {
	snapshot := n.tree.Snapshot()

	organisation, failure := n.tree.authenticate(r)
	if failure != nil {
		n.refuse(w, "", failure)

		return
	}

	answer := modelsAnswer{Object: "list", Data: make([]modelItem, 0, len(snapshot.Services))}

	for name, service := range snapshot.Services {
		if _, ok := service.Organisations[organisation]; ok {
			answer.Data = append(answer.Data, modelItem{ID: name, Object: "model", Created: n.started.Unix(), OwnedBy: "quincepath"})
		}
	}

	slices.SortFunc(answer.Data, func(a, b modelItem) int {
		if a.ID < b.ID {
			return -1
		}

		return 1
	})
	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller left; its connection ends with the handler.
	_ = json.NewEncoder(w).Encode(answer)
}
