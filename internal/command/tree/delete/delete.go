// Package delete is the command that deletes a branch of the settings tree.
package delete

import (
	"context"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
)

const help = `Delete a branch of the settings tree.

It needs --base, the revision of the branch that tree get showed, so that it
can't delete what another operator wrote since. The branches beneath it stay and
no longer inherit its values. The change is refused if the tree breaks a rule
without the branch.

Example:
  quincepath tree delete sicilia-est/banco --base 41`

// Options are the flags of the command.
type Options struct {
	operator.Flags
	operator.ChangeFlags

	// Branch is the path of the branch, "/" for the root.
	Branch string
	// Base is the revision of the branch that the operator saw; at least 1.
	Base int64
}

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Flags: operator.Flags{Factory: f}}
	clause := parent.Command("delete", help)
	clause.Arg("branch", "Path of the branch; / for the root.").Required().StringVar(&options.Branch)
	clause.Flag("base", "Revision of the branch that tree get showed.").Required().PlaceHolder("REVISION").Int64Var(&options.Base)
	options.Flags.Register(clause)
	options.ChangeFlags.Register(clause)

	return options.Command(clause, func(ctx context.Context) error { return Run(ctx, options) })
}

// Run deletes the branch and prints the change.
func Run(ctx context.Context, options Options) error {
	return options.MakeChange(options.ChangeFlags, func(c *operator.Client, names operator.ChangeFlags) (administrator.Change, error) {
		return c.Apply(ctx, administrator.Edit{
			Path:         options.Branch,
			BaseRevision: options.Base,
			ChangeID:     names.ChangeID,
			Author:       names.Author,
			Delete:       true,
		})
	})
}
