// Package root builds the command lines of both programs and runs what they name.
package root

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/command/demo"
	"quincepath.example/quincepath/internal/command/registrar"
	"quincepath.example/quincepath/internal/command/replay"
	"quincepath.example/quincepath/internal/command/serve"
	"quincepath.example/quincepath/internal/command/standin/engine"
	"quincepath.example/quincepath/internal/command/standin/platform"
	"quincepath.example/quincepath/internal/command/standin/service"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/query/settings/check"
	"quincepath.example/quincepath/internal/query/trace/generate"
	"quincepath.example/quincepath/internal/query/version"
	"quincepath.example/quincepath/pkg/classifier"
)

// App is a command line with its commands.
type App struct {
	factory  *factory.Factory
	kingpin  *kingpin.Application
	commands []factory.Command
}

// ended is what the parser panics with when it did all that was asked itself,
// such as --help. Kingpin goes on parsing and prints its usage again if its
// terminate function returns, so the function must not return.
type ended struct{}

// Quincepath returns the command line of the program quincepath.
func Quincepath(f *factory.Factory) *App {
	a := newApp(f, "quincepath", "Routes language-model traffic by service levels and priorities.")
	settings := a.kingpin.Command("settings", "Work with settings files.")
	a.commands = []factory.Command{
		serve.New(f, a.kingpin),
		demo.New(f, a.kingpin),
		replay.New(f, a.kingpin),
		check.New(f, settings),
		generate.New(f, a.kingpin.Command("trace", "Work with traces.")),
		version.New(f, a.kingpin, "quincepath"),
	}
	a.commands = append(a.commands, registrar.Register(f, a.kingpin)...)

	return a
}

// Standin returns the command line of the program standin.
func Standin(f *factory.Factory) *App {
	a := newApp(f, "standin", "Runs small stand-ins for the outside systems that quincepath meets.")
	a.commands = []factory.Command{
		engine.New(f, a.kingpin),
		service.New(f, a.kingpin),
		platform.New(f, a.kingpin),
		version.New(f, a.kingpin, "standin"),
	}

	return a
}

func newApp(f *factory.Factory, name, help string) *App {
	a := &App{factory: f, kingpin: kingpin.New(name, help)}
	a.kingpin.UsageWriter(f.Streams.Out)
	a.kingpin.ErrorWriter(f.Streams.Err)
	a.kingpin.Terminate(func(int) { panic(ended{}) })
	a.kingpin.HelpFlag.Short('h')

	return a
}

// Main runs the command line until its command ends and returns the exit status.
//
// The first SIGTERM or SIGINT ends the command's context; the second one ends
// the process at once, because the signals are no longer caught by then.
func (a *App) Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	context.AfterFunc(ctx, stop)

	err := a.Run(ctx, args)
	if err == nil || (ctx.Err() != nil && errors.Is(err, context.Canceled)) {
		return int(classifier.OK)
	}

	numbered := classifier.From(err)
	_, _ = fmt.Fprintf(a.factory.Streams.Err, "%s: %s\n", a.kingpin.Name, sentence(numbered))

	return int(numbered.Code)
}

// Run parses args and runs the command that they name.
func (a *App) Run(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return classifier.New(classifier.InvalidUsage, "a command is needed; see %s --help", a.kingpin.Name)
	}

	name, done, err := a.parse(args)
	if done {
		return nil
	}

	if err != nil {
		return classifier.Wrap(err, classifier.InvalidUsage, "%v; see %s --help", err, a.kingpin.Name)
	}

	for _, v := range a.commands {
		if v.Clause.FullCommand() == name {
			return v.Run(ctx)
		}
	}

	return classifier.New(classifier.InvalidUsage, "%s needs a verb; see %s %s --help", name, a.kingpin.Name, name)
}

// parse returns the full name of the command; done means that the parser left nothing to run.
func (a *App) parse(args []string) (name string, done bool, err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}

		if _, ok := cause.(ended); !ok {
			panic(cause)
		}

		done = true
	}()

	name, err = a.kingpin.Parse(args)

	return name, false, err
}

// sentence leaves out the cause where the reason already says it.
func sentence(e *classifier.Error) string {
	cause := e.Unwrap()
	if cause == nil || e.Code == classifier.InvalidUsage {
		return e.Reason
	}

	return fmt.Sprintf("%s: %v", e.Reason, cause)
}

// Model describes the commands and flags, for checks of documents.
func (a *App) Model() *kingpin.ApplicationModel {
	return a.kingpin.Model()
}
