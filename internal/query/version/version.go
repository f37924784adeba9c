// Package version is the query that prints the program's version.
package version

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"quincepath.example/quincepath/internal/factory"
)

// revisionLength is the number of digits of a revision that are shown.
const revisionLength = 12

// Options are the inputs of the query.
type Options struct {
	Factory *factory.Factory
	Program string
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent, program string) factory.Command {
	options := Options{Factory: f, Program: program}
	clause := parent.Command("version", "Print the version.")

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error { return Run(ctx, options) }}
}

// Run prints the program's name, its version and that of Go.
func Run(_ context.Context, options Options) error {
	_, err := fmt.Fprintf(options.Factory.Streams.Out, "%s %s %s\n", options.Program, built(), runtime.Version())

	return err
}

// built returns the module version, or the revision for a build from a work tree.
func built() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}

	for _, v := range info.Settings {
		if v.Key == "vcs.revision" && len(v.Value) >= revisionLength {
			return v.Value[:revisionLength]
		}
	}

	return info.Main.Version
}
