// Package leave is the command that takes an upstream out of service.
package leave

import (
	"context"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
)

const help = `Take an upstream out of service by a change of the settings tree.

It gets no new work within seconds; what runs on it goes on to its end.

Example:
  quincepath upstream leave assistente engine-03`

// Options are the flags of the command.
type Options struct {
	operator.Flags
	operator.ChangeFlags

	Service  string
	Upstream string
}

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Flags: operator.Flags{Factory: f}}
	clause := parent.Command("leave", help)
	clause.Arg("service", "Name of the service.").Required().StringVar(&options.Service)
	clause.Arg("upstream", "Name of the upstream.").Required().StringVar(&options.Upstream)
	options.Flags.Register(clause)
	options.ChangeFlags.Register(clause)

	return options.Command(clause, func(ctx context.Context) error { return Run(ctx, options) })
}

// Run marks the upstream as leaving and prints the change.
func Run(ctx context.Context, options Options) error {
	return options.MakeChange(options.ChangeFlags, func(c *operator.Client, names operator.ChangeFlags) (administrator.Change, error) {
		return c.Leave(ctx, options.Service, options.Upstream, names)
	})
}
