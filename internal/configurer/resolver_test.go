package configurer_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

// readTree reads branches from a file in which each begins with a line "== path".
func readTree(t testing.TB, name string) []configurer.Branch {
	t.Helper()

	data, err := os.ReadFile(name)
	assert.NilError(t, err)

	var branches []configurer.Branch

	for i, v := range strings.Split("\n"+string(data), "\n== ")[1:] {
		path, text, _ := strings.Cut(v, "\n")
		branches = append(branches, configurer.Branch{Path: path, Value: []byte(text + "\n"), Revision: int64(10 + i)})
	}

	return branches
}

func TestResolveInheritsAndOverrides(t *testing.T) {
	got, err := configurer.Resolve(readTree(t, "testdata/full.tree"))
	assert.NilError(t, err)
	assert.Equal(t, got.Revision, int64(13))
	assert.Equal(t, len(got.Services), 2)

	lookup := configurer.Class{
		Name: "lookup", Tier: 1, Target: 300 * time.Millisecond, GapLimit: 2 * time.Second,
		GuaranteedShare: 0.5, MaxWait: 5 * time.Second, Repeatable: true, Hedge: true,
	}
	owner := configurer.Organisation{Name: "owner", KeyHashes: []string{strings.Repeat("0", 62) + "bb"}, Weight: 1, Concurrency: 4}
	assert.DeepEqual(t, got.Services["assistente"], configurer.Service{
		Name: "assistente", Branch: "sicilia-est/assistente", Kind: configurer.KindEngine, DefaultClass: "chat",
		Classes: map[string]configurer.Class{
			"lookup": lookup,
			"chat":   {Name: "chat", Tier: 4, Target: 20 * time.Second, GapLimit: 10 * time.Second, MaxWait: time.Hour, OrganisationRequestsPerSecond: 0.5, OrganisationConcurrency: 4},
		},
		Organisations: map[string]configurer.Organisation{"owner": owner},
		Upstreams: map[string]configurer.Upstream{
			"e1": {Name: "e1", Address: "http://127.0.0.1:8001", FailureDomain: "catania-sala", Slots: 8},
		},
	})

	banco := got.Services["banco-prenotazioni"]
	assert.Equal(t, banco.Classes["chat"].Tier, 3)
	assert.Equal(t, len(banco.Organisations), 2)
	assert.Assert(t, banco.Upstreams["b1"].Leaving)
}

// Symptom: a node serves with settings that nobody meant, or two nodes read one tree differently.
// Sequence: an operator writes a wrong name, unit or value; the edit is accepted.
// Cause: a check that is missing, or that looks at one branch and not at the tree.
func TestResolveNamesEveryError(t *testing.T) {
	files, err := filepath.Glob("testdata/wrong/*.tree")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)

	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			got, err := configurer.Resolve(readTree(t, f))
			assert.Equal(t, classifier.From(err).Code, classifier.SettingsInvalid)
			assert.Equal(t, len(got.Services), 0)
			assert.Assert(t, !strings.Contains(err.Error(), "my key"), "a bearer key is shown")
			golden.Assert(t, classifier.From(err).Reason+"\n", strings.TrimSuffix(strings.TrimPrefix(f, "testdata/"), ".tree")+".golden")
		})
	}
}

func TestExplainNamesTheBranchOfEveryValue(t *testing.T) {
	fields, err := configurer.Explain(readTree(t, "testdata/full.tree"), "sicilia-est/assistente")
	assert.NilError(t, err)

	var lines strings.Builder
	for _, v := range fields {
		fmt.Fprintf(&lines, "%s = %s from /%s:%d level %q\n", v.Key, v.Value, v.Branch, v.Line, v.Level)
	}

	golden.Assert(t, lines.String(), "explain.golden")

	_, err = configurer.Explain(nil, "nowhere")
	assert.Equal(t, classifier.From(err).Code, classifier.UnknownBranch)
}

