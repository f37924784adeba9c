// Package set is the command that sets values of a branch of the settings tree.
package set

import (
	"context"

	"quincepath.example/quincepath/internal/command/tree/edit"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
)

const help = `Set values of a branch of the settings tree.

The change applies to all branches beneath it that don't override the value.
Another operator's change to the branch since it was read is a conflict, and nothing is written.

Examples:
  quincepath tree set sicilia-est/assistente classes.owner_chat.target=2s
  quincepath tree set sicilia-est organisations.canile.weight=3 organisations.canile.concurrency=20`

// Options are the flags of the command.
type Options struct {
	operator.Flags
	operator.ChangeFlags

	Branch string
	// Pairs are changes of the form path=value.
	Pairs []string
	// Create makes the branch if it is not there.
	Create bool
}

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Flags: operator.Flags{Factory: f}}
	clause := parent.Command("set", help)
	clause.Arg("branch", "Path of the branch.").Required().StringVar(&options.Branch)
	clause.Arg("path=value", "Key path and new YAML value.").Required().StringsVar(&options.Pairs)
	clause.Flag("create", "Make the branch if it is not there.").BoolVar(&options.Create)
	options.Flags.Register(clause)
	options.ChangeFlags.Register(clause)

	return options.Command(clause, func(ctx context.Context) error { return Run(ctx, options) })
}

// Run changes the branch in one edit.
func Run(ctx context.Context, options Options) error {
	return edit.Run(ctx, edit.Options{
		Flags:       options.Flags,
		ChangeFlags: options.ChangeFlags,
		Branch:      options.Branch,
		Set:         options.Pairs,
		Create:      options.Create,
		Base:        edit.NoBase,
	})
}
