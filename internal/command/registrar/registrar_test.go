package registrar_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/command/registrar"
	remove "quincepath.example/quincepath/internal/command/tree/delete"
	"quincepath.example/quincepath/internal/command/tree/edit"
	"quincepath.example/quincepath/internal/command/tree/set"
	"quincepath.example/quincepath/internal/command/tree/undo"
	"quincepath.example/quincepath/internal/command/upstream/leave"
	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/factory"
	"quincepath.example/quincepath/internal/operator"
	entries "quincepath.example/quincepath/internal/query/entry/list"
	"quincepath.example/quincepath/internal/query/node/status"
	"quincepath.example/quincepath/internal/query/request/show"
	"quincepath.example/quincepath/internal/query/tree/diff"
	"quincepath.example/quincepath/internal/query/tree/get"
	"quincepath.example/quincepath/internal/query/tree/history"
	upstreams "quincepath.example/quincepath/internal/query/upstream/list"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/pkg/classifier"
)

const key = "operator key"

// fileText is what the input stream holds.
const fileText = "kind: engine\nclasses:\n  booking:\n    tier: 2\n"

func serve(t *testing.T, n *node) *httptest.Server {
	t.Helper()

	return serveTree(t, n, n)
}

func serveTree(t *testing.T, n *node, tree administrator.Tree) *httptest.Server {
	t.Helper()

	sum := sha256.Sum256([]byte(key))
	admin, err := administrator.New(administrator.Options{
		KeyHashes: []string{hex.EncodeToString(sum[:])}, Status: n, Tree: tree, Requests: n,
		Variables: http.NotFoundHandler(), Logger: zerolog.Nop(),
	})
	assert.NilError(t, err)

	server := httptest.NewServer(admin.Handler())
	t.Cleanup(server.Close)

	return server
}

