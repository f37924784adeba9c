// Package factory hands commands what they need from outside: streams,
// loggers, HTTP clients and the long-running parts. Tests put their own in.
package factory

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-resty/resty/v2"
	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"quincepath.example/quincepath/internal/loader"
)

// logQueue is the number of log lines that may wait for their reader.
const logQueue = 1000

// Streams are the input and outputs of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Parent is a kingpin application or command under which commands are registered.
type Parent interface {
	Command(name, help string) *kingpin.CmdClause
}

// Command is one registered command; Run is called when the command line names it.
type Command struct {
	Clause *kingpin.CmdClause
	Run    func(context.Context) error
}

// Factory builds the dependencies of commands.
type Factory struct {
	Streams Streams
	// Serve runs a node until ctx ends and its drain is over; nil when the program has no node.
	Serve func(ctx context.Context, settings loader.Settings, logger zerolog.Logger) error
}

// New returns a factory with the streams of the process.
func New() *Factory {
	return &Factory{Streams: Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}}
}

// IsTerminal says whether the output stream is a terminal.
func (f *Factory) IsTerminal() bool {
	file, ok := f.Streams.Out.(*os.File)
	return ok && isatty.IsTerminal(file.Fd())
}

// Logger returns a logger that writes one line for each event to the error stream.
// Level is a zerolog level name, "info" if it is none; format is "keyvalue" or "json".
func (f *Factory) Logger(level, format string) zerolog.Logger {
	least, err := zerolog.ParseLevel(level)
	if err != nil || least == zerolog.NoLevel {
		least = zerolog.InfoLevel
	}

	return zerolog.New(newLineWriter(f.Streams.Err, format)).Level(least).With().Timestamp().Logger()
}

// ServiceLogger returns a logger for a long-running service: one line for each event to the output
// stream. A reader that stalls costs lines, which are counted in a line of their own once it
// reads again, and never holds up a request. The returned function writes what waits.
func (f *Factory) ServiceLogger(level, format string) (zerolog.Logger, func()) {
	least, err := zerolog.ParseLevel(level)
	if err != nil || least == zerolog.NoLevel {
		least = zerolog.InfoLevel
	}

	lines := newLineWriter(f.Streams.Out, format)
	writer := diode.NewWriter(lines, logQueue, 0, func(missed int) {
		dropped := zerolog.New(lines).With().Timestamp().Logger()
		dropped.Warn().Int("lines", missed).Msg("log_lines_dropped")
	})

	return zerolog.New(writer).Level(least).With().Timestamp().Logger(), func() { _ = writer.Close() }
}

// DefaultLogger returns the logger of a command without a settings file: that of a
// node whose file says nothing of its log.
func (f *Factory) DefaultLogger() zerolog.Logger {
	log := loader.Defaults().Log

	return f.Logger(log.Level, log.Format)
}

// AdminClient returns a client for the admin server at base, such as
// "http://127.0.0.1:9000", that shows the operator's key. A call that takes
// longer than timeout fails; redirects are refused, so that the key stays with base.
func (f *Factory) AdminClient(base, key string, timeout time.Duration) *resty.Client {
	return resty.New().
		SetBaseURL(base).
		SetAuthToken(key).
		SetTimeout(timeout).
		SetDisableWarn(true).
		SetRedirectPolicy(resty.NoRedirectPolicy())
}
