// Package registrar registers the operators' nouns with their verbs.
package registrar

import (
	remove "quincepath.example/quincepath/internal/command/tree/delete"
	"quincepath.example/quincepath/internal/command/tree/edit"
	"quincepath.example/quincepath/internal/command/tree/set"
	"quincepath.example/quincepath/internal/command/tree/undo"
	"quincepath.example/quincepath/internal/command/upstream/leave"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/query/bench/control"
	"quincepath.example/quincepath/internal/query/bench/policy"
	duty "quincepath.example/quincepath/internal/query/duty/show"
	entries "quincepath.example/quincepath/internal/query/entry/list"
	"quincepath.example/quincepath/internal/query/node/status"
	"quincepath.example/quincepath/internal/query/request/show"
	"quincepath.example/quincepath/internal/query/tree/diff"
	"quincepath.example/quincepath/internal/query/tree/get"
	"quincepath.example/quincepath/internal/query/tree/history"
	upstreams "quincepath.example/quincepath/internal/query/upstream/list"
)

// Register adds the nouns tree, node, upstream, entry, request, duty and bench to parent.
func Register(f *factory.Factory, parent factory.Parent) []factory.Command {
	tree := parent.Command("tree", "Read and change the settings tree.")
	node := parent.Command("node", "Look at a node.")
	upstream := parent.Command("upstream", "Work with the upstreams of services.")
	entry := parent.Command("entry", "Look at the addresses that callers use.")
	request := parent.Command("request", "Look at single requests.")
	duties := parent.Command("duty", "Look at what one node does for all.")
	bench := parent.Command("bench", "Measure the program itself.")

	return []factory.Command{
		get.New(f, tree),
		set.New(f, tree),
		edit.New(f, tree),
		diff.New(f, tree),
		history.New(f, tree),
		undo.New(f, tree),
		remove.New(f, tree),
		status.New(f, node),
		upstreams.New(f, upstream),
		leave.New(f, upstream),
		entries.New(f, entry),
		show.New(f, request),
		duty.New(f, duties),
		control.New(f, bench),
		policy.New(f, bench),
	}
}
