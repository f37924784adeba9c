package control

import (
	"bytes"
	"context"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/gauger"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/pkg/classifier"
)

func newOptions(out *bytes.Buffer) Options {
	serve := func(context.Context, loader.Settings, zerolog.Logger) error { return nil }

	return Options{
		Factory: &factory.Factory{Streams: factory.Streams{Out: out, Err: &bytes.Buffer{}}, Serve: serve},
		Nodes:   "3, 9", Seconds: 10, Rate: 200, Changes: 3, Policy: string(loader.PolicyQueuePerRequest),
		Gauge: func(_ context.Context, o gauger.Options) ([]gauger.Figures, error) {
			return []gauger.Figures{{
				Nodes: o.Nodes, Policy: o.Policy, Phase: gauger.PhaseLoad, Seconds: o.Duration.Seconds(),
				Ends: map[string]int64{gauger.EndAnswered: 1990, "node_full": 10}, Changes: o.Changes,
				PeerBytes: 1000 + 10*float64(o.Nodes), PeerMessages: 12.34, BusiestPeerBytes: 3000, Links: 4,
				Methods:       map[string]gauger.Method{"slot.ask": {Bytes: 1000, Messages: 5}},
				PlatformCalls: map[string]float64{"/v3/kv/range": 2}, Cores: 0.021, MemoryBytes: 32e6,
			}}, nil
		},
	}
}

func TestOutputInEveryFormat(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"terminal": func(o *Options) { o.Terminal = true },
		"pipe":     func(*Options) {},
		"json":     func(o *Options) { o.JSON = true },
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer

			options := newOptions(&out)
			change(&options)
			assert.NilError(t, Run(t.Context(), options))
			golden.Assert(t, out.String(), name+".golden")
		})
	}
}

func TestFlagsOutOfRange(t *testing.T) {
	for want, change := range map[string]func(*Options){
		`--nodes has "101"; write numbers from 1 to 100, parted by commas`: func(o *Options) { o.Nodes = "3,101" },
		`--nodes has ""; write numbers from 1 to 100, parted by commas`:    func(o *Options) { o.Nodes = "" },
		"--seconds is 0; write a number from 1 to 60":                      func(o *Options) { o.Seconds = 0 },
		"--rate is -1; write a number from 0 to 2000":                      func(o *Options) { o.Rate = -1 },
		"--changes is 101; write a number from 0 to 100":                   func(o *Options) { o.Changes = 101 },
		"--limits is -2; write a number from 0 to 1000":                    func(o *Options) { o.Limits = -2 },
	} {
		options := newOptions(&bytes.Buffer{})
		change(&options)

		err := Run(t.Context(), options)
		assert.Equal(t, classifier.From(err).Code, classifier.InvalidUsage)
		assert.Equal(t, classifier.From(err).Reason, want)
	}
}

func TestDefaultsAreWithinRange(t *testing.T) {
	app := kingpin.New("quincepath", "")
	command := New(newOptions(&bytes.Buffer{}).Factory, app)

	_, err := app.Parse([]string{"control"})
	assert.NilError(t, err)
	assert.Equal(t, command.Clause.Model().FlagGroupModel.Flags[0].Default[0], "3,9,30,100")
}
