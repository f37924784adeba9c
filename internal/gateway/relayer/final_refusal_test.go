package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are refused for good, by an old configuration, on routes and with keys that a newer one has.
func TestOldConfigurationRefusesNothingForGood(t *testing.T) {
	withKey := func(key string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set("Authorization", key) }
	}

	cases := map[string]struct {
		path   string
		change func(*http.Request)
		want   int
	}{
		"unknown route": {"/new/1", nil, http.StatusNotFound},
		"unknown key":   {"/price/1", withKey("Token new"), http.StatusUnauthorized},
		"no key":        {"/price/1", withKey(""), http.StatusUnauthorized},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, 0)
			u := w.add(respondWith(http.StatusOK, "ran"))
			w.now += 3 * time.Second

			response, _, err := w.send(c.path, c.change)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.want)

			w.now += 100 * time.Millisecond

			response, _, err = w.send(c.path, c.change)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, response.Header.Get("Retry-After") != "")
			assert.Equal(t, u.count(), 0)
		})
	}
}
