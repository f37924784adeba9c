package replay

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/schollz/progressbar/v3"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/replayer"
	"quincepath.example/quincepath/internal/reporter"
)

// Output says in which forms a report is written.
type Output struct {
	// JSON replaces the text tables.
	JSON bool
	// Plot is the path of an SVG file; empty means none.
	Plot string
}

// Register adds the flags to a command.
func (o *Output) Register(clause *kingpin.CmdClause) {
	clause.Flag("plot", "Write an SVG plot of the latencies to this file.").PlaceHolder("FILE").StringVar(&o.Plot)
	clause.Flag("json", "Print the report as JSON.").BoolVar(&o.JSON)
}

// Write writes the report to the output stream and the plot to its file.
func (o Output) Write(f *factory.Factory, report reporter.Report, result replayer.Result) error {
	if o.Plot != "" {
		if err := writePlot(o.Plot, result); err != nil {
			return err
		}
	}

	if o.JSON {
		return report.WriteJSON(f.Streams.Out)
	}

	return report.WriteText(f.Streams.Out)
}

func writePlot(path string, result replayer.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the plot")
	}

	err = reporter.WritePlot(file, result)

	return errors.CombineErrors(err, errors.Wrap(file.Close(), "close the plot"))
}

// Progress shows the ended requests on a terminal, and nothing elsewhere.
type Progress struct {
	bar *progressbar.ProgressBar
}

// NewProgress returns a bar for the given number of requests.
func NewProgress(f *factory.Factory, all int) *Progress {
	if !f.IsTerminal() {
		return &Progress{}
	}

	return &Progress{bar: progressbar.NewOptions(all,
		progressbar.OptionSetWriter(f.Streams.Err),
		progressbar.OptionSetDescription("requests ended"),
		progressbar.OptionShowCount(),
		progressbar.OptionClearOnFinish(),
	)}
}

// Show sets the number of ended requests. A terminal that can't be written to must not end the replay.
func (p *Progress) Show(ended, _ int) {
	if p.bar != nil {
		_ = p.bar.Set(ended)
	}
}

// End removes the bar.
func (p *Progress) End() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}
