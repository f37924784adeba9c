package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// withoutKey returns a configuration of the version that has the routes of configuration and none of its keys.
func withoutKey(version int64) cataloguer.Configuration {
	next := configuration()
	next.Version = version
	next.Organisations = []cataloguer.Organisation{{Name: "salon", Keys: []string{"k2"}}}

	return next
}

// Guards against a key that is accepted by an older configuration because a newer one, which removed the key, was confirmed.
func TestKeyThatANewerVersionRemovedIsRefused(t *testing.T) {
	// The node stands still after a request has arrived, or before. It receives the newer version before it goes on.
	standStill := func(w *fixture) {
		w.now += 10 * time.Second
		w.catalog.ApplyConfiguration(withoutKey(2), w.now)
	}

	cases := map[string]struct{ before, between func(*fixture) }{
		"received before the request, not used yet":               {before: standStill},
		"received between the routes and the age":                 {between: standStill},
		"confirmed again between the routes and the age":          {before: standStill, between: func(w *fixture) { w.catalog.MarkConfigurationFresh(2, w.now) }},
		"a still newer version between the routes and the age":    {before: standStill, between: func(w *fixture) { w.catalog.ApplyConfiguration(withoutKey(3), w.now) }},
		"the node stands still between them and receives nothing": {between: func(w *fixture) { w.now += 10 * time.Second }},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, 0)
			u := w.add(respondWith(http.StatusOK, "ran"))

			if c.before != nil {
				c.before(w)
			}

			if c.between != nil {
				w.onTable = func() { c.between(w) }
			}

			response, body, err := w.send("/price/1", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, body)
			assert.Assert(t, response.Header.Get("Retry-After") != "")
			assert.Equal(t, u.count(), 0)
		})
	}
}
