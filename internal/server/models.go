package server

import (
	"net/http"
	"slices"
	"strings"
)

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

	slices.SortFunc(answer.Data, func(a, b modelItem) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, answer)
}
