// Package get is the query that shows branches of the settings tree.
package get

import (
	"context"
	"fmt"
	"strconv"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
	"quincepath.example/quincepath/internal/printer"
)

const help = `Show a branch of the settings tree, or list all branches.

Examples:
  quincepath tree get
  quincepath tree get /
  quincepath tree get sicilia-est/assistente
  quincepath tree get sicilia-est/assistente --explain`

// Options are the flags of the query.
type Options struct {
	operator.Flags

	// Branch is the path of a branch, "/" for the root; empty means all.
	Branch string
	// Explain shows each value in force and the branch that gives it.
	Explain bool
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Flags: operator.Flags{Factory: f}}
	clause := parent.Command("get", help)
	clause.Arg("branch", "Path of the branch; / for the root.").StringVar(&options.Branch)
	clause.Flag("explain", "Show each value in force and the branch that gives it.").BoolVar(&options.Explain)
	options.Register(clause)

	return options.Command(clause, func(ctx context.Context) error { return Run(ctx, options) })
}

// Run prints the branch's YAML as it is stored, or a table.
func Run(ctx context.Context, options Options) error {
	client, err := options.Client()
	if err != nil {
		return err
	}

	if options.Branch == "" {
		return list(ctx, client, options)
	}

	branch, err := client.Branch(ctx, options.Branch, options.Explain)
	if err != nil {
		return err
	}

	if options.JSON {
		return printer.WriteJSON(options.Factory.Streams.Out, branch)
	}

	if options.Explain {
		t := printer.Table{Columns: []string{"key", "value", "branch", "line", "level"}, Empty: "The branch has no values."}
		for _, v := range branch.Origins {
			t.Rows = append(t.Rows, []string{v.Key, v.Value, operator.Shown(v.Branch), strconv.Itoa(v.Line), v.Level})
		}

		return options.Print(t)
	}

	if options.Terminal {
		_, _ = fmt.Fprintf(options.Factory.Streams.Err, "%s is at revision %d; tree edit takes it as --base %d.\n", operator.Shown(branch.Path), branch.Revision, branch.Revision)
	}

	_, err = fmt.Fprint(options.Factory.Streams.Out, branch.Content)

	return err
}

func list(ctx context.Context, client *operator.Client, options Options) error {
	branches, err := client.Branches(ctx)
	if err != nil {
		return err
	}

	t := printer.Table{Columns: []string{"branch", "revision"}, Empty: "The tree has no branches.", Data: branches}
	for _, v := range branches {
		t.Rows = append(t.Rows, []string{operator.Shown(v.Path), strconv.FormatInt(v.Revision, 10)})
	}

	return options.Print(t)
}
