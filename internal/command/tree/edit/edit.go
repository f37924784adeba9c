// Package edit is the command that edits a branch of the settings tree.
package edit

import (
	"context"
	"strings"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/editor"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
	"quincepath.example/quincepath/pkg/classifier"
)

const help = `Edit a branch of the settings tree: replace it by a file, or set and remove values.

A file needs --base, the revision of the branch that the file was made from, so
that it can't overwrite what another operator wrote since; 0 makes a new branch.

Examples:
  quincepath tree get sicilia-est/assistente > assistente.yaml
  quincepath tree edit sicilia-est/assistente --file assistente.yaml --base 41
  quincepath tree edit sicilia-est/assistente --set classes.booking.tier=1 --unset classes.trial`

// NoBase is the value of Options.Base when none is given.
const NoBase = -1

// Options are the flags of the command.
type Options struct {
	operator.Flags
	operator.ChangeFlags

	Branch string
	// File is the path of the new YAML; "-" means the input stream.
	File string
	// Set are changes of the form path=value; Unset are paths to remove.
	Set   []string
	Unset []string
	// Base is the revision that the edit starts from, or NoBase.
	Base int64
	// Create makes a branch that is not there; only without File.
	Create bool
}

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Flags: operator.Flags{Factory: f}}
	clause := parent.Command("edit", help)
	clause.Arg("branch", "Path of the branch.").Required().StringVar(&options.Branch)
	operator.FileFlag(clause.Flag("file", "New YAML of the branch; - reads the input."), &options.File)
	clause.Flag("set", "Set a value; may be repeated.").PlaceHolder("PATH=VALUE").StringsVar(&options.Set)
	clause.Flag("unset", "Remove a value, so that it is inherited again; may be repeated.").PlaceHolder("PATH").StringsVar(&options.Unset)
	clause.Flag("base", "Revision of the branch that the edit starts from.").PlaceHolder("REVISION").Default("-1").Int64Var(&options.Base)
	options.Flags.Register(clause)
	options.ChangeFlags.Register(clause)

	return options.Command(clause, func(ctx context.Context) error { return Run(ctx, options) })
}

// Run writes the branch in one edit and prints the change.
func Run(ctx context.Context, options Options) error {
	if err := check(options); err != nil {
		return err
	}

	return options.MakeChange(options.ChangeFlags, func(c *operator.Client, names operator.ChangeFlags) (administrator.Change, error) {
		prepared, err := prepare(ctx, c, options)
		if err != nil {
			return administrator.Change{}, err
		}

		prepared.ChangeID = names.ChangeID
		prepared.Author = names.Author

		return c.Apply(ctx, prepared)
	})
}

func check(options Options) error {
	pairs := len(options.Set) + len(options.Unset)
	if (options.File == "") == (pairs == 0) {
		return classifier.New(classifier.InvalidUsage, "give either --file FILE or some of --set PATH=VALUE and --unset PATH")
	}

	if options.File != "" && options.Base == NoBase {
		return classifier.New(classifier.InvalidUsage, "give --base REVISION, the revision that tree get showed for %s when you began; 0 for a new branch", options.Branch)
	}

	return nil
}

// prepare returns the edit without its names.
func prepare(ctx context.Context, client *operator.Client, options Options) (administrator.Edit, error) {
	if options.File != "" {
		content, err := operator.ReadFile(options.File, options.Factory.Streams.In)
		return administrator.Edit{Path: options.Branch, BaseRevision: options.Base, Content: content}, err
	}

	branch, err := client.Branch(ctx, options.Branch, false)
	if err != nil && options.Create && classifier.From(err).Code == classifier.UnknownBranch {
		branch, err = administrator.Branch{Path: options.Branch}, nil
	}

	if err != nil {
		return administrator.Edit{}, err
	}

	content, err := edited(branch.Content, options)
	if err != nil {
		return administrator.Edit{}, err
	}

	base := branch.Revision
	if options.Base != NoBase {
		base = options.Base
	}

	return administrator.Edit{Path: branch.Path, BaseRevision: base, Content: content}, nil
}

func edited(content string, options Options) (string, error) {
	for _, v := range options.Set {
		name, value, ok := strings.Cut(v, "=")
		if !ok {
			return "", classifier.New(classifier.InvalidUsage, "%q is no change; write PATH=VALUE, such as classes.booking.tier=1", v)
		}

		path, err := editor.SplitPath(name)
		if err == nil {
			content, err = editor.Set(content, path, value)
		}

		if err != nil {
			return "", classifier.New(classifier.InvalidUsage, "%v", err)
		}
	}

	for _, v := range options.Unset {
		path, err := editor.SplitPath(v)
		if err == nil {
			content, err = editor.Remove(content, path)
		}

		if err != nil {
			return "", classifier.New(classifier.InvalidUsage, "%v", err)
		}
	}

	return content, nil
}