// Symptom: a node that has run for weeks resolves a tree otherwise than one just started, or a
// request in flight sees its settings change.
// Sequence: branches change, come and go; parts of the tree before are used again.
// Cause: a part that is kept although what it inherits has changed, or one that is written to again.
func TestResolverForgetsNothingAndKeepsNothingStale(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		texts := []string{
			"", "kind: engine\n", "service: named\n", "levels: {gold: {tier: 1, target: 1s, gap_limit: 1s, max_wait: 1s}}\n",
			"levels: {gold: {tier: 2, target: 2s, gap_limit: 1s, max_wait: 1s}}\nservice: other\n", "levels: {gold: null}\n", "upstreams: {}\n",
			"kind: plain\nclasses: {chat: {level: gold}}\ndefault_class: chat\nupstreams: {}\n", "classes: {chat: {tier: 3}}\n", "upstreams: {u: {slots: 1}}\n",
			"organisations: {o: {weight: 1, key_hashes: [H]}, p: {weight: 1}}\n", "organisations: {o: {weight: 2, key_hashes: [H]}, p: {weight: 1}}\n",
			"# moved\norganisations:\n  p: {weight: 3, key_hashes: [H]}\n", "organisations: {o: null, q: {concurrency: 1}}\n",
			"kind: engine\nupstreams: {u: {address: \"http://127.0.0.1:1\", failure_domain: d, slots: 1}, v: null}\n", "upstreams: {u: {slots: 2}}\n",
		}
		kept := configurer.NewResolver()
		tree := map[string]string{"": texts[3], "a": texts[7]}
		var before, wantBefore configurer.Snapshot

		for range rapid.IntRange(1, 20).Draw(rt, "edits") {
			path := rapid.SampledFrom([]string{"", "a", "a/b", "a/b/c", "d"}).Draw(rt, "path")
			tree[path] = strings.ReplaceAll(rapid.SampledFrom(texts).Draw(rt, "text"), "H", strings.Repeat("0a", 32))
			if rapid.IntRange(0, 2).Draw(rt, "more") == 0 {
				tree[path] += strings.Split(rapid.SampledFrom(texts).Draw(rt, "second"), "\n")[0] + "\n"
			}
			if rapid.IntRange(0, 4).Draw(rt, "delete") == 0 {
				delete(tree, path)
			}

			var branches []configurer.Branch
			for k, v := range tree {
				branches = append(branches, configurer.Branch{Path: k, Value: []byte(v)})
			}

			want, wantErr := configurer.Resolve(branches)
			got, err := kept.Resolve(branches)
			assert.DeepEqual(rt, got, want)
			assert.Equal(rt, fmt.Sprint(err), fmt.Sprint(wantErr))
			assert.DeepEqual(rt, before, wantBefore)
			before, wantBefore = got, want
		}
	})
}

// Symptom: each change of one branch costs a node as much time and memory as the whole tree.
// Sequence: one branch of a tree changes, or one organisation at the root; all else stays.
// Cause: parts that are the same are worked out again, so that snapshots share nothing.
func TestSnapshotsShareWhatDidNotChange(t *testing.T) {
	branches := readTree(t, "testdata/full.tree")
	r := configurer.NewResolver()
	before, err := r.Resolve(branches)
	assert.NilError(t, err)

	for i, v := range branches {
		branches[i].Value = append(bytes.Clone(v.Value), "# seen\n"...)
		after, err := r.Resolve(branches)
		assert.NilError(t, err)

		for name, v := range after.Services {
			assert.Equal(t, reflect.ValueOf(v.Upstreams).Pointer(), reflect.ValueOf(before.Services[name].Upstreams).Pointer())
			assert.Equal(t, reflect.ValueOf(v.Organisations).Pointer(), reflect.ValueOf(before.Services[name].Organisations).Pointer())
			assert.Equal(t, reflect.ValueOf(v.Classes).Pointer(), reflect.ValueOf(before.Services[name].Classes).Pointer())
		}
	}
}
