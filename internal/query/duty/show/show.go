// Package show is the query that shows what a gateway node does of the platform's duties.
package show

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/gateway"
	"quincepath.example/quincepath/internal/gateway/leader"
	"quincepath.example/quincepath/internal/printer"
	"quincepath.example/quincepath/pkg/classifier"
)

const help = `Show what a gateway node does of the platform's duties: whether it holds them, since when and under which
number, the usage reports, and what upstreams stand and are ordered.

Examples:
  quincepath duty show --metrics 10.1.0.40:7340
  quincepath duty show --metrics 10.1.0.40:7340 --json`

const defaultTimeout = 5 * time.Second

// Options are the flags of the query.
type Options struct {
	Factory *factory.Factory
	// Metrics is the IP:port at which the node answers its counters.
	Metrics string
	Timeout time.Duration
	JSON    bool
}

// New registers the query under parent.
func New(f *factory.Factory, parent factory.Parent) factory.Command {
	options := Options{Factory: f}
	clause := parent.Command("show", help)
	options.register(clause)

	return factory.Command{Clause: clause, Run: func(ctx context.Context) error { return Run(ctx, options) }}
}

func (o *Options) register(clause *kingpin.CmdClause) {
	clause.Flag("metrics", "Metrics address of the node, as IP:port.").Required().PlaceHolder("ADDRESS").StringVar(&o.Metrics)
	clause.Flag("timeout", "Longest time of the call.").Default(defaultTimeout.String()).DurationVar(&o.Timeout)
	clause.Flag("json", "Write JSON.").BoolVar(&o.JSON)
}

type counters struct {
	Duties *leader.Status `json:"duties"`
}

// Run prints a row for the duties and one for each service in each failure domain.
func Run(ctx context.Context, options Options) error {
	var found counters

	answer, err := options.Factory.AdminClient("http://"+options.Metrics, "", options.Timeout).R().
		SetContext(ctx).SetResult(&found).Get(gateway.MetricsPath)

	switch {
	case err != nil:
		return classifier.Wrap(err, classifier.PlatformUnavailable, "can't reach %s; is it the node's gateway.metrics_listen?", options.Metrics)
	case answer.StatusCode() != http.StatusOK:
		return classifier.New(classifier.PlatformUnavailable, "%s answered %d; is it the node's gateway.metrics_listen?", options.Metrics, answer.StatusCode())
	case found.Duties == nil:
		return classifier.New(classifier.InvalidUsage, "the node at %s has no duties; its settings lack gateway.duties.address", options.Metrics)
	}

	return printer.Write(options.Factory.Streams.Out, printer.Choose(options.JSON, options.Factory.IsTerminal()), table(found.Duties))
}

func table(s *leader.Status) printer.Table {
	rows := [][]string{
		{"holds", strconv.FormatBool(s.Holds)},
		{"number", strconv.FormatInt(s.Number, 10)},
		{"since", since(s.Since)},
		{"last window reported", strconv.FormatInt(s.Usage.LastReported, 10)},
		{"windows due, missed", fmt.Sprintf("%d, %d", s.Usage.PendingReports, s.Usage.MissedWindows)},
	}

	if s.Usage.WithheldWindows > 0 {
		rows = append(rows, []string{"windows withheld", strconv.FormatInt(s.Usage.WithheldWindows, 10)})
	}

	for _, p := range s.Pools {
		rows = append(rows, []string{
			p.Service + " in " + p.FailureDomain,
			fmt.Sprintf("%s of %s regular, %d of %d spot, %d leaving",
				strconv.Itoa(p.Regular), ordered(p.OrderedRegular), p.Spot, p.OrderedSpot, p.Draining),
		})
	}

	return printer.Table{Columns: []string{"property", "value"}, Rows: rows, Data: s}
}

func since(t time.Time) string {
	if t.IsZero() {
		return "never"
	}

	return t.UTC().Format(time.RFC3339)
}

// ordered is a number that is ordered; none is negative.
func ordered(count int) string {
	if count < 0 {
		return "any"
	}

	return strconv.Itoa(count)
}
