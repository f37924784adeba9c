// Package undo is the command that takes a change of the settings tree back.
package undo

import (
	"context"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
)

const help = `Take a change of the settings tree back by a new change.

It is a conflict if the branch was changed again since.

Example:
  quincepath tree undo 5e0c8f8e-6f0e-4a52-9f53-0a4f0a4f7d11`

// Options are the flags of the command.
type Options struct {
	operator.Flags
	operator.ChangeFlags

	// Undone is the id of the change.
	Undone string
}

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Flags: operator.Flags{Factory: f}}
	clause := parent.Command("undo", help)
	clause.Arg("change", "Id of the change, as tree history shows it.").Required().StringVar(&options.Undone)
	options.Flags.Register(clause)
	options.ChangeFlags.Register(clause)

	return options.Command(clause, func(ctx context.Context) error { return Run(ctx, options) })
}

// Run takes the change back and prints the new change.
func Run(ctx context.Context, options Options) error {
	return options.MakeChange(options.ChangeFlags, func(c *operator.Client, names operator.ChangeFlags) (administrator.Change, error) {
		return c.Undo(ctx, administrator.Undo{Undone: options.Undone, ChangeID: names.ChangeID, Author: names.Author})
	})
}
