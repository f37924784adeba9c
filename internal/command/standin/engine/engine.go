// Package engine is the command that runs a stand-in engine.
package engine

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
	// Name stands in its answers.
	Name string
	// Key is the bearer key that it asks for; empty means none.
	Key string
	// Slots is the number of requests that it runs at once.
	Slots int
	// TokenStep is the time between tokens of one answer.
	TokenStep time.Duration
	// Lag is the time before the first byte of each answer.
	Lag time.Duration
}

// Runner runs the stand-in until ctx ends.
type Runner func(ctx context.Context, options Options, logger zerolog.Logger) error

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent, runner Runner) factory.Command {
	var options Options

	clause := parent.Command("engine", "Run a stand-in engine until SIGTERM or SIGINT.")
	clause.Flag("listen", "IP:port to listen on.").Default("127.0.0.1:0").StringVar(&options.Listen)
	clause.Flag("name", "Name in answers.").Default("engine").StringVar(&options.Name)
	clause.Flag("key", "Bearer key to ask for; none when left out.").StringVar(&options.Key)
	clause.Flag("slots", "Requests to run at once.").Default("4").IntVar(&options.Slots)
	clause.Flag("token-step", "Time between tokens.").Default("10ms").DurationVar(&options.TokenStep)
	clause.Flag("lag", "Time before the first byte of each answer.").Default("0s").DurationVar(&options.Lag)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error {
		return Run(ctx, options, runner, f.Logger("info", "keyvalue"))
	}}
}

// Run calls runner, and fails when the program was built without one.
func Run(ctx context.Context, options Options, runner Runner, logger zerolog.Logger) error {
	if runner == nil {
		return classifier.New(classifier.InternalError, "this program holds no stand-in engine")
	}

	return runner(ctx, options, logger)
}