// serveEntries stands for the callers' side of a node.
func serveEntries(t *testing.T) string {
	t.Helper()

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"entries":[{"address":"192.0.2.11:8080","node":"node-1","failure_domain":"catania-sala"}],"keep_seconds":10}`)
	}))
	t.Cleanup(server.Close)

	return server.Listener.Addr().String()
}

// verbs runs each verb with fixed inputs; flags say where and in what format.
func verbs(entryAddress string) map[string]func(context.Context, operator.Flags) error {
	change := operator.ChangeFlags{Author: "lia", ChangeID: "c3"}

	return map[string]func(context.Context, operator.Flags) error{
		"tree_list": func(ctx context.Context, f operator.Flags) error {
			return get.Run(ctx, get.Options{Flags: f})
		},
		"tree_get": func(ctx context.Context, f operator.Flags) error {
			return get.Run(ctx, get.Options{Flags: f, Branch: service})
		},
		"tree_explain": func(ctx context.Context, f operator.Flags) error {
			return get.Run(ctx, get.Options{Flags: f, Branch: service, Explain: true})
		},
		"tree_diff": func(ctx context.Context, f operator.Flags) error {
			return diff.Run(ctx, diff.Options{Flags: f, Branch: service, File: "-"})
		},
		"tree_history": func(ctx context.Context, f operator.Flags) error {
			return history.Run(ctx, history.Options{Flags: f, Limit: 20})
		},
		"tree_set": func(ctx context.Context, f operator.Flags) error {
			return set.Run(ctx, set.Options{Flags: f, ChangeFlags: change, Branch: service, Pairs: []string{"classes.booking.tier=2"}})
		},
		"tree_edit": func(ctx context.Context, f operator.Flags) error {
			return edit.Run(ctx, edit.Options{Flags: f, ChangeFlags: change, Branch: service, File: "-", Base: 41})
		},
		"tree_undo": func(ctx context.Context, f operator.Flags) error {
			if err := set.Run(ctx, set.Options{Flags: f, ChangeFlags: change, Branch: service, Pairs: []string{"kind=plain"}}); err != nil {
				return err
			}

			return undo.Run(ctx, undo.Options{Flags: f, ChangeFlags: operator.ChangeFlags{Author: "lia", ChangeID: "c4"}, Undone: "c3"})
		},
		"tree_delete": func(ctx context.Context, f operator.Flags) error {
			return remove.Run(ctx, remove.Options{Flags: f, ChangeFlags: change, Branch: service, Base: 41})
		},
		"node_status": func(ctx context.Context, f operator.Flags) error {
			return status.Run(ctx, status.Options{Flags: f})
		},
		"upstream_list": func(ctx context.Context, f operator.Flags) error {
			return upstreams.Run(ctx, upstreams.Options{Flags: f})
		},
		"upstream_list_none": func(ctx context.Context, f operator.Flags) error {
			return upstreams.Run(ctx, upstreams.Options{Flags: f, Service: "none"})
		},
		"upstream_leave": func(ctx context.Context, f operator.Flags) error {
			return leave.Run(ctx, leave.Options{Flags: f, ChangeFlags: change, Service: "assistente", Upstream: "engine-03"})
		},
		"entry_list": func(ctx context.Context, f operator.Flags) error {
			return entries.Run(ctx, entries.Options{Factory: f.Factory, Nodes: []string{entryAddress}, Key: "key", JSON: f.JSON, Terminal: f.Terminal})
		},
		"request_show": func(ctx context.Context, f operator.Flags) error {
			return show.Run(ctx, show.Options{Flags: f, ID: "node-1.5f0c8f8e.42"})
		},
	}
}

func TestOutputInEveryFormat(t *testing.T) {
	formats := map[string]operator.Flags{"terminal": {Terminal: true}, "pipe": {}, "json": {JSON: true, Terminal: true}}

	for verb, run := range verbs(serveEntries(t)) {
		for format, flags := range formats {
			t.Run(verb+"/"+format, func(t *testing.T) {
				var output, failures bytes.Buffer

				flags.Factory = &factory.Factory{Streams: factory.Streams{In: strings.NewReader(fileText), Out: &output, Err: &failures}}
				flags.Node = serve(t, newNode()).Listener.Addr().String()
				flags.Key = key
				flags.Timeout = 10 * time.Second

				assert.NilError(t, run(t.Context(), flags))
				golden.Assert(t, output.String()+failures.String(), verb+"."+format+".golden")
			})
		}
	}
}

// command runs one command line against a server.
func command(t *testing.T, base, input string, args ...string) error {
	t.Helper()

	var output bytes.Buffer

	f := &factory.Factory{Streams: factory.Streams{In: strings.NewReader(input), Out: &output, Err: &output}}
	app := kingpin.New("quincepath", "")
	commands := registrar.Register(f, app)

	name, err := app.Parse(append(args, "--node", base, "--key", key))
	assert.NilError(t, err)

	for _, v := range commands {
		if v.Clause.FullCommand() == name {
			return v.Run(t.Context())
		}
	}

	t.Fatalf("%s has no command", name)

	return nil
}

// TestFailures holds each failure's number and sentence.
func TestFailures(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()

	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()

	base := serve(t, newNode()).URL

	tests := []struct {
		name, base, input string
		args              []string
		code              classifier.Code
		want              string
	}{
		{"no such branch", base, "", []string{"tree", "get", "none"}, classifier.UnknownBranch, "there is no branch"},
		{"no base", base, fileText, []string{"tree", "edit", service, "--file", "-", "--author", "lia"}, classifier.InvalidUsage, "give --base REVISION"},
		{"old base", base, fileText, []string{"tree", "edit", service, "--file", "-", "--base", "40", "--author", "lia"}, classifier.EditConflict, "changed since:\n-4: tier: 1"},
		{"delete with an old base", base, "", []string{"tree", "delete", service, "--base", "40", "--author", "lia"}, classifier.EditConflict, "changed since:\n-4: tier: 1"},
		{"delete at a node that is gone", gone.URL, "", []string{"tree", "delete", service, "--base", "41", "--author", "lia"}, classifier.NodeUnreachable, "name another by --node"},
		{"nothing to edit", base, "", []string{"tree", "edit", service, "--author", "lia"}, classifier.InvalidUsage, "give either --file"},
		{"no pair", base, "", []string{"tree", "set", service, "tier", "--author", "lia"}, classifier.InvalidUsage, `"tier" is no change`},
		{"wrong path", base, "", []string{"tree", "set", service, "a..b=1", "--author", "lia"}, classifier.InvalidUsage, "is no path"},
		{"unset nothing", base, "", []string{"tree", "edit", service, "--unset", "classes.none", "--author", "lia"}, classifier.InvalidUsage, "there is no such key"},
		{"diff of nothing", base, "", []string{"tree", "diff", service}, classifier.InvalidUsage, "--change ID alone"},
		{"unknown upstream", base, "", []string{"upstream", "leave", "assistente", "none", "--author", "lia"}, classifier.InvalidRequest, `no upstream "none"`},
		{"unknown request", base, "", []string{"request", "show", "none"}, classifier.UnknownRequest, "no node holds"},
		{"node gone", gone.URL, "", []string{"node", "status"}, classifier.NodeUnreachable, "name another by --node"},
		{"edit at a node that is gone", gone.URL, "", []string{"tree", "undo", "c1", "--author", "lia"}, classifier.NodeUnreachable, "name another by --node"},
		{"no node", other.URL, "", []string{"node", "status"}, classifier.InternalError, "not that of a node's admin address"},
		{"wrong scheme", "ftp://127.0.0.1", "", []string{"node", "status"}, classifier.InvalidUsage, "write IP:port or a URL"},
		{"no such file", base, "", []string{"tree", "diff", service, "--file", "none.yaml"}, classifier.InvalidUsage, "can't read none.yaml"},
		{"too large", base, strings.Repeat("a", 1<<20+1), []string{"tree", "diff", service, "--file", "-"}, classifier.BodyTooLarge, "a branch holds no more"},
		{"empty", base, "\n", []string{"tree", "edit", service, "--file", "-", "--base", "41", "--author", "lia"}, classifier.InvalidUsage, "- is empty; write {}"},
		{"no authority", base, "", []string{"node", "status", "--ca", "none.pem"}, classifier.InvalidUsage, "none.pem"},
		{"entries of no node", strings.TrimPrefix(gone.URL, "http://"), "", []string{"entry", "list"}, classifier.NodeUnreachable, "check the addresses and the key"},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := command(t, tt.base, tt.input, tt.args...)
			numbered := classifier.From(err)
			assert.Assert(t, numbered != nil)
			assert.Equal(t, numbered.Code, tt.code, "%v", err)
			assert.Assert(t, strings.Contains(numbered.Reason, tt.want), numbered.Reason)
		})
	}
}

func TestWrongKeyIsRefused(t *testing.T) {
	flags := operator.Flags{Factory: &factory.Factory{}, Node: serve(t, newNode()).URL, Key: "wrong", Timeout: 10 * time.Second}
	err := status.Run(t.Context(), status.Options{Flags: flags})
	assert.Equal(t, classifier.From(err).Code, classifier.Unauthenticated)
}

// Symptom: an operator sees an error, edits again and meets a conflict with the own first edit.
// Sequence: the edit is written; the store's reply is lost; the node answers that it doesn't know.
// Cause: the outcome of the first edit was never looked up.
func TestLostReplyIsLookedUp(t *testing.T) {
	unknown := classifier.New(classifier.EditUnknown, "no reply")

	applied := newNode()
	applied.err, applied.lost = unknown, true
	err := command(t, serve(t, applied).URL, "", "tree", "set", service, "kind=plain", "--author", "lia", "--change-id", "c9")
	assert.NilError(t, err)
	assert.Equal(t, applied.changes[0].ID, "c9")
	assert.Equal(t, len(applied.changes), 1)

	deleted := newNode()
	deleted.err, deleted.lost = unknown, true
	err = command(t, serve(t, deleted).URL, "", "tree", "delete", service, "--base", "41", "--author", "lia", "--change-id", "c9")
	assert.NilError(t, err)
	assert.Equal(t, len(deleted.changes), 1)

	never := newNode()
	never.err = unknown
	err = command(t, serve(t, never).URL, "", "tree", "set", service, "kind=plain", "--author", "lia", "--change-id", "c9")
	assert.Equal(t, classifier.From(err).Code, classifier.PlatformUnavailable)
	assert.Assert(t, strings.Contains(err.Error(), "was not applied, and will not be"), err.Error())

	never.unsettled = true
	err = command(t, serve(t, never).URL, "", "tree", "set", service, "kind=plain", "--author", "lia", "--change-id", "c9")
	assert.Equal(t, classifier.From(err).Code, classifier.EditUnknown)
	assert.Assert(t, strings.Contains(err.Error(), "run the same command again with --change-id c9"), err.Error())
}

func TestDeletedBranchComesBackByUndo(t *testing.T) {
	n := newNode()
	editor := configurer.NewEditor(keeper.NewLocal(keeper.NewStore(keeper.StoreOptions{}), nil), configurer.EditorOptions{})
	base := serveTree(t, n, administrator.NewStoredTree(editor, n)).URL

	made, err := editor.Edit(t.Context(), configurer.Edit{Branch: "a", Value: []byte("kind: plain\n"), ChangeID: "c1", Author: "lia"})
	assert.NilError(t, err)

	remove := []string{"tree", "delete", "a", "--base", strconv.FormatInt(made.Revision, 10), "--author", "lia", "--change-id", "c2"}
	assert.NilError(t, command(t, base, "", remove...))

	// The same change again, as after an unknown outcome, gets the same answer.
	assert.NilError(t, command(t, base, "", remove...))

	err = command(t, base, "", "tree", "get", "a")
	assert.Equal(t, classifier.From(err).Code, classifier.UnknownBranch)

	assert.NilError(t, command(t, base, "", "tree", "undo", "c2", "--author", "lia"))

	tree, err := editor.Tree(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(tree.Branches[0].Value), "kind: plain\n")
}

// Symptom: an operator copies "bench policy --json" from the help and is told that there is no such flag.
// Sequence: the example is written; the flag is left out or renamed; the help stays.
// Cause: the help is free text that nothing compared with the flags.
func TestHelpHasExamplesThatParse(t *testing.T) {
	for _, v := range registrar.Register(&factory.Factory{}, kingpin.New("quincepath", "")) {
		name := v.Clause.FullCommand()
		_, examples, ok := strings.Cut(v.Clause.Model().Help, "Example")
		assert.Assert(t, ok, name)

		for line := range strings.Lines(examples) {
			line, _, _ = strings.Cut(line, " > ")

			words := strings.Fields(line)
			if len(words) == 0 || words[0] != "quincepath" {
				continue
			}

			app := kingpin.New("quincepath", "")
			registrar.Register(&factory.Factory{}, app)

			_, err := app.Parse(words[1:])
			assert.NilError(t, err, line)
		}
	}
}
