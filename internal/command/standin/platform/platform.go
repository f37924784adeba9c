// Package platform is the command that runs a stand-in platform.
package platform

import (
	"context"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/standin/keeper"
)

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	var options keeper.Options

	clause := parent.Command("platform", "Run a stand-in platform until SIGTERM or SIGINT.")
	clause.Flag("listen", "IP:port to listen on.").Default("127.0.0.1:0").StringVar(&options.Listen)
	clause.Flag("token", "Token to ask for; none when left out.").StringVar(&options.Token)
	clause.Flag("writes", "Writes a second that it takes.").Default("400").Float64Var(&options.WritesPerSecond)
	clause.Flag("reads", "Reads a second that it takes.").Default("2000").Float64Var(&options.ReadsPerSecond)
	clause.Flag("vm-lag", "Age of the list of VMs.").Default("2s").DurationVar(&options.VMLag)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error {
		return keeper.Run(ctx, options, f.DefaultLogger())
	}}
}
