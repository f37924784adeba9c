package relayer_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

// Guards against requests to an upstream that this node knows to be leaving, chosen by a node that has not heard of it.
func TestUpstreamThatIsKnownToLeaveIsDeclined(t *testing.T) {
	w := newFixture(t, 0)
	leaving, other := w.add(respondWith(http.StatusOK, "late")), w.add(respondWith(http.StatusOK, "ran"))
	list := func(revision int64, address string) {
		listing := cataloguer.Listing{Position: storer.Position{Revision: revision}, Upstreams: []cataloguer.Upstream{
			{ID: leaving.name, Service: "s", Address: address, Draining: true},
		}}
		w.catalog.ApplyFreshRegistry(cataloguer.NewRegistry(listing), false, w.now)
	}

	list(1, leaving.address)

	_, body, err := w.send("/book/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "ran")
	assert.Equal(t, leaving.count(), 0)
	assert.Equal(t, other.count(), 1)

	// Another upstream under the ID, of which only the node that chose it has heard.
	list(2, "10.0.0.1:80")

	_, body, err = w.send("/book/2", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "late")
}
