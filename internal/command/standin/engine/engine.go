// Package engine is the command that runs a stand-in engine.
package engine

import (
	"context"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/standin/generator"
)

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	var options generator.Options

	clause := parent.Command("engine", "Run a stand-in engine until SIGTERM or SIGINT.")
	clause.Flag("listen", "IP:port to listen on.").Default("127.0.0.1:0").StringVar(&options.Listen)
	clause.Flag("name", "Name in answers.").Default("engine").StringVar(&options.Name)
	clause.Flag("key", "Bearer key to ask for; none when left out.").StringVar(&options.BearerKey)
	clause.Flag("slots", "Requests to run at once.").Default("4").IntVar(&options.Slots)
	clause.Flag("token-step", "Time of a token of a lone answer.").Default("10ms").DurationVar(&options.TokenStep)
	clause.Flag("prefill", "Time before the first token for each token of the prompt.").Default("0s").DurationVar(&options.PrefillPerToken)
	clause.Flag("cache-blocks", "Memory for prompt prefixes, in blocks of 256 bytes.").Default("1024").IntVar(&options.CacheBlocks)
	clause.Flag("load-lag", "Age of the load reports and cache events.").Default("1s").DurationVar(&options.LoadLag)
	clause.Flag("seed", "Seed for the cache events that get lost.").Default("1").Uint64Var(&options.Seed)
	clause.Flag("check-fencing", "Refuse orders with an old fencing number.").BoolVar(&options.CheckFencing)
	clause.Flag("model", "Model that is loaded at the start; any name is served when left out.").StringsVar(&options.Models)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error {
		return generator.Run(ctx, options, f.DefaultLogger())
	}}
}
