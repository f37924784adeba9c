package relayer_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/pinner"
)

// openConfiguration returns a configuration whose routes need no key: they are anonymous or, without organisations, no route needs one.
func openConfiguration(withOrganisations bool) cataloguer.Configuration {
	open := configuration()
	open.Version = 2

	for i := range open.Routes {
		open.Routes[i].Anonymous = withOrganisations
	}

	if !withOrganisations {
		open.Organisations = nil
	}

	return open
}

// newOpenFixture returns a fixture whose routes need no key.
func newOpenFixture(t *testing.T, withOrganisations bool) *fixture {
	t.Helper()

	w := newFixture(t, 10)
	w.server.Close()
	w.configuration = openConfiguration(withOrganisations)
	w.catalog.ApplyConfiguration(w.configuration, w.now)
	w.restart()

	return w
}

// Guards against an API key that upstreams are shown because the route, or the whole configuration, needs none.
func TestKeysAreNotShownToUpstreams(t *testing.T) {
	cases := map[string]struct {
		sent, forwarded []string
		// known says that the key is withheld only where the configuration knows it.
		known bool
	}{
		"key":                         {sent: []string{"Token k1"}},
		"scheme in another case":      {sent: []string{"tOKEN k1"}},
		"key of nobody":               {sent: []string{"Token removed"}},
		"tab and spaces":              {sent: []string{" Token\t k1 "}},
		"beside credentials":          {sent: []string{"Basic dTpw", "Token k1"}, forwarded: []string{"Basic dTpw"}},
		"behind credentials":          {sent: []string{"Basic dTpw, Token k1"}},
		"under another scheme":        {sent: []string{"Bearer k1"}, known: true},
		"without a scheme":            {sent: []string{"k1"}, known: true},
		"credentials of the upstream": {sent: []string{"Bearer abc"}, forwarded: []string{"Bearer abc"}},
	}

	for name, c := range cases {
		for _, withOrganisations := range []bool{true, false} {
			if c.known && !withOrganisations {
				continue
			}

			for _, path := range []string{"/price/1", "/book/1", "/chat/1"} {
				t.Run(name+path, func(t *testing.T) {
					w := newOpenFixture(t, withOrganisations)
					u := w.add(respondWith(http.StatusOK, "ran"))

					response, _, err := w.send(path, func(r *http.Request) { r.Header["Authorization"] = c.sent })
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusOK)
					assert.Check(t, cmp.DeepEqual(u.requests[0].Header["Authorization"], c.forwarded))
				})
			}
		}
	}
}

// Guards against an API key that only the first attempt of a request withholds from upstreams.
func TestKeysAreNotShownToLaterAttempts(t *testing.T) {
	w := newOpenFixture(t, true)
	first, second := w.add(dropConnection), w.add(respondWith(http.StatusOK, "ran"))

	response, _, err := w.send("/price/1", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)

	for _, u := range []*fakeUpstream{first, second} {
		assert.Equal(t, u.count(), 1)
		assert.Equal(t, u.requests[0].Header.Get("Authorization"), "")
	}
}

// Guards against an API key that the upstream is shown which takes up a broken stream, or to which the caller's own resumption goes.
func TestKeysAreNotShownToResumedStreams(t *testing.T) {
	w := newOpenFixture(t, true)
	first, second := w.add(streamEvents(false, 1, 2)), w.add(streamEvents(true, 3, 4))

	_, _, err := w.send("/chat/1", nil)
	assert.NilError(t, err)

	for _, u := range []*fakeUpstream{first, second} {
		assert.Equal(t, u.count(), 1)
		assert.Equal(t, u.requests[0].Header.Get("Authorization"), "")
	}
}

// Guards against an upstream that is told no organisation, or one that the caller claims to be, though the request shows a valid key.
func TestOrganisationOnRoutesWithoutKeys(t *testing.T) {
	cases := map[string]struct {
		key, want string
		before    func(*fixture)
	}{
		"valid key":                {key: "Token k1", want: "salon"},
		"key of nobody":            {key: "Token k2"},
		"no key":                   {},
		"keys known too long ago":  {key: "Token k1", before: func(w *fixture) { w.now += 5 * time.Second }},
		"valid key, other scheme":  {key: "Bearer k1"},
		"credentials for upstream": {key: "Basic dTpw"},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newOpenFixture(t, true)
			u := w.add(respondWith(http.StatusOK, "ran"))

			if c.before != nil {
				c.before(w)
			}

			response, _, err := w.send("/price/1", func(r *http.Request) {
				r.Header.Del("Authorization")
				r.Header.Set(names.Organisation, "forged")

				if c.key != "" {
					r.Header.Set("Authorization", c.key)
				}
			})
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, u.requests[0].Header.Get(names.Organisation), c.want)
		})
	}
}

// Guards against a stream that can't be resumed because its route has needed no key since it began, though the caller goes on showing it.
func TestCallerResumesOnARouteThatNeedsNoKeySince(t *testing.T) {
	w := newOpenFixture(t, true)
	w.pins.origins[pinner.KeyOf("salon", began)] = pinner.Origin{Service: "s", SoftwareVersion: "v1"}
	w.add(streamEvents(true, 8, 9))

	_, body, err := w.send("/chat/1", resume)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(body, "id: 8\n"), body)
}
