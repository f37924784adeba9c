package relayer_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/pinner"
	"quincepath.example/quincepath/internal/gateway/router"
	"quincepath.example/quincepath/internal/storer"
)

// fakePins remembers what began streams.
type fakePins struct {
	// finding is the result of Find for streams that aren't known.
	finding pinner.Finding
	// sole is what Sole returns, if it is known.
	sole pinner.Origin
	// archived is what Archived returns, if it is known, archiveFinding else.
	archived       pinner.Origin
	archiveFinding pinner.Finding
	// isAhead is true if a version that this node doesn't list may be newer than its list.
	isAhead bool
	// onSole is called while Sole runs; it may be nil.
	onSole func()

	mu      sync.Mutex
	origins map[pinner.Key]pinner.Origin
}

func newFakePins() *fakePins {
	return &fakePins{finding: pinner.NotFound, archiveFinding: pinner.NotFound, origins: make(map[pinner.Key]pinner.Origin)}
}

// Record implements relayer.Pins.
func (p *fakePins) Record(key pinner.Key, origin pinner.Origin, _ time.Duration) {
	if !origin.IsKnown() {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.origins[key] = origin
}

// Find implements relayer.Pins.
func (p *fakePins) Find(_ context.Context, key pinner.Key) (pinner.Origin, pinner.Finding) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if origin, ok := p.origins[key]; ok {
		return origin, pinner.Found
	}

	return pinner.Origin{}, p.finding
}

// began is the request that began the streams that are taken up.
const began = "a0"

// Sole implements relayer.Pins.
func (p *fakePins) Sole(_ context.Context, service string) (pinner.Origin, pinner.Finding) {
	if p.onSole != nil {
		p.onSole()
	}

	if p.sole.Service == service {
		return p.sole, pinner.Found
	}

	return pinner.Origin{}, pinner.NotFound
}

// MayBeNew implements relayer.Pins.
func (p *fakePins) MayBeNew(pinner.Origin) bool { return p.isAhead }

// Archived implements relayer.Pins.
func (p *fakePins) Archived(context.Context, pinner.Key) (pinner.Origin, pinner.Finding) {
	if p.archived.IsKnown() {
		return p.archived, pinner.Found
	}

	return pinner.Origin{}, p.archiveFinding
}

// resume makes a request take up, after event 7, the stream that another one began.
func resume(r *http.Request) {
	r.Header.Set(names.LastEventID, "7")
	r.Header.Set(names.Resumes, began)
}

// list lists the upstreams with their software versions.
func (w *fixture) list() {
	listing := cataloguer.Listing{Position: storer.Position{Revision: w.catalog.State().Registry.Position.Revision + 1}}
	for _, u := range w.upstreams {
		listing.Upstreams = append(listing.Upstreams, cataloguer.Upstream{ID: u.name, Service: "s", Address: u.address, Slots: 1, SoftwareVersion: u.version})
	}

	w.catalog.ApplyFreshRegistry(cataloguer.NewRegistry(listing), false, w.now)
}

// soleVersion makes v2 the only software version that the service ever had.
func (w *fixture) soleVersion() {
	w.pins.sole = pinner.Origin{Service: "s", SoftwareVersion: "v2"}
	// The first upstream leaves.
	w.upstreams = w.upstreams[1:]
	w.list()
}

// began records that the stream began at a software version.
func (w *fixture) began(service, version string) {
	w.pins.Record(pinner.KeyOf("salon", began), pinner.Origin{Service: service, SoftwareVersion: version}, time.Minute)
}

// Guards against answers that the node goes on with at another software version than the one that began them.
func TestBrokenStreamDoesNotGoOnAtAnotherVersion(t *testing.T) {
	for name, prepare := range map[string]func(w *fixture, other *fakeUpstream){
		"another version":                        func(*fixture, *fakeUpstream) {},
		"a version that isn't known":             func(_ *fixture, other *fakeUpstream) { other.version = "" },
		"a holder that doesn't know of versions": func(w *fixture, _ *fakeUpstream) { w.ignoreVersions = true; w.list() },
		"two entries of one upstream": func(w *fixture, other *fakeUpstream) {
			w.list()
			// Whoever chooses takes it for a sound one.
			other.version = "v1"
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, 10)
			w.add(streamEvents(false, 1, 2))
			other := w.add(streamEvents(true, 3, 4))
			other.version = "v2"
			prepare(w, other)

			response, body, err := w.send("/chat/1", nil)
			assert.Assert(t, err != nil, "the answer must not look complete")
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, body, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")
			assert.Equal(t, other.count(), 0)
		})
	}
}

