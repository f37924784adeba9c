package administrator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/standin/keeper"
	"quincepath.example/quincepath/pkg/classifier"
)

const serving = `kind: engine
default_class: chat
classes:
  chat: {tier: 1, target: 1s, gap_limit: 1s, max_wait: 1s}
upstreams:
  e1: {address: "http://127.0.0.1:8001", failure_domain: catania-sala, slots: 4}
`

// resolved gives the stored tree as the settings in force, as a node that is up to date would.
type resolved struct{ editor *configurer.Editor }

func (r resolved) Snapshot() configurer.Snapshot {
	tree, err := r.editor.Tree(context.Background())
	if err != nil {
		return configurer.Snapshot{}
	}

	snapshot, _ := configurer.Resolve(tree.Branches)

	return snapshot
}

func newStoredHandler(t *testing.T, faults keeper.Faults) http.Handler {
	t.Helper()

	editor := configurer.NewEditor(keeper.NewLocal(keeper.NewStore(keeper.StoreOptions{}), faults), configurer.EditorOptions{})

	return newServerOver(t, &fakes{}, administrator.NewStoredTree(editor, resolved{editor: editor})).Handler()
}

func put(handler http.Handler, id string, base int64, content string) (administrator.Change, int, string) {
	body, _ := json.Marshal(map[string]any{"base_revision": base, "change_id": id, "author": "lia", "content": content})
	w := ask(handler, operatorKey, "PUT", "/v1/tree/branches/sicilia-est/assistente", string(body))

	var change administrator.Change
	_ = json.Unmarshal(w.Body.Bytes(), &change)

	return change, w.Code, w.Body.String()
}

func TestStoredTree(t *testing.T) {
	handler := newStoredHandler(t, nil)

	first, status, body := put(handler, "c1", 0, serving)
	assert.Equal(t, status, 200, body)
	assert.Equal(t, first.State, administrator.StateApplied)

	leave := func(id string) string {
		w := ask(handler, operatorKey, "POST", "/v1/upstreams/assistente/e1/leave", fmt.Sprintf(`{"change_id":%q,"author":"lia"}`, id))
		assert.Equal(t, w.Code, 200, w.Body.String())

		return w.Body.String()
	}
	assert.Assert(t, strings.Contains(leave("c2"), `leaving: true`))

	explained := ask(handler, operatorKey, "GET", "/v1/tree/branches/sicilia-est/assistente?explain=true", "").Body.String()
	assert.Assert(t, strings.Contains(explained, `{"key":"upstreams.e1.leaving","value":"true","branch":"sicilia-est/assistente"`), explained)

	_, status, body = put(handler, "c3", first.Revision, serving)
	assert.Equal(t, status, 409, body)
	assert.Assert(t, strings.Contains(body, "changed since (c2 by lia"), body)

	_, status, body = put(handler, "c4", first.Revision+1, "kind: motor\n")
	assert.Equal(t, status, 400, body)
	assert.Assert(t, strings.Contains(body, "/sicilia-est/assistente:1: kind is"), body)

	undone := ask(handler, operatorKey, "POST", "/v1/tree/undo", `{"undone_change_id":"c2","change_id":"c5","author":"lia"}`)
	assert.Equal(t, undone.Code, 200, undone.Body.String())

	history := ask(handler, operatorKey, "GET", "/v1/tree/history?limit=2", "").Body.String()
	assert.Assert(t, strings.Contains(history, `"c5"`) && strings.Contains(history, `"c2"`) && !strings.Contains(history, `"c1"`), history)

	none := ask(handler, operatorKey, "GET", "/v1/tree/history?path=/", "").Body.String()
	assert.Equal(t, none, "{\"changes\":[]}\n")

	assert.Equal(t, ask(handler, operatorKey, "GET", "/v1/tree/branches/", "").Code, 404)
	assert.Assert(t, strings.Contains(ask(handler, operatorKey, "GET", "/v1/tree/changes/c1", "").Body.String(), `"state":"applied"`))
	assert.Assert(t, strings.Contains(ask(handler, operatorKey, "GET", "/v1/tree/changes/c9", "").Body.String(), `"state":"unknown"`))
	assert.Assert(t, strings.Contains(ask(handler, operatorKey, "POST", "/v1/tree/changes/c9/settle", `{"author":"lia"}`).Body.String(), `"state":"not_applied"`))
	assert.Assert(t, strings.Contains(ask(handler, operatorKey, "GET", "/v1/tree/changes/c9", "").Body.String(), `"state":"not_applied"`))
}

// Symptom: an operator's call hangs, or a change that is in force is reported as failed.
// Sequence: the store takes the change, its reply is lost, and the store is away
// for longer than the operator's call may take; later it is back.
// Cause: the call has no end of its own, or the outcome is guessed from the error.
func TestChangeWhileThePlatformGoesAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		away := false
		handler := newStoredHandler(t, func(_ context.Context, call keeper.Call) keeper.Verdict {
			switch {
			case away:
				return keeper.Verdict{Refuse: errors.New("away")}
			case call.Kind == "txn":
				away = true
				return keeper.Verdict{LoseReply: true}
			}

			return keeper.Verdict{}
		})

		_, status, body := put(handler, "c1", 0, serving)
		assert.Equal(t, status, 504, body)
		assert.Assert(t, strings.Contains(body, `"result_code":72`), body)

		read := ask(handler, operatorKey, "GET", "/v1/tree/branches", "")
		assert.Equal(t, read.Code, classifier.Describe(classifier.PlatformUnavailable).Status)

		away = false
		settled := ask(handler, operatorKey, "POST", "/v1/tree/changes/c1/settle", `{"author":"lia"}`)
		assert.Assert(t, strings.Contains(settled.Body.String(), `"state":"applied"`), settled.Body.String())
	})
}

func TestNodeWithoutPlatformSaysSo(t *testing.T) {
	handler := newServerOver(t, &fakes{}, administrator.NewFixedTree(&fakes{})).Handler()

	calls := [][3]string{
		{"GET", "/v1/tree/branches"},
		{"GET", "/v1/tree/branches/a"},
		{"PUT", "/v1/tree/branches/a", `{"base_revision":0,"change_id":"c1","author":"lia","content":""}`},
		{"GET", "/v1/tree/history"},
		{"GET", "/v1/tree/changes/c1"},
		{"POST", "/v1/tree/changes/c1/settle", `{"author":"lia"}`},
		{"POST", "/v1/tree/undo", `{"undone_change_id":"c1","change_id":"c2","author":"lia"}`},
		{"POST", "/v1/upstreams/assistente/e1/leave", `{"change_id":"c3","author":"lia"}`},
	}

	for _, v := range calls {
		w := ask(handler, operatorKey, v[0], v[1], v[2])
		assert.Equal(t, w.Code, 503, v[1])
		assert.Assert(t, strings.Contains(w.Body.String(), "runs without a platform"), w.Body.String())
	}
}
