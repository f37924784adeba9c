package replay_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/command/replay"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/replayer"
	"quincepath.example/quincepath/pkg/classifier"
)

func TestFaultsBeforeTheFirstRequest(t *testing.T) {
	folder := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(folder, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))

		return path
	}

	unsorted := file("t.jsonl", `{"at_ms":2,"service":"s","class":"c","organisation":"o","path":"/p"}
{"at_ms":1,"service":"s","class":"c","organisation":"o","path":"/p"}
`)
	empty := file("empty.jsonl", "")
	wrong := file("e.yaml", "classes:\n  a/b: {min_finished: 2}\n")

	for _, tt := range []struct {
		name    string
		options replay.Options
		code    classifier.Code
		reason  string
	}{
		{"no trace", replay.Options{}, classifier.InvalidUsage, "name one of --trace and --story"},
		{"two traces", replay.Options{Trace: unsorted, Story: "mix"}, classifier.InvalidUsage, "name one of --trace and --story"},
		{"no such file", replay.Options{Trace: folder + "/none"}, classifier.InvalidUsage, "can't read the trace: open " + folder + "/none: no such file or directory"},
		{"unsorted", replay.Options{Trace: unsorted}, classifier.InvalidUsage, unsorted + ":2: at_ms is 1 after 2; sort the events by at_ms"},
		{"empty", replay.Options{Trace: empty}, classifier.InvalidUsage, "the trace has no events"},
		{"no key", replay.Options{Story: "hung_lookup"}, classifier.InvalidUsage, "no key is given for the organisations [salone-acireale salone-catania salone-siracusa] of the trace"},
		{"wrong expectation", replay.Options{Story: "mix", Expect: wrong}, classifier.SettingsInvalid, wrong + `:2: classes.a/b.min_finished is "2"; write a share from 0 to 1`},
		{"wrong authority", replay.Options{Story: "mix", CA: empty}, classifier.InvalidUsage, empty + " holds no certificate in PEM"},
		{"no node", replay.Options{
			Story:  "hung_lookup",
			Player: replayer.Options{Entries: []string{"127.0.0.1:1"}, Keys: map[string]string{"salone-siracusa": "k", "salone-catania": "k", "salone-acireale": "k"}},
		}, classifier.NodeUnreachable, "none of the entries answers GET /v1/entries"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var output bytes.Buffer

			tt.options.Factory = &factory.Factory{Streams: factory.Streams{Out: &output, Err: &output}}
			failure := classifier.From(replay.Run(context.Background(), tt.options))

			assert.Equal(t, failure.Code, tt.code)
			assert.Equal(t, failure.Reason, tt.reason)
			assert.Equal(t, output.String(), "")
		})
	}
}
