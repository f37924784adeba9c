// Package serve is the command that runs a node.
package serve

import (
	"context"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/pkg/classifier"
)

// Options are the flags of the command.
type Options struct {
	Factory *factory.Factory
	// Settings is the path of the node's settings file.
	Settings string
}

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Factory: f}
	clause := parent.Command("serve", "Run a node until SIGTERM or SIGINT.")
	clause.Flag("settings", "Settings file of the node.").Required().PlaceHolder("FILE").StringVar(&options.Settings)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error { return Run(ctx, options) }}
}

// Run loads the settings and serves until ctx ends.
func Run(ctx context.Context, options Options) error {
	settings, err := loader.Load(options.Settings)
	if err != nil {
		return err
	}

	if options.Factory.Serve == nil {
		return classifier.New(classifier.InternalError, "this program holds no node")
	}

	if !settings.Gateway.Enabled() {
		return options.Factory.Serve(ctx, settings, options.Factory.Logger(settings.Log.Level, settings.Log.Format))
	}

	logger, flush := options.Factory.ServiceLogger(settings.Log.Level, settings.Log.Format)
	defer flush()

	return options.Factory.Serve(ctx, settings, logger)
}
