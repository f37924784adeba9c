// Package history is the query that lists the changes of the settings tree.
package history

import (
	"context"
	"strconv"
	"time"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
	"quincepath.example/quincepath/internal/printer"
)

const help = `List the changes of the settings tree, the newest first.

Examples:
  quincepath tree history
  quincepath tree history sicilia-est --limit 5`

// Options are the flags of the query.
type Options struct {
	operator.Flags

	// Branch is the path of a branch; empty means all.
	Branch string
	// Limit is the largest number of changes, from 1 to 1000.
	Limit int
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Flags: operator.Flags{Factory: f}}
	clause := parent.Command("history", help)
	clause.Arg("branch", "Path of the branch.").StringVar(&options.Branch)
	clause.Flag("limit", "Largest number of changes, from 1 to 1000.").Default("20").IntVar(&options.Limit)
	options.Register(clause)

	return options.Command(clause, func(ctx context.Context) error { return Run(ctx, options) })
}

// Run prints one row for each change.
func Run(ctx context.Context, options Options) error {
	client, err := options.Client()
	if err != nil {
		return err
	}

	changes, err := client.History(ctx, options.Branch, options.Limit)
	if err != nil {
		return err
	}

	t := printer.Table{
		Columns: []string{"revision", "at", "author", "branch", "state", "change"},
		Empty:   "No change is known.",
		Data:    changes,
	}
	for _, v := range changes {
		at := v.At.UTC().Format(time.RFC3339)
		t.Rows = append(t.Rows, []string{strconv.FormatInt(v.Revision, 10), at, v.Author, operator.Shown(v.Path), string(v.State), v.ID})
	}

	return options.Print(t)
}
