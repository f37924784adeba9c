// Command quincepath routes language-model traffic by service levels and priorities.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/command/root"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/server"
	"quincepath.example/quincepath/platform"
)

func main() {
	f := factory.New()
	f.Serve = serve

	os.Exit(root.Quincepath(f).Main(os.Args[1:]))
}

// serve runs the node that the settings describe.
func serve(ctx context.Context, settings loader.Settings, logger zerolog.Logger) error {
	if settings.Gateway.Enabled() {
		return platform.Serve(ctx, settings, logger)
	}

	return server.Run(ctx, settings, logger)
}