// Guards against a stream whose software version isn't known that goes on anywhere, and is given up while its upstream works.
func TestStreamOfAnUnknownVersionDoesNotGoOn(t *testing.T) {
	w := newFixture(t, 10)
	w.add(streamEvents(false, 1, 2)).version = ""
	second := w.add(streamEvents(true, 3, 4))
	second.version = ""

	_, _, err := w.send("/chat/1", nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, second.count(), 0)
	assert.Equal(t, len(w.pins.origins), 0)
}

// Guards against a stream that is bound to the version of an attempt of which the caller has nothing.
func TestStreamBeforeItsFirstEventGoesToAnyVersion(t *testing.T) {
	w := newFixture(t, 10)
	w.add(dropConnection)

	second := w.add(streamEvents(true, 1, 2))
	second.version = "v2"

	_, body, err := w.send("/chat/1", nil)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(body, "id: 1\n"))
	assert.Equal(t, w.pins.origins[pinner.KeyOf("salon", "id-1")], pinner.Origin{Service: "s", SoftwareVersion: "v2"})
}

// Guards against a stream that its caller takes up and that goes on at another version, or at any one if none is known.
func TestCallersStreamGoesOnAtItsVersionOnly(t *testing.T) {
	tests := map[string]struct {
		prepare func(w *fixture)
		change  func(r *http.Request)
		// want is the result code of the refusal; empty if the second upstream answers.
		want       string
		retryAfter bool
	}{
		"at its version": {prepare: func(w *fixture) { w.began("s", "v2") }},
		"at its version, though the holder doesn't know of versions": {
			prepare: func(w *fixture) { w.began("s", "v2"); w.ignoreVersions = true },
		},
		"nobody knows what began it": {prepare: func(*fixture) {}, want: "stream_lost"},
		"nobody knows what began it but the archive": {
			prepare: func(w *fixture) { w.pins.archived = pinner.Origin{Service: "s", SoftwareVersion: "v2"} },
		},
		"some nodes don't answer, and the archive knows what began it": {
			prepare: func(w *fixture) {
				w.pins.finding = pinner.Unavailable
				w.pins.archived = pinner.Origin{Service: "s", SoftwareVersion: "v2"}
			},
		},
		"nobody knows, and the archive can't be read": {
			prepare: func(w *fixture) { w.pins.archiveFinding = pinner.Unavailable }, want: "stream_unknown", retryAfter: true,
		},
		"the archive knows, and its version has no upstream any more": {
			prepare: func(w *fixture) { w.pins.archived = pinner.Origin{Service: "s", SoftwareVersion: "v9"} }, want: "stream_version_gone",
		},
		"only one version is listed, and nobody knows what began it": {
			prepare: func(w *fixture) { w.upstreams[0].version = "v2"; w.list() }, want: "stream_lost",
		},
		"nobody knows, and the service had one version only": {
			prepare: func(w *fixture) { w.soleVersion() },
		},
		"the request doesn't say, and the service had one version only": {
			prepare: func(w *fixture) { w.soleVersion() },
			change:  func(r *http.Request) { r.Header.Del(names.Resumes) },
		},
		"nobody knows, and another version is listed than the only one recorded": {
			prepare: func(w *fixture) { w.pins.sole = pinner.Origin{Service: "s", SoftwareVersion: "v2"} }, want: "stream_lost",
		},
		"some nodes don't answer": {prepare: func(w *fixture) { w.pins.finding = pinner.Unavailable }, want: "stream_unknown", retryAfter: true},
		"the request doesn't say what began it": {
			prepare: func(w *fixture) { w.began("s", "v2") }, want: "stream_lost",
			change: func(r *http.Request) { r.Header.Del(names.Resumes) },
		},
		"it says what began it, but not which events it has": {
			prepare: func(w *fixture) { w.began("s", "v9") }, want: "stream_version_gone",
			change: func(r *http.Request) { r.Header.Del(names.LastEventID) },
		},
		"another organisation's": {
			prepare: func(w *fixture) {
				w.pins.Record(pinner.KeyOf("barber", began), pinner.Origin{Service: "s", SoftwareVersion: "v2"}, time.Minute)
			},
			want: "stream_lost",
		},
		"its version has no upstream any more": {prepare: func(w *fixture) { w.began("s", "v9") }, want: "stream_version_gone"},
		"its version has no upstream in a list that is old": {
			prepare: func(w *fixture) {
				w.began("s", "v9")
				w.now += time.Minute
				w.catalog.MarkConfigurationFresh(1, w.now)
			},
			want: "stream_version_gone", retryAfter: true,
		},
		"its version has no upstream in a list that never had one": {
			prepare: func(w *fixture) { w.began("s", "v9"); w.pins.isAhead = true }, want: "stream_version_gone", retryAfter: true,
		},
		"the route leads elsewhere": {prepare: func(w *fixture) { w.began("other", "v2") }, want: "stream_version_gone"},
		"the service had one version only, and the route led to another before": {
			prepare: func(w *fixture) {
				routes := configuration()
				for i := range routes.Routes {
					routes.Routes[i].Shares = []cataloguer.Share{{Service: "other", Weight: 1}}
				}

				w.former = router.New(routes, nil)
				w.restart()
				w.soleVersion()
			},
			want: "stream_lost",
		},
		"the service had one version only, by a node whose list is old": {
			prepare: func(w *fixture) {
				w.soleVersion()
				w.now += time.Minute
				w.catalog.MarkConfigurationFresh(1, w.now)
			},
			want: "stream_unknown", retryAfter: true,
		},
		"the service had one version only, by a node whose list gets old while it reads that": {
			prepare: func(w *fixture) {
				w.soleVersion()
				w.pins.onSole = func() { w.now += time.Minute }
			},
			want: "stream_unknown", retryAfter: true,
		},
		"the service had one version only, by a node whose routes are old": {
			prepare: func(w *fixture) {
				w.soleVersion()
				w.now += 3500 * time.Millisecond
				w.catalog.MarkRegistryFresh(w.now)
			},
			want: "stream_unknown", retryAfter: true,
		},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, 10)
			first := w.add(streamEvents(true, 8, 9))
			second := w.add(streamEvents(true, 8, 9))
			second.version = "v2"
			w.list()
			test.prepare(w)

			response, body, err := w.send("/chat/1", func(r *http.Request) {
				resume(r)

				if test.change != nil {
					test.change(r)
				}
			})
			assert.NilError(t, err)
			assert.Equal(t, first.count(), 0)

			if test.want == "" {
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, second.count(), 1)

				return
			}

			assert.Equal(t, second.count(), 0)
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, strings.Contains(body, `"code":"`+test.want+`"`), body)
			assert.Assert(t, strings.Contains(body, `"ran":"not_run"`), body)
			assert.Equal(t, response.Header.Get("Retry-After") != "", test.retryAfter)
		})
	}
}

