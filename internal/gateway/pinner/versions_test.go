package pinner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

var errStore = errors.New("the store is away")

// fakeVersions is a store of software versions.
type fakeVersions struct {
	err error

	mu       sync.Mutex
	versions []cataloguer.ServiceVersion
	reads    int
}

// Versions implements VersionStore.
func (f *fakeVersions) Versions(context.Context) ([]cataloguer.ServiceVersion, error) {
	f.mu.Lock()
	f.reads++
	versions := f.versions
	f.mu.Unlock()

	time.Sleep(10 * time.Millisecond)

	return versions, f.err
}

// Guards against a service that counts as one of a single version though it had another, or though nobody can tell.
func TestSoleVersionIsWhatTheStoreSays(t *testing.T) {
	one := cataloguer.ServiceVersion{Service: "s", SoftwareVersion: "v1"}

	for name, test := range map[string]struct {
		versions []cataloguer.ServiceVersion
		err      error
		want     Finding
	}{
		"one":                 {versions: []cataloguer.ServiceVersion{one, {Service: "other", SoftwareVersion: "v2"}}, want: Found},
		"two":                 {versions: []cataloguer.ServiceVersion{one, {Service: "s", SoftwareVersion: "v2"}}, want: NotFound},
		"one and an unknown":  {versions: []cataloguer.ServiceVersion{one, {Service: "s"}}, want: NotFound},
		"an unknown":          {versions: []cataloguer.ServiceVersion{{Service: "s"}}, want: NotFound},
		"none":                {want: NotFound},
		"the store is away":   {versions: []cataloguer.ServiceVersion{one}, err: errStore, want: Unavailable},
		"of another, the one": {versions: []cataloguer.ServiceVersion{{Service: "other", SoftwareVersion: "v1"}}, want: NotFound},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New(Options{VersionStore: &fakeVersions{versions: test.versions, err: test.err}})
				origin, finding := p.Sole(t.Context(), "s")
				assert.Equal(t, finding, test.want)

				if test.want == Found {
					assert.Equal(t, origin, Origin(one))
				}

				// The reader ends.
				time.Sleep(2 * versionReadPause)
			})
		})
	}
}

// Guards against a service that counts as one of a single version where no store lists versions.
func TestWithoutAListOfVersionsNoneIsSole(t *testing.T) {
	_, finding := New(Options{}).Sole(t.Context(), "s")
	assert.Equal(t, finding, NotFound)
}

// Guards against a service that counts as one of a single version though this node has seen another: one that the store didn't take, that a
// node removed too early, or that went with an older copy. Guards also against a new version that counts as gone.
func TestSoleVersionIsRefutedByWhatTheNodeSaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		p := New(Options{
			VersionStore:   &fakeVersions{versions: []cataloguer.ServiceVersion{{Service: "s", SoftwareVersion: "v1"}}},
			Now:            func() time.Duration { return time.Since(began) },
			StreamLifetime: func() time.Duration { return testLifetime },
		})
		list := func(versions ...string) {
			var listing cataloguer.Listing
			for _, version := range versions {
				listing.Upstreams = append(listing.Upstreams, cataloguer.Upstream{ID: version, Service: "s", SoftwareVersion: version})
			}

			registry := cataloguer.NewRegistry(listing)
			p.UpdateVersions(&registry.Upstreams)
		}

		for _, step := range []struct {
			listed []string
			after  time.Duration
			want   Finding
			// wantNew says that v2 may be known to other nodes first.
			wantNew bool
		}{
			{listed: []string{"v1"}, want: Found},
			{listed: []string{"v1"}, after: settlingTime, want: Found, wantNew: true},
			{listed: []string{"v1", "v2"}, want: NotFound},
			{listed: []string{"v1"}, after: testLifetime / 2, want: NotFound},
			{listed: []string{"v1"}, after: testLifetime, want: Found, wantNew: true},
		} {
			time.Sleep(step.after)
			list(step.listed...)

			_, finding := p.Sole(t.Context(), "s")
			assert.Equal(t, finding, step.want)
			assert.Equal(t, p.MayBeNew(Origin{Service: "s", SoftwareVersion: "v2"}), step.wantNew)
		}

		// The reader ends.
		time.Sleep(2 * versionReadPause)
	})
}

// Guards against a read that began before the request, and so may not see the version of its stream, and one for each request.
func TestSoleVersionIsReadAfterTheRequestCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeVersions{versions: []cataloguer.ServiceVersion{{Service: "s", SoftwareVersion: "v1"}}}
		p := New(Options{VersionStore: store})

		go func() {
			_, finding := p.Sole(t.Context(), "s")
			assert.Check(t, finding == Found)
		}()

		time.Sleep(5 * time.Millisecond)

		// The first read is under way and doesn't see this.
		store.mu.Lock()
		store.versions = append(store.versions[:1:1], cataloguer.ServiceVersion{Service: "s", SoftwareVersion: "v2"})
		store.mu.Unlock()

		results := make(chan Finding, 50)

		for range cap(results) {
			go func() {
				_, finding := p.Sole(t.Context(), "s")
				results <- finding
			}()
		}

		for range cap(results) {
			assert.Equal(t, <-results, NotFound)
		}

		// The reader ends.
		time.Sleep(2 * versionReadPause)

		store.mu.Lock()
		defer store.mu.Unlock()

		assert.Assert(t, store.reads <= 3, "%d reads", store.reads)
	})
}
