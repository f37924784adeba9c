// Package list is the query that lists the upstreams that a node knows.
package list

import (
	"context"
	"strconv"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
	"quincepath.example/quincepath/internal/printer"
)

const help = `List the upstreams that a node knows, with their load as the node sees it.

Examples:
  quincepath upstream list
  quincepath upstream list --service assistente
  quincepath upstream list --json`

// Options are the flags of the query.
type Options struct {
	operator.Flags

	// Service limits the list to one service; empty means all.
	Service string
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Flags: operator.Flags{Factory: f}}
	clause := parent.Command("list", help)
	clause.Flag("service", "Only the upstreams of this service.").PlaceHolder("NAME").StringVar(&options.Service)
	options.Register(clause)

	return options.Command(clause, func(ctx context.Context) error { return Run(ctx, options) })
}

// Run prints one row for each upstream.
func Run(ctx context.Context, options Options) error {
	client, err := options.Client()
	if err != nil {
		return err
	}

	all, err := client.Upstreams(ctx)
	if err != nil {
		return err
	}

	listed := all[:0]

	for _, v := range all {
		if options.Service == "" || v.Service == options.Service {
			listed = append(listed, v)
		}
	}

	t := printer.Table{
		Columns: []string{"service", "upstream", "state", "in flight", "reported load", "report age", "failure domain", "address"},
		Empty:   "The node knows no such upstream.",
		Data:    listed,
	}
	for _, v := range listed {
		t.Rows = append(t.Rows, []string{v.Service, v.Upstream, v.State, strconv.Itoa(v.InFlight), strconv.Itoa(v.ReportedLoad), age(v.ReportAge), v.FailureDomain, v.Address})
	}

	return options.Print(t)
}

func age(seconds float64) string {
	if seconds < 0 {
		return "never"
	}

	return strconv.FormatFloat(seconds, 'f', 1, 64) + "s"
}
