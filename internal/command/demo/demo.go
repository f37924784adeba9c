// Package demo is the command that shows the whole path in one process: nodes,
// stand-ins for everything outside, and a short trace with the classes of both shops.
package demo

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/command/replay"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/query/trace/generate"
	"quincepath.example/quincepath/internal/replayer"
	"quincepath.example/quincepath/internal/reporter"
	"quincepath.example/quincepath/pkg/classifier"
)

// Options are the flags of the command.
type Options struct {
	Factory *factory.Factory
	// Nodes is the number of nodes; at least 1.
	Nodes   int
	Story   string
	Seed    uint64
	Verbose bool
	// Expect is the path of a file with stated outcomes; it may be empty.
	Expect string
	Output replay.Output
}

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Factory: f}
	clause := parent.Command("demo", "Run nodes, stand-ins and a short trace in this process and print what came out.")
	clause.Flag("nodes", "Number of nodes.").Default("2").IntVar(&options.Nodes)
	clause.Flag("story", "Generated trace to play.").Default("mix").EnumVar(&options.Story, generate.Names()...)
	clause.Flag("seed", "Seed of the generated trace.").Default("1").Uint64Var(&options.Seed)
	clause.Flag("expect", "File of stated outcomes; a missed one gives the exit status of expectation_missed.").PlaceHolder("FILE").StringVar(&options.Expect)
	options.Output.Register(clause)
	clause.Flag("verbose", "Log all events of the nodes and stand-ins.").BoolVar(&options.Verbose)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error { return Run(ctx, options) }}
}

// Run plays the trace and prints the report. It returns
// classifier.ExpectationMissed when an answer was wrong, missing or double, or
// when a request ran though its caller was told that it did not.
func Run(ctx context.Context, options Options) error {
	if options.Factory.Serve == nil {
		return classifier.New(classifier.InternalError, "this program holds no node")
	}

	if options.Nodes < 1 {
		return classifier.New(classifier.InvalidUsage, "--nodes is %d; write 1 or more", options.Nodes)
	}

	expectations, err := replay.Expectations(options.Expect)
	if err != nil {
		return err
	}

	logger := zerolog.Nop()
	if options.Verbose {
		logger = options.Factory.DefaultLogger()
	}

	ctx, stop := context.WithCancel(ctx)
	c := newCluster(options.Factory.Serve, logger)
	report, err := options.play(ctx, c, expectations)

	stop()
	c.running.Wait()

	if err != nil {
		return err
	}

	if report.Total.Broken() {
		return classifier.New(classifier.ExpectationMissed, "a promise to callers was broken; see the line that begins with \"wrong\"")
	}

	return report.Missed()
}

func (o Options) play(ctx context.Context, c *cluster, expectations reporter.Expectations) (reporter.Report, error) {
	events, err := generate.Events(o.Story, o.Seed)
	if err != nil {
		return reporter.Report{}, err
	}

	if err := c.start(ctx, o.Nodes, events); err != nil {
		return reporter.Report{}, err
	}

	keys := map[string]string{}
	for _, v := range events {
		keys[v.Organisation] = keyOf(v.Organisation)
	}

	o.announce(c, len(events))

	bar := replay.NewProgress(o.Factory, len(events))
	player := replayer.New(replayer.Options{Entries: c.entries, Keys: keys, StandIns: true, AskAgain: true, Progress: bar.Show})
	result, err := player.Play(ctx, events)

	bar.End()

	if err != nil {
		return reporter.Report{}, err
	}

	audit, err := replayer.AuditStandIns(ctx, http.DefaultClient, c.standIns, result)
	if err != nil {
		return reporter.Report{}, errors.Wrap(err, "read the stand-ins' runs")
	}

	report := reporter.New(reporter.Input{Result: result, Targets: expectations.Targets(replay.Targets(c.settings)), Audit: &audit})
	report.Check(expectations)

	return report, o.Output.Write(o.Factory, report, result)
}

// announce says what runs. It goes to the error stream, so that the output holds the report alone.
func (o Options) announce(c *cluster, events int) {
	fmt.Fprintf(o.Factory.Streams.Err, "%d nodes, %d stand-ins and a platform run in this process; playing %d requests of the trace %q.\n",
		o.Nodes, len(c.standIns), events, o.Story)
}
