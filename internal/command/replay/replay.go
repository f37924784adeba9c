// Package replay is the command that plays a trace against running nodes.
package replay

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/internal/operator"
	"quincepath.example/quincepath/internal/query/trace/generate"
	"quincepath.example/quincepath/internal/replayer"
	"quincepath.example/quincepath/internal/reporter"
	"quincepath.example/quincepath/internal/tracer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Options are the flags of the command.
type Options struct {
	Factory *factory.Factory
	// Trace is the path of a trace file; when empty, Story and Seed name a generated trace.
	Trace string
	Story string
	Seed  uint64
	// CA is a PEM file of the authority that signs the nodes' certificates; empty means plain HTTP.
	CA string
	// Settings is the path of a node's settings file with the classes' targets; it may be empty.
	Settings string
	// Expect is the path of a file with stated outcomes; it may be empty.
	Expect string
	Output Output
	// StandIns are the IP:port addresses of the stand-ins whose records are compared with the answers.
	StandIns []string
	Player   replayer.Options
}

// New registers the command under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Factory: f, Player: replayer.Options{Keys: map[string]string{}}}
	clause := parent.Command("replay", "Play a trace against running nodes and check every answer.")
	clause.Flag("trace", "Trace file.").PlaceHolder("FILE").StringVar(&options.Trace)
	clause.Flag("story", "Generated trace, instead of a file.").EnumVar(&options.Story, generate.Names()...)
	clause.Flag("seed", "Seed of the generated trace.").Default("1").Uint64Var(&options.Seed)
	clause.Flag("entries", "IP:port of a node to start from; may be repeated.").Required().PlaceHolder("ADDRESS").StringsVar(&options.Player.Entries)
	clause.Flag("key", "Bearer key of an organisation; may be repeated.").Required().PlaceHolder("ORGANISATION=KEY").StringMapVar(&options.Player.Keys)
	clause.Flag("ca", "PEM file of the authority that signs the nodes' certificates; calls by HTTPS.").PlaceHolder("FILE").StringVar(&options.CA)
	clause.Flag("speed", "Play the trace that many times as fast.").Default("1").Float64Var(&options.Player.Speed)
	clause.Flag("workers", "Requests at once; sends beyond it are late.").IntVar(&options.Player.Workers)
	clause.Flag("answer-limit", "Longest wait of a caller with all its tries.").Default("2m").DurationVar(&options.Player.AnswerLimit)
	clause.Flag("ask-again", "Repeat not repeatable requests with their idempotency key after a broken connection.").BoolVar(&options.Player.AskAgain)
	clause.Flag("by-service", "Use entries in the order that nodes name for the service, and not all in turn.").Default("true").BoolVar(&options.Player.ByService)
	clause.Flag("check-answers", "All upstreams are stand-ins: compare each answer with the one known beforehand.").BoolVar(&options.Player.StandIns)
	clause.Flag("standin", "IP:port of a stand-in whose runs are compared with the answers; may be repeated; implies --check-answers.").PlaceHolder("ADDRESS").StringsVar(&options.StandIns)
	clause.Flag("settings", "Settings file with the classes' targets.").PlaceHolder("FILE").StringVar(&options.Settings)
	clause.Flag("expect", "File of stated outcomes; a missed one gives the exit status of expectation_missed.").PlaceHolder("FILE").StringVar(&options.Expect)
	options.Output.Register(clause)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error { return Run(ctx, options) }}
}

// Run plays the trace and prints the report. It returns classifier.ExpectationMissed when a stated outcome is missed.
func Run(ctx context.Context, options Options) error {
	events, err := Events(options.Trace, options.Story, options.Seed)
	if err != nil {
		return err
	}

	expectations, targets, err := options.stated()
	if err != nil {
		return err
	}

	if options.CA != "" {
		options.Player.TLS, err = operator.Trusting(options.CA)
		if err != nil {
			return err
		}
	}

	options.Player.StandIns = options.Player.StandIns || len(options.StandIns) > 0

	bar := NewProgress(options.Factory, len(events))
	options.Player.Progress = bar.Show
	result, err := replayer.New(options.Player).Play(ctx, events)

	bar.End()

	if err != nil {
		return err
	}

	in := reporter.Input{Result: result, Targets: targets}

	if len(options.StandIns) > 0 {
		audit, err := replayer.AuditStandIns(ctx, http.DefaultClient, options.StandIns, result)
		if err != nil {
			return classifier.Wrap(err, classifier.NodeUnreachable, "can't read a stand-in's runs")
		}

		in.Audit = &audit
	}

	report := reporter.New(in)
	report.Check(expectations)

	if err := options.Output.Write(options.Factory, report, result); err != nil {
		return err
	}

	return report.Missed()
}

// Events reads a trace file, or generates the trace of a story.
func Events(trace, story string, seed uint64) ([]tracer.Event, error) {
	if (trace == "") == (story == "") {
		return nil, classifier.New(classifier.InvalidUsage, "name one of --trace and --story")
	}

	if story != "" {
		return generate.Events(story, seed)
	}

	file, err := os.Open(trace)
	if err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidUsage, "can't read the trace: %v", err)
	}
	defer file.Close()

	events, err := tracer.Read(trace, file)

	var fault *tracer.LineError
	if errors.As(err, &fault) {
		return nil, classifier.New(classifier.InvalidUsage, "%s", fault.Error())
	}

	return events, err
}

// stated reads the stated outcomes and the targets.
func (o Options) stated() (reporter.Expectations, map[replayer.ClassKey]time.Duration, error) {
	expectations, err := Expectations(o.Expect)
	if err != nil || o.Settings == "" {
		return expectations, expectations.Targets(nil), err
	}

	settings, err := loader.Load(o.Settings)

	return expectations, expectations.Targets(Targets(settings)), err
}

// Expectations reads a file of stated outcomes; an empty path states nothing.
func Expectations(path string) (reporter.Expectations, error) {
	if path == "" {
		return reporter.Expectations{}, nil
	}

	data, err := os.ReadFile(path)
	if err != nil {
		return reporter.Expectations{}, classifier.Wrap(err, classifier.InvalidUsage, "can't read the stated outcomes: %v", err)
	}

	return reporter.ParseExpectations(path, data)
}

// Targets returns the classes' latency targets.
func Targets(settings loader.Settings) map[replayer.ClassKey]time.Duration {
	targets := map[replayer.ClassKey]time.Duration{}

	for service, v := range settings.Services {
		for class, c := range v.Classes {
			targets[replayer.ClassKey{Service: service, Class: class}] = c.Target
		}
	}

	return targets
}
