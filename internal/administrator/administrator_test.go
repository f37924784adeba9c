package administrator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

const operatorKey = "operator key"

// fakes holds one branch at revision 7 and remembers what was asked.
type fakes struct {
	edits []administrator.Edit
	undos []administrator.Undo
	err   error
}

func (f *fakes) Snapshot() configurer.Snapshot {
	upstreams := map[string]configurer.Upstream{"e1": {Name: "e1"}}
	service := configurer.Service{Name: "assistente", Branch: "sicilia-est/assistente", Upstreams: upstreams}

	return configurer.Snapshot{Services: map[string]configurer.Service{"assistente": service}}
}

func (f *fakes) Branches(context.Context) ([]administrator.Branch, error) {
	return []administrator.Branch{{Path: "sicilia-est", Revision: 3}}, f.err
}

func (f *fakes) Branch(_ context.Context, path string, explain bool) (administrator.Branch, error) {
	if path != "sicilia-est/assistente" {
		return administrator.Branch{}, classifier.New(classifier.UnknownBranch, "there is no branch %q", path)
	}

	branch := administrator.Branch{Path: path, Revision: 7, Content: "kind: engine # ours\n"}
	if explain {
		branch.Origins = []administrator.Origin{{Key: "kind", Value: "engine", Branch: path}}
	}

	return branch, nil
}

func (f *fakes) Apply(_ context.Context, edit administrator.Edit) (administrator.Change, error) {
	f.edits = append(f.edits, edit)
	return administrator.Change{ID: edit.ChangeID, State: administrator.StateApplied, Revision: 8, Path: edit.Path, Author: edit.Author}, f.err
}

func (f *fakes) Undo(_ context.Context, undo administrator.Undo) (administrator.Change, error) {
	f.undos = append(f.undos, undo)
	return administrator.Change{ID: undo.ChangeID, State: administrator.StateApplied, Revision: 9}, f.err
}

func (f *fakes) History(_ context.Context, path string, limit int) ([]administrator.Change, error) {
	return []administrator.Change{{ID: fmt.Sprintf("limit %d", limit), Path: path}}, nil
}

func (f *fakes) Change(_ context.Context, id string) (administrator.Change, error) {
	return administrator.Change{ID: id, State: administrator.StateUnknown}, nil
}

func (f *fakes) Settle(_ context.Context, id, author string) (administrator.Change, error) {
	return administrator.Change{ID: id, Author: author, State: administrator.StateNotApplied}, nil
}

func (f *fakes) NodeStatus() administrator.NodeStatus {
	return administrator.NodeStatus{Node: "node-1", Revision: 7, InFlight: 2, MaxInFlight: 100}
}

func (f *fakes) UpstreamStatuses() []administrator.UpstreamStatus {
	return []administrator.UpstreamStatus{{Service: "assistente", Upstream: "e1", State: "serving", ReportAge: 0.5}}
}

func (f *fakes) Request(_ context.Context, id string) (administrator.RequestStatus, error) {
	if id != "r1" {
		return administrator.RequestStatus{}, classifier.New(classifier.UnknownRequest, "no node holds the request %q", id)
	}

	return administrator.RequestStatus{RequestID: id, State: "running"}, nil
}

func newServer(t *testing.T, f *fakes) *administrator.Server {
	t.Helper()

	return newServerOver(t, f, f)
}

func newServerOver(t *testing.T, f *fakes, tree administrator.Tree) *administrator.Server {
	t.Helper()

	sum := sha256.Sum256([]byte(operatorKey))
	variables := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, `{"quincepath":{}}`) })

	server, err := administrator.New(administrator.Options{
		KeyHashes: []string{strings.Repeat("0", 64), hex.EncodeToString(sum[:])},
		Status:    f, Tree: tree, Requests: f,
		Variables: variables,
		Logger:    zerolog.Nop(),
	})
	assert.NilError(t, err)

	return server
}

func ask(handler http.Handler, key, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}

	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)

	return w
}

// TestAnswers holds status and body of every route, and of wrong calls, in one golden file.
func TestAnswers(t *testing.T) {
	const branch = "/v1/tree/branches/sicilia-est/assistente"

	calls := []struct{ method, path, body string }{
		{"GET", "/v1/node/status", ""},
		{"GET", "/v1/node/upstreams", ""},
		{"GET", "/v1/tree/branches", ""},
		{"GET", branch, ""},
		{"GET", branch + "?explain=true", ""},
		{"GET", branch + "?explain=perhaps", ""},
		{"GET", "/v1/tree/branches/none", ""},
		{"PUT", branch, `{"base_revision":7,"change_id":"c1","author":"lia","content":"kind: plain\n"}`},
		{"PUT", branch, `{"change_id":"c1","author":"lia","content":""}`},
		{"PUT", branch, `{"base_revision":7,"author":"lia","content":""}`},
		{"PUT", branch, `{"base_revision":7,"change_id":"c1","content":""}`},
		{"PUT", branch, `{"base_revision":-1,"change_id":"c1","author":"lia","content":""}`},
		{"PUT", branch, `{"base":7}`},
		{"PUT", branch, `{} {}`},
		{"PUT", branch, `{"content":"` + strings.Repeat("a", 3<<20) + `"}`},
		{"DELETE", branch + "?base_revision=7&change_id=c2&author=lia", ""},
		{"DELETE", branch, ""},
		{"GET", "/v1/tree/history?path=sicilia-est&limit=2", ""},
		{"GET", "/v1/tree/history?limit=0", ""},
		{"POST", "/v1/tree/undo", `{"undone_change_id":"c1","change_id":"c3","author":"lia"}`},
		{"POST", "/v1/tree/undo", `{"change_id":"c3","author":"lia"}`},
		{"GET", "/v1/tree/changes/c9", ""},
		{"POST", "/v1/tree/changes/c9/settle", `{"author":"lia"}`},
		{"POST", "/v1/tree/changes/c9/settle", `{}`},
		{"POST", "/v1/upstreams/assistente/e1/leave", `{"change_id":"c4","author":"lia"}`},
		{"POST", "/v1/upstreams/assistente/e2/leave", `{"change_id":"c4","author":"lia"}`},
		{"POST", "/v1/upstreams/banco/e1/leave", `{"change_id":"c4","author":"lia"}`},
		{"GET", "/v1/requests/r1", ""},
		{"GET", "/v1/requests/r2", ""},
		{"GET", "/debug/vars", ""},
		{"GET", "/v2/node", ""},
	}

	var shown strings.Builder

	f := &fakes{}
	handler := newServer(t, f).Handler()

	for _, v := range calls {
		w := ask(handler, operatorKey, v.method, v.path, v.body)
		fmt.Fprintf(&shown, "%s %s %.80s\n%d %s", v.method, v.path, v.body, w.Code, w.Body)
	}

	for _, v := range f.edits {
		fmt.Fprintf(&shown, "edit %+v\n", v)
	}

	fmt.Fprintf(&shown, "undo %+v\n", f.undos)
	golden.Assert(t, shown.String(), "answers.golden")
}

