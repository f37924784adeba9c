// Package service is the command that runs a stand-in plain service.
package service

import (
	"context"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/standin/responder"
)

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	var options responder.Options

	clause := parent.Command("service", "Run a stand-in plain service until SIGTERM or SIGINT.")
	clause.Flag("listen", "IP:port to listen on.").Default("127.0.0.1:0").StringVar(&options.Listen)
	clause.Flag("name", "Name in answers.").Default("service").StringVar(&options.Name)
	clause.Flag("slots", "Requests to run at once.").Default("4").IntVar(&options.Slots)
	clause.Flag("work", "Time of a request.").Default("10ms").DurationVar(&options.Work)
	clause.Flag("load-lag", "Age of the load reports.").Default("1s").DurationVar(&options.LoadLag)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error {
		return responder.Run(ctx, options, f.DefaultLogger())
	}}
}
