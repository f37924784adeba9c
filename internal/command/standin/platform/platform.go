// Package platform is the command that runs a stand-in platform.
package platform

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/pkg/classifier"
)

// Options are the flags of the command.
type Options struct {
	// Listen is the IP:port of the stand-in.
	Listen string
	// Key is the token that it asks for; empty means none.
	Key string
	// Lag is the time before each answer.
	Lag time.Duration
}

// Runner runs the stand-in until ctx ends.
type Runner func(ctx context.Context, options Options, logger zerolog.Logger) error

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent, runner Runner) factory.Command {
	var options Options

	clause := parent.Command("platform", "Run a stand-in platform until SIGTERM or SIGINT.")
	clause.Flag("listen", "IP:port to listen on.").Default("127.0.0.1:0").StringVar(&options.Listen)
	clause.Flag("key", "Token to ask for; none when left out.").StringVar(&options.Key)
	clause.Flag("lag", "Time before each answer.").Default("0s").DurationVar(&options.Lag)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error {
		return Run(ctx, options, runner, f.Logger("info", "keyvalue"))
	}}
}

// Run calls runner, and fails when the program was built without one.
func Run(ctx context.Context, options Options, runner Runner, logger zerolog.Logger) error {
	if runner == nil {
		return classifier.New(classifier.InternalError, "this program holds no stand-in platform")
	}

	return runner(ctx, options, logger)
}
