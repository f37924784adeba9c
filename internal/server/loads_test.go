package server

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/granter"
)

// Symptom: load reports alone were more than the bytes that a node may spend on
// control. Sequence: a holder asks each second for its upstreams' load. Cause: the
// rhythm of a policy that chooses by it, and headers that nobody reads.
func TestQueuesAskForLoadsBrieflyAndHalfAsOften(t *testing.T) {
	assert.Equal(t, (&Node{}).pollEvery(), time.Second)
	assert.Equal(t, (&Node{router: &granter.Router{}}).pollEvery(), 2*time.Second)

	var asked http.Header

	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { asked = r.Header }))
	defer upstream.Close()

	_, err := newLoadClient("k").R().Get(upstream.URL)
	assert.NilError(t, err)
	assert.DeepEqual(t, asked, http.Header{"Authorization": {"Bearer k"}, "User-Agent": {"quincepath"}})
}
