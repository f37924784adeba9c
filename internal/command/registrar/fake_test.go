package registrar_test

import (
	"context"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/differ"
	"quincepath.example/quincepath/pkg/classifier"
)

const service = "sicilia-est/assistente"

var startOfDay = time.Date(2026, 3, 12, 6, 0, 0, 0, time.UTC)

// node is an in-memory node behind the admin address.
type node struct {
	content  string
	revision int64
	changes  []administrator.Change
	// before holds the branch's content before each change.
	before []string
	// err is what an edit ends with after it was written if lost is set, or instead of it.
	err  error
	lost bool
	// unsettled makes Settle end with err as well.
	unsettled bool
}

func newNode() *node {
	return &node{content: "kind: engine\nclasses:\n  booking:\n    tier: 1 # counter first\n", revision: 41}
}

func (n *node) Snapshot() configurer.Snapshot {
	upstreams := map[string]configurer.Upstream{"engine-03": {Name: "engine-03"}}

	return configurer.Snapshot{Services: map[string]configurer.Service{
		"assistente": {Name: "assistente", Branch: service, Upstreams: upstreams},
	}}
}

func (n *node) Branches(context.Context) ([]administrator.Branch, error) {
	return []administrator.Branch{{Path: "", Revision: 2}, {Path: "sicilia-est", Revision: 12}, {Path: service, Revision: n.revision}}, nil
}

func (n *node) Branch(_ context.Context, path string, explain bool) (administrator.Branch, error) {
	if path != service {
		return administrator.Branch{}, classifier.New(classifier.UnknownBranch, "there is no branch %q; list them with tree get", path)
	}

	branch := administrator.Branch{Path: path, Revision: n.revision, Content: n.content}
	if explain {
		branch.Origins = []administrator.Origin{
			{Key: "classes.booking.target", Value: "300ms", Branch: "sicilia-est", Line: 3, Level: "gold"},
			{Key: "classes.booking.tier", Value: "1", Branch: service, Line: 4},
		}
	}

	return branch, nil
}

func (n *node) Apply(_ context.Context, edit administrator.Edit) (administrator.Change, error) {
	if n.err != nil && !n.lost {
		return administrator.Change{}, n.err
	}

	if edit.Path == service && edit.BaseRevision != n.revision {
		return administrator.Change{}, classifier.New(classifier.EditConflict, "%s is at revision %d, your edit began at %d; changed since:\n-4: tier: 1\n", service, n.revision, edit.BaseRevision)
	}

	change := administrator.Change{
		ID: edit.ChangeID, State: administrator.StateApplied, Revision: n.revision + 1,
		Path: edit.Path, Author: edit.Author, At: startOfDay, Difference: differ.Diff(n.content, edit.Content),
	}
	n.changes = append(n.changes, change)
	n.before = append(n.before, n.content)
	n.revision++
	n.content = edit.Content

	return change, n.err
}

func (n *node) Undo(ctx context.Context, undo administrator.Undo) (administrator.Change, error) {
	i := slices.IndexFunc(n.changes, func(c administrator.Change) bool { return c.ID == undo.Undone })

	return n.Apply(ctx, administrator.Edit{Path: service, BaseRevision: n.revision, ChangeID: undo.ChangeID, Author: undo.Author, Content: n.before[i]})
}

func (n *node) History(context.Context, string, int) ([]administrator.Change, error) {
	return []administrator.Change{
		{ID: "c2", State: administrator.StateApplied, Revision: 41, Path: service, Author: "lia", At: startOfDay.Add(time.Minute)},
		{ID: "c1", State: administrator.StateApplied, Revision: 12, Path: "sicilia-est", Author: "forged\trow\x1b[2J", At: startOfDay},
	}, nil
}

func (n *node) Change(_ context.Context, id string) (administrator.Change, error) {
	for _, v := range n.changes {
		if v.ID == id {
			return v, nil
		}
	}

	return administrator.Change{ID: id, State: administrator.StateUnknown}, nil
}

func (n *node) Settle(ctx context.Context, id, _ string) (administrator.Change, error) {
	if n.unsettled {
		return administrator.Change{}, n.err
	}

	change, err := n.Change(ctx, id)
	if change.State == administrator.StateUnknown {
		change.State = administrator.StateNotApplied
	}

	return change, err
}

func (n *node) NodeStatus() administrator.NodeStatus {
	return administrator.NodeStatus{
		Node: "node-1", Region: "sicilia-est", FailureDomain: "catania-sala", StartedAt: startOfDay,
		Revision: n.revision, InFlight: 17, MaxInFlight: 2000,
		Peers: []administrator.PeerStatus{{Node: "node-2", FailureDomain: "siracusa-sala", State: "alive"}},
	}
}

func (n *node) UpstreamStatuses() []administrator.UpstreamStatus {
	return []administrator.UpstreamStatus{
		{Service: "assistente", Upstream: "engine-03", Address: "http://192.0.2.103:8000", FailureDomain: "catania-sala", State: "serving", InFlight: 3, ReportedLoad: 9, ReportAge: 1.26},
		{Service: "banco", Upstream: "banco-1", Address: "http://192.0.2.151:8000", FailureDomain: "acireale-sala", State: "leaving", ReportAge: -1},
	}
}

func (n *node) Request(_ context.Context, id string) (administrator.RequestStatus, error) {
	if id != "node-1.5f0c8f8e.42" {
		return administrator.RequestStatus{}, classifier.New(classifier.UnknownRequest, "no node holds the request %q", id)
	}

	return administrator.RequestStatus{
		RequestID: id, Service: "assistente", Class: "booking", Organisation: "canile", State: "ended",
		Upstream: "engine-03", Attempts: 2, ArrivedAt: startOfDay, Tokens: 80, Result: "ok", Ran: "ran",
	}, nil
}
