package relayer_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

// Guards against requests to an upstream that this node knows to have left, chosen by a node that has not heard of it, such as one that
// stood still.
func TestUpstreamThatIsKnownToHaveLeftIsDeclined(t *testing.T) {
	w := newFixture(t, 0)
	chosen, other := w.add(respondWith(http.StatusOK, "chosen")), w.add(respondWith(http.StatusOK, "other"))
	chosen.born = 5

	listed := cataloguer.Upstream{ID: chosen.name, Service: "s", Address: chosen.address, Born: chosen.born}
	list := func(revision int64, upstreams ...cataloguer.Upstream) {
		listing := cataloguer.Listing{Position: storer.Position{Revision: revision}, Upstreams: upstreams}
		w.catalog.ApplyFreshRegistry(cataloguer.NewRegistry(listing), false, w.now)
	}
	send := func() string {
		_, body, err := w.send("/book/1", nil)
		assert.NilError(t, err)

		return body
	}

	list(1)
	assert.Equal(t, send(), "chosen", "an upstream that this node has not heard of")
	list(2, listed)
	assert.Equal(t, send(), "chosen")

	list(3)
	assert.Equal(t, send(), "other", "an upstream that has left")
	assert.Equal(t, chosen.count(), 2)
	assert.Equal(t, other.count(), 1)

	chosen.born = 6
	assert.Equal(t, send(), "chosen", "another run, of which this node has not heard")

	chosen.born = 5
	list(4, listed)
	assert.Equal(t, send(), "chosen", "an upstream that has registered again")

	// The node that chooses still has the address of the former run.
	listed.Address, listed.Born = "10.0.0.1:80", 6
	list(5, listed)
	assert.Equal(t, send(), "other", "a former run at another address")
	assert.Equal(t, chosen.count(), 4)
}
