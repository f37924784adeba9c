// Package show is the query that shows one request.
package show

import (
	"context"
	"strconv"
	"time"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
	"quincepath.example/quincepath/internal/printer"
)

const help = `Show what is known of a request by the id that its answer carried.

Example:
  quincepath request show node-1.5f0c8f8e.42`

// Options are the flags of the query.
type Options struct {
	operator.Flags

	// ID is the value of the header Quincepath-Request-Id.
	ID string
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Flags: operator.Flags{Factory: f}}
	clause := parent.Command("show", help)
	clause.Arg("id", "Request id.").Required().StringVar(&options.ID)
	options.Register(clause)

	return options.Command(clause, func(ctx context.Context) error { return Run(ctx, options) })
}

// Run prints one row for each property.
func Run(ctx context.Context, options Options) error {
	client, err := options.Client()
	if err != nil {
		return err
	}

	found, err := client.Request(ctx, options.ID)
	if err != nil {
		return err
	}

	rows := [][]string{
		{"request_id", found.RequestID},
		{"service", found.Service},
		{"class", found.Class},
		{"organisation", found.Organisation},
		{"state", found.State},
		{"arrived_at", found.ArrivedAt.UTC().Format(time.RFC3339Nano)},
		{"attempts", strconv.Itoa(found.Attempts)},
		{"upstream", found.Upstream},
		{"tokens", strconv.Itoa(found.Tokens)},
		{"result", found.Result},
		{"ran", found.Ran},
	}

	return options.Print(printer.Table{Columns: []string{"property", "value"}, Rows: rows, Data: found})
}