// Guards against a stream that goes on at any version, at a node whose configuration doesn't say yet, or no longer, that it may be resumed.
func TestStreamIsBoundWhereItsRouteIsNotResumable(t *testing.T) {
	for version, want := range map[string]int{"v2": http.StatusOK, "v9": http.StatusServiceUnavailable} {
		w := newFixture(t, 10)
		first := w.add(streamEvents(true, 8, 9))
		w.add(streamEvents(true, 8, 9)).version = "v2"
		w.list()
		w.began("s", version)

		response, _, err := w.send("/advice/1", resume)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, want)
		assert.Equal(t, first.count(), 0)
	}
}

// Guards against a stream that goes on at a service to which the configuration in force gives none of the route's requests.
func TestStreamDoesNotGoOnAtAServiceWithoutWeight(t *testing.T) {
	w := newFixture(t, 10)
	w.began("s", "v1")
	u := w.add(streamEvents(true, 8, 9))
	w.list()

	response, body, err := w.send("/moved/1", resume)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, `"code":"stream_version_gone"`), body)
	assert.Equal(t, u.count(), 0)
}

// Guards against a resumed stream that is forgotten while its caller still takes it up, at whichever attempt it names.
func TestResumedStreamIsRecordedAgain(t *testing.T) {
	w := newFixture(t, 10)
	w.began("s", "v1")
	w.add(streamEvents(true, 8, 9))

	_, _, err := w.send("/chat/1", func(r *http.Request) {
		resume(r)
		r.Header.Set(names.RequestID, "a5")
	})
	assert.NilError(t, err)
	assert.Equal(t, w.pins.origins[pinner.KeyOf("salon", "a5")], pinner.Origin{Service: "s", SoftwareVersion: "v1"})
}

// Guards against an answer of a gone version that keeps its caller waiting until the deadline.
func TestGoneVersionIsRefusedAtOnce(t *testing.T) {
	w := newFixture(t, 10)
	w.began("s", "v9")
	w.add(streamEvents(true, 8, 9))
	w.list()

	chosen := 0
	w.onChoose = func() { chosen++ }

	response, _, err := w.send("/chat/1", resume)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, chosen <= 1, "searched %d times", chosen)
}
