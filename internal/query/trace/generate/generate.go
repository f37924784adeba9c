// Package generate is the query that prints a generated trace.
package generate

import (
	"context"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/tracer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Options are the flags of the query.
type Options struct {
	Factory *factory.Factory
	// Story is the name of a generator.
	Story string
	Seed  uint64
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Factory: f}
	clause := parent.Command("generate", "Print a generated trace, the same for the same seed.")
	clause.Flag("story", "Story of the trace.").Required().EnumVar(&options.Story, Names()...)
	clause.Flag("seed", "Seed of the random numbers.").Default("1").Uint64Var(&options.Seed)

	return factory.Command{Clause: clause, Run: func(context.Context) error { return Run(options) }}
}

// Names returns the names of all stories.
func Names() []string {
	var names []string
	for _, v := range tracer.Stories() {
		names = append(names, v.Name)
	}

	return names
}

// Run prints the trace.
func Run(options Options) error {
	events, err := Events(options.Story, options.Seed)
	if err != nil {
		return err
	}

	return tracer.Write(options.Factory.Streams.Out, events)
}

// Events returns the trace of a story. It fails with classifier.InvalidUsage when there is none of this name.
func Events(story string, seed uint64) ([]tracer.Event, error) {
	found, ok := tracer.Find(story)
	if !ok {
		return nil, classifier.New(classifier.InvalidUsage, "there is no story %q", story)
	}

	return found.Generate(seed), nil
}