// Symptom: an operator can't tell a failed edit from a lost one.
// Sequence: the tree refuses an edit, can't tell, or has no platform.
// Cause: all three must reach the operator as different results.
func TestRefusedEdits(t *testing.T) {
	tests := []struct {
		err    error
		status int
		want   []string
	}{
		{classifier.New(classifier.EditConflict, "the branch is at revision 8"), 409, []string{`"result_code":71`, `"ran":"not_run"`, "revision 8"}},
		{classifier.New(classifier.EditUnknown, "ask again"), 504, []string{`"result_code":72`, `"ran":"unknown"`}},
		{classifier.New(classifier.PlatformUnavailable, "down").After(1500 * time.Millisecond), 503, []string{`"result_code":74`, `"retry_after_seconds":1.5`}},
	}

	for _, tt := range tests {
		w := ask(newServer(t, &fakes{err: tt.err}).Handler(), operatorKey, "PUT", "/v1/tree/branches/a", `{"base_revision":7,"change_id":"c1","author":"lia","content":""}`)
		assert.Equal(t, w.Code, tt.status)

		for _, v := range tt.want {
			assert.Assert(t, strings.Contains(w.Body.String(), v), w.Body.String())
		}

		if tt.status == 503 {
			assert.Equal(t, w.Header().Get("Retry-After"), "2")
		}
	}
}

func TestEveryRouteButHealthNeedsAKey(t *testing.T) {
	f := &fakes{}
	handler := newServer(t, f).Handler()

	for _, path := range []string{"/v1/node/status", "/v1/tree/branches", "/debug/vars", "/debug/pprof/", "/"} {
		for _, key := range []string{"", "wrong", operatorKey + " "} {
			w := ask(handler, key, "GET", path, "")
			assert.Equal(t, w.Code, http.StatusUnauthorized, path)
			assert.Assert(t, !strings.Contains(w.Body.String(), "node-1"))
		}
	}

	w := ask(handler, "", "PUT", "/v1/tree/branches/a", `{"base_revision":7,"change_id":"c1","author":"lia","content":""}`)
	assert.Equal(t, w.Code, http.StatusUnauthorized)
	assert.Equal(t, len(f.edits), 0)

	w = ask(handler, "", "GET", "/healthz", "")
	assert.Equal(t, w.Body.String(), "{\"status\":\"ok\"}\n")

	_, err := administrator.New(administrator.Options{KeyHashes: []string{operatorKey}})
	assert.Error(t, err, "operator key hash 1 is no SHA-256 sum")
}

func TestRunEndsWithItsContext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)

	go func() { ended <- newServer(t, &fakes{}).Run(ctx, listener) }()

	response, err := http.Get("http://" + listener.Addr().String() + "/healthz")
	assert.NilError(t, err)

	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, string(body), "{\"status\":\"ok\"}\n")
	cancel()
	assert.NilError(t, <-ended)
}

// FuzzBodies looks for bodies that are answered by anything but JSON with a result code, or that edit unasked.
func FuzzBodies(f *testing.F) {
	for _, v := range []string{`{"base_revision":7,"change_id":"c1","author":"lia","content":"a: 1"}`, `{}`, `[]`, `{"base_revision":1e99}`, `null`, "\x00"} {
		f.Add(v)
	}

	f.Fuzz(func(t *testing.T, body string) {
		fake := &fakes{}
		sum := sha256.Sum256([]byte(operatorKey))
		server, err := administrator.New(administrator.Options{
			KeyHashes: []string{hex.EncodeToString(sum[:])}, Status: fake, Tree: fake, Requests: fake,
			Variables: http.NotFoundHandler(), Logger: zerolog.Nop(),
		})
		assert.NilError(t, err)

		for _, v := range [][2]string{{"PUT", "/v1/tree/branches/a"}, {"POST", "/v1/tree/undo"}, {"POST", "/v1/tree/changes/c/settle"}, {"POST", "/v1/upstreams/assistente/e1/leave"}} {
			w := ask(server.Handler(), operatorKey, v[0], v[1], body)
			assert.Assert(t, w.Code == 200 || w.Code == 400, "%d", w.Code)
			assert.Assert(t, json.Valid(w.Body.Bytes()))
		}

		for _, v := range fake.edits {
			assert.Assert(t, v.ChangeID != "" && v.Author != "" && v.BaseRevision >= 0)
		}
	})
}
