package root_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/command/root"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/pkg/classifier"
)

const full = "../../loader/testdata/full.yaml"

func newFactory() (*factory.Factory, *bytes.Buffer, *bytes.Buffer) {
	var output, failures bytes.Buffer

	return &factory.Factory{Streams: factory.Streams{In: strings.NewReader(""), Out: &output, Err: &failures}}, &output, &failures
}

func TestMainReturnsTheCodeAndOneSentence(t *testing.T) {
	tests := []struct {
		name   string
		args   []string
		code   classifier.Code
		output string
		errors string
	}{
		{"valid file", []string{"settings", "check", "--settings", full}, classifier.OK, full + " is valid: node node-1 with 1 services and 1 peers.\n", ""},
		{"no file", []string{"settings", "check", "--settings", "none.yaml"}, classifier.SettingsInvalid, "", "quincepath: can't read the settings file none.yaml: stat none.yaml: no such file or directory\n"},
		{"no flag", []string{"serve"}, classifier.InvalidUsage, "", "quincepath: required flag(s) '--settings' not provided; see quincepath --help\n"},
		{"unknown verb", []string{"swim"}, classifier.InvalidUsage, "", "quincepath: expected command but got \"swim\"; see quincepath --help\n"},
		{"no verb", nil, classifier.InvalidUsage, "", "quincepath: a command is needed; see quincepath --help\n"},
		{"no node", []string{"serve", "--settings", full}, classifier.InternalError, "", "quincepath: this program holds no node\n"},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, output, failures := newFactory()

			assert.Equal(t, root.Quincepath(f).Main(tt.args), int(tt.code))
			assert.Equal(t, output.String(), tt.output)
			assert.Equal(t, failures.String(), tt.errors)
		})
	}
}

func TestHelpPrintsOnceAndSucceeds(t *testing.T) {
	for _, v := range [][]string{{"--help"}, {"serve", "--help"}} {
		f, output, failures := newFactory()

		assert.Equal(t, root.Quincepath(f).Main(v), 0)
		assert.Equal(t, strings.Count(output.String(), "usage: quincepath"), 1, v)
		assert.Equal(t, failures.String(), "")
	}
}

func TestServeGetsSettingsAndLogger(t *testing.T) {
	f, _, failures := newFactory()
	f.Serve = logNode

	assert.Equal(t, root.Quincepath(f).Main([]string{"serve", "--settings", withoutGateway(t)}), 0)
	assert.Assert(t, strings.HasSuffix(failures.String(), `"level":"debug","event":"node_started","node":"node-1"}`+"\n"), failures.String())
}

// A gateway's log goes to the output stream, from where the platform takes it.
func TestGatewayLogsToOutput(t *testing.T) {
	f, output, failures := newFactory()
	f.Serve = logNode

	assert.Equal(t, root.Quincepath(f).Main([]string{"serve", "--settings", full}), 0)
	assert.Assert(t, strings.HasSuffix(output.String(), `"level":"debug","event":"node_started","node":"node-1"}`+"\n"), output.String())
	assert.Equal(t, failures.String(), "")
}

func logNode(_ context.Context, settings loader.Settings, logger zerolog.Logger) error {
	logger.Debug().Str("node", settings.Node.Name).Msg("node_started")

	return nil
}

// withoutGateway writes the full settings without their last part and returns the path.
func withoutGateway(t *testing.T) string {
	t.Helper()

	data, err := os.ReadFile(full)
	assert.NilError(t, err)

	own, _, found := strings.Cut(string(data), "\ngateway:\n")
	assert.Assert(t, found)

	path := filepath.Join(t.TempDir(), "node.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(own+"\n"), 0o600))

	return path
}

// Symptom: a node that stopped as asked is shown as failed by its supervisor.
// Sequence: SIGTERM arrives; the node's context ends; it returns the context's error.
// Cause: the error of a context that a signal ended looks like any other.
func TestSignalEndsServeWithSuccess(t *testing.T) {
	f, _, failures := newFactory()
	f.Serve = func(ctx context.Context, _ loader.Settings, _ zerolog.Logger) error {
		process, err := os.FindProcess(os.Getpid())
		assert.NilError(t, err)
		assert.NilError(t, process.Signal(os.Interrupt))
		<-ctx.Done()

		return ctx.Err()
	}

	assert.Equal(t, root.Quincepath(f).Main([]string{"serve", "--settings", full}), 0)
	assert.Equal(t, failures.String(), "")
}
