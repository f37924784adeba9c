// Package check is the query that checks a settings file without running a node.
package check

import (
	"context"
	"fmt"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/loader"
)

// Options are the flags of the query.
type Options struct {
	Factory *factory.Factory
	// Settings is the path of the file.
	Settings string
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Factory: f}
	clause := parent.Command("check", "Check a settings file and name every error in it.")
	clause.Flag("settings", "Settings file of a node.").Required().PlaceHolder("FILE").StringVar(&options.Settings)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error { return Run(ctx, options) }}
}

// Run prints one line if the file has no error, and returns the errors otherwise.
func Run(_ context.Context, options Options) error {
	settings, err := loader.Load(options.Settings)
	if err != nil {
		return err
	}

	_, err = fmt.Fprintf(options.Factory.Streams.Out, "%s is valid: node %s with %d services and %d peers.\n",
		options.Settings, settings.Node.Name, len(settings.Services), len(settings.Peers.Nodes))

	return err
}
