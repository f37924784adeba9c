// Package status is the query that shows a node.
package status

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
	"quincepath.example/quincepath/internal/printer"
)

const help = `Show a node: its settings revision, its load and the nodes that it knows.

Examples:
  quincepath node status --node 127.0.0.1:9000
  quincepath node status --node 127.0.0.1:9000 --json`

// Options are the flags of the query.
type Options struct {
	operator.Flags
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Flags: operator.Flags{Factory: f}}
	clause := parent.Command("status", help)
	options.Register(clause)

	return options.Command(clause, func(ctx context.Context) error { return Run(ctx, options) })
}

// Run prints one row for each property and each peer.
func Run(ctx context.Context, options Options) error {
	client, err := options.Client()
	if err != nil {
		return err
	}

	status, err := client.NodeStatus(ctx)
	if err != nil {
		return err
	}

	return options.Print(printer.Table{Columns: []string{"property", "value"}, Rows: rows(status), Data: status})
}

func rows(s administrator.NodeStatus) [][]string {
	shown := [][]string{
		{"node", s.Node},
		{"region", s.Region},
		{"failure_domain", s.FailureDomain},
		{"started_at", s.StartedAt.UTC().Format(time.RFC3339)},
		{"revision", strconv.FormatInt(s.Revision, 10)},
		{"leaving", strconv.FormatBool(s.Leaving)},
		{"in_flight", fmt.Sprintf("%d of %d", s.InFlight, s.MaxInFlight)},
	}

	for _, v := range s.Peers {
		shown = append(shown, []string{"peer " + v.Node, v.State + " in " + v.FailureDomain})
	}

	return shown
}
