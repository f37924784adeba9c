// Package diff is the query that shows how a branch of the settings tree differs from a file, or what a change did.
package diff

import (
	"context"
	"fmt"

	"quincepath.example/quincepath/internal/differ"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
	"quincepath.example/quincepath/internal/printer"
	"quincepath.example/quincepath/pkg/classifier"
)

const help = `Show what a file would change in a branch, or what a change did.

Examples:
  quincepath tree diff sicilia-est/assistente --file assistente.yaml
  quincepath tree diff --change 5e0c8f8e-6f0e-4a52-9f53-0a4f0a4f7d11`

// Options are the flags of the query.
type Options struct {
	operator.Flags

	Branch string
	// File is the path of the new YAML of the branch; "-" means the input stream.
	File string
	// Change is the id of a change; Branch and File are then empty.
	Change string
}

// difference is the answer for scripts.
type difference struct {
	Path       string `json:"path"`
	Difference string `json:"difference"`
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Flags: operator.Flags{Factory: f}}
	clause := parent.Command("diff", help)
	clause.Arg("branch", "Path of the branch.").StringVar(&options.Branch)
	operator.FileFlag(clause.Flag("file", "New YAML of the branch; - reads the input."), &options.File)
	clause.Flag("change", "Id of the change to show.").PlaceHolder("ID").StringVar(&options.Change)
	options.Register(clause)

	return options.Command(clause, func(ctx context.Context) error { return Run(ctx, options) })
}

// Run prints the lines of both sides, or nothing when they are equal.
func Run(ctx context.Context, options Options) error {
	client, err := options.Client()
	if err != nil {
		return err
	}

	found, err := find(ctx, client, options)
	if err != nil {
		return err
	}

	if options.JSON {
		return printer.WriteJSON(options.Factory.Streams.Out, found)
	}

	_, err = fmt.Fprint(options.Factory.Streams.Out, found.Difference)

	return err
}

func find(ctx context.Context, client *operator.Client, options Options) (difference, error) {
	if options.Change != "" && options.Branch == "" && options.File == "" {
		change, err := client.Change(ctx, options.Change)
		return difference{Path: change.Path, Difference: change.Difference}, err
	}

	if options.Change != "" || options.Branch == "" || options.File == "" {
		return difference{}, classifier.New(classifier.InvalidUsage, "give a branch and --file FILE, or --change ID alone")
	}

	after, err := operator.ReadFile(options.File, options.Factory.Streams.In)
	if err != nil {
		return difference{}, err
	}

	branch, err := client.Branch(ctx, options.Branch, false)
	if err != nil {
		return difference{}, err
	}

	return difference{Path: branch.Path, Difference: differ.Diff(branch.Content, after)}, nil
}
