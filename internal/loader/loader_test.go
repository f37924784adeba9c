package loader_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/loader"
	"quincepath.example/quincepath/pkg/classifier"
)

const minimal = `node:
  name: node-1
  region: sicilia
  failure_domain: vm-1
  listen: 127.0.0.1:8080
`

func TestParseFillsDefaults(t *testing.T) {
	got, err := loader.Parse("settings.yaml", []byte(minimal))
	assert.NilError(t, err)

	want := loader.Defaults()
	want.Node.Name = "node-1"
	want.Node.Region = "sicilia"
	want.Node.FailureDomain = "vm-1"
	want.Node.Listen = "127.0.0.1:8080"
	want.Node.Advertise = "127.0.0.1:8080"
	assert.DeepEqual(t, got, want)
}

func TestLoadKeepsDefaultsBesideGivenValues(t *testing.T) {
	got, err := loader.Parse("settings.yaml", []byte(minimal+"  max_in_flight: 7\nlog:\n  level: warn\n"))
	assert.NilError(t, err)
	assert.Equal(t, got.Node.MaxInFlight, 7)
	assert.Equal(t, got.Node.EntryLifetime, 10*time.Second)
	assert.Equal(t, got.Log.Format, "keyvalue")
}

// Symptom: no node of a fleet starts; each ends with an error about its settings.
// Sequence: the platform gives a bound for a part of a fleet, which need not be whole; each node reads it.
// Cause: the bound for extra attempts, and the VM's memory, were read as whole numbers.
func TestBoundsMayBeFractions(t *testing.T) {
	const gateway = `gateway:
  key_lifetime: 4999.5ms
  retry_ratio: 0.25
  retry_extra: 33.1578947368421
  retry_window: 9.5s
  cores: 0.192
  link_mbps: 12.5
  memory_mb: 111.6
`

	got, err := loader.Parse("settings.yaml", []byte(minimal+gateway))
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Gateway, loader.Gateway{
		KeyLifetime: 4999500 * time.Microsecond,
		RetryRatio:  0.25, RetryExtra: 33.1578947368421, RetryWindow: 9500 * time.Millisecond,
		Cores: 0.192, LinkMbps: 12.5, MemoryMB: 111.6,
		Duties: loader.Defaults().Gateway.Duties,
	})
}

func TestSnapshotHoldsEveryField(t *testing.T) {
	settings, err := loader.Load("testdata/full.yaml")
	assert.NilError(t, err)

	assert.DeepEqual(t, settings.Routing, loader.Routing{Policy: loader.PolicyQueueSteered, Oversubscribe: 2})

	got := settings.Snapshot()
	assert.Equal(t, got.Revision, int64(0))
	assert.DeepEqual(t, got.Services["assistente"], configurer.Service{
		Name: "assistente", Branch: "sicilia-est/assistente", Kind: configurer.KindEngine, DefaultClass: "interactive",
		Classes: map[string]configurer.Class{"interactive": {
			Name: "interactive", Tier: 1, Target: 300 * time.Millisecond, TokenGap: 50 * time.Millisecond,
			GapLimit: 2 * time.Second, GuaranteedShare: 0.4, MaxWait: 5 * time.Second,
			Repeatable: true, Hedge: true, RetryBudget: 0.1,
			OrganisationRequestsPerSecond: 5, OrganisationConcurrency: 8, OrganisationTokensPerSecond: 250.5,
		}},
		Organisations: map[string]configurer.Organisation{"comune": {
			Name: "comune", KeyHashes: []string{strings.Repeat("0", 61) + "def"}, Weight: 2,
			RequestsPerSecond: 10, Concurrency: 4, TokensPerSecond: 500.5,
		}},
		Upstreams: map[string]configurer.Upstream{"e1": {
			Name: "e1", Address: "http://127.0.0.1:8001", FailureDomain: "vm-1", ChecksFencing: true, Slots: 4,
		}},
	})
}

// Symptom: a wrong settings file starts a node with settings that nobody meant.
// Sequence: an operator mistypes a key or leaves a unit out; the node starts.
// Cause: a lenient reader drops or guesses what it doesn't understand.
func TestParseNamesEveryError(t *testing.T) {
	files, err := filepath.Glob("testdata/wrong/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)

	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			data, err := os.ReadFile(f)
			assert.NilError(t, err)

			settings, err := loader.Parse("settings.yaml", data)
			assert.Assert(t, err != nil)
			assert.Equal(t, classifier.From(err).Code, classifier.SettingsInvalid)
			assert.Assert(t, reflect.DeepEqual(settings, loader.Settings{}), "settings were half applied")
			assert.Assert(t, !strings.Contains(err.Error(), "hush"), "a secret is shown")

			relative := strings.TrimPrefix(f, "testdata/")
			golden.Assert(t, classifier.From(err).Reason+"\n", strings.TrimSuffix(relative, ".yaml")+".golden")
		})
	}
}

func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*/*.yaml")
	assert.NilError(f, err)

	for _, v := range append(files, "testdata/full.yaml") {
		data, err := os.ReadFile(v)
		assert.NilError(f, err)
		f.Add(data)
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := loader.Parse("settings.yaml", data)
		if err != nil {
			assert.Equal(t, classifier.From(err).Code, classifier.SettingsInvalid)
			assert.Assert(t, reflect.DeepEqual(settings, loader.Settings{}), "settings were half applied")

			return
		}

		assert.Assert(t, settings.Node.Name != "" && settings.Node.MaxInFlight > 0)
		assert.Equal(t, len(settings.Snapshot().Services), len(settings.Services))
	})
}
