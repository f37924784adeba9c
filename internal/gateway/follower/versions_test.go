package follower_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// spreadTime is how long a change takes to reach all nodes.
const spreadTime = 3 * time.Second

// RecordVersions implements follower.VersionStore.
func (m *member) RecordVersions(ctx context.Context, versions []cataloguer.ServiceVersion, _ int64) ([]cataloguer.ServiceVersion, error) {
	m.fleet.mu.Lock()
	hangs := m.fleet.versionsHang
	m.fleet.mu.Unlock()

	if hangs {
		<-ctx.Done()

		return nil, ctx.Err()
	}

	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	if m.fleet.versionsRejected || m.fleet.down || m.fleet.rejected[m.name] {
		return nil, errUnavailable
	}

	for _, version := range versions {
		m.fleet.versions[version] = true
	}

	return slices.Collect(maps.Keys(m.fleet.versions)), nil
}

// RemoveVersions implements follower.VersionStore.
func (m *member) RemoveVersions(_ context.Context, versions []cataloguer.ServiceVersion) ([]cataloguer.ServiceVersion, error) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()

	for _, version := range versions {
		delete(m.fleet.versions, version)
	}

	return versions, nil
}

// newVersionFleet starts nodes whose store keeps software versions. Upstream a has v1.
func newVersionFleet(t *testing.T, count int) *fleet {
	f := newFleet(t, 0)
	f.versions = make(map[cataloguer.ServiceVersion]bool)
	f.softwareVersions = map[string]string{"a": "v1"}

	for i := range count {
		f.start(t, fmt.Sprint("n", i), nil)
	}

	time.Sleep(spreadTime)

	return f
}

// list adds an upstream.
func (f *fleet) list(id, softwareVersion string) {
	f.update(func() {
		f.softwareVersions[id] = softwareVersion
		f.upstreamIDs = append(f.upstreamIDs, id)
	})
}

// knowing counts the nodes that list an upstream.
func (f *fleet) knowing(id string) int {
	count := 0

	for _, m := range f.members {
		if m.catalog.State().Registry.Upstreams.Contains(id) {
			count++
		}
	}

	return count
}

func (f *fleet) isRecorded(softwareVersion string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.versions[cataloguer.ServiceVersion{SoftwareVersion: softwareVersion}]
}

// Guards against upstreams of a version that the store doesn't know of: a stream from one would be resumed at the only version
// that it knows.
func TestNoNodeUsesAVersionThatIsNotRecorded(t *testing.T) {
	for _, count := range []int{1, 9, 65} {
		synctest.Test(t, func(t *testing.T) {
			f := newVersionFleet(t, count)
			defer f.stop()

			assert.Equal(t, f.knowing("a"), count)
			assert.Assert(t, f.isRecorded("v1"))

			f.update(func() { f.versionsRejected = true })
			f.list("b", "v2")
			f.list("c", "v1")
			time.Sleep(spreadTime)
			assert.Equal(t, f.knowing("b"), 0)
			assert.Equal(t, f.knowing("c"), count)

			// The node that read it is gone; others must not take what it gave them for the whole list.
			f.update(func() { delete(f.members, f.lastReader); f.versionsRejected = false })
			time.Sleep(spreadTime)

			assert.Equal(t, f.knowing("b"), len(f.members))
			assert.Assert(t, f.isRecorded("v2"))
		})
	}
}

// Guards against a server that starts again under its ID with a version that isn't recorded yet, and that meanwhile counts as one of its
// former version: streams of that version would go on there.
func TestRestartedUpstreamDoesNotKeepItsFormerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFleet(t, 9)
		defer f.stop()

		f.update(func() { f.versionsRejected, f.softwareVersions["a"] = true, "v2" })
		time.Sleep(spreadTime)
		assert.Equal(t, f.knowing("a"), 0)

		f.update(func() { f.versionsRejected = false })
		time.Sleep(spreadTime)
		assert.Equal(t, f.knowing("a"), 9)
	})
}

// Guards against upstreams that nobody ever uses, since the store doesn't take their version.
func TestNewVersionIsUsedIfItCanNotBeRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFleet(t, 9)
		defer f.stop()

		f.update(func() { f.versionsRejected = true })
		f.list("b", "v2")
		time.Sleep(5*time.Second + spreadTime)
		assert.Equal(t, f.knowing("b"), 9)
	})
}

// Guards against a configuration that takes effect late because the node which reads the store waits for a write of versions. The
// bound is that in which operators are promised it: two seconds.
func TestConfigurationDoesNotWaitForVersions(t *testing.T) {
	for _, count := range []int{1, 9, 65} {
		synctest.Test(t, func(t *testing.T) {
			f := newVersionFleet(t, count)
			defer f.stop()

			f.update(func() { f.versionsHang = true })
			f.list("b", "v2")

			var most time.Duration

			for i := range 40 {
				time.Sleep(50*time.Millisecond + time.Duration(i)*17*time.Millisecond)
				f.update(func() { f.version++ })

				version := f.version
				most = max(most, f.timeUntilAll(func(s *cataloguer.State) bool { return s.Configuration.Version >= version }))
			}

			t.Logf("%d nodes: %s at most", count, most)
			assert.Assert(t, most <= 2*time.Second, "%d nodes: %s", count, most)
		})
	}
}

// Guards against versions that are kept for ever, so that no service has one version only after its first release, and against
// one that isn't recorded again when it returns.
func TestVersionIsForgottenAnHourAfterItsLastUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFleet(t, 3)
		defer f.stop()

		f.list("b", "v2")
		time.Sleep(spreadTime)
		f.update(func() { f.upstreamIDs = []string{"b"} })
		time.Sleep(50 * time.Minute)
		assert.Assert(t, f.isRecorded("v1"))

		time.Sleep(15 * time.Minute)
		assert.Assert(t, !f.isRecorded("v1"))
		assert.Assert(t, f.isRecorded("v2"))

		f.list("a", "v1")
		time.Sleep(spreadTime)
		assert.Assert(t, f.isRecorded("v1"))
		assert.Equal(t, f.knowing("a"), 3)
	})
}

// Guards against streams that can't be resumed for long after each release, and against a version that is kept for ever since all nodes
// were restarted after its last upstream had left.
func TestVersionIsForgottenOnceNoStreamIsFromIt(t *testing.T) {
	for name, restart := range map[string]bool{"nodes live on": false, "all nodes restart": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVersionFleet(t, 3)
				f.update(func() {
					f.version++
					f.routes = []cataloguer.Route{{Kind: cataloguer.Stream, Resumable: true, Timeout: 15 * time.Second}}
				})
				f.list("b", "v2")
				time.Sleep(spreadTime)
				f.update(func() { f.upstreamIDs = []string{"b"} })

				if restart {
					f.stop()

					for i := range 3 {
						f.start(t, fmt.Sprint("m", i), nil)
					}
				}

				defer f.stop()

				time.Sleep(2 * time.Minute)
				assert.Assert(t, f.isRecorded("v1"))

				time.Sleep(2 * time.Minute)
				assert.Assert(t, !f.isRecorded("v1"))
				assert.Assert(t, f.isRecorded("v2"))
			})
		})
	}
}

// Guards against a version that a former node removes while it is used again, since the node that reads now found it in the store and
// never recorded it itself.
func TestVersionOfAFormerNodeIsRecordedBeforeItIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFleet(t, 3)
		f.list("b", "v2")
		time.Sleep(spreadTime)
		f.update(func() { f.upstreamIDs = []string{"b"} })
		time.Sleep(spreadTime)
		f.stop()
		f.start(t, "m", nil)

		defer f.stop()

		time.Sleep(spreadTime)

		// The former node's write comes late.
		f.update(func() { delete(f.versions, cataloguer.ServiceVersion{SoftwareVersion: "v1"}) })
		f.list("a", "v1")
		time.Sleep(spreadTime)
		assert.Equal(t, f.knowing("a"), 1)
		assert.Assert(t, f.isRecorded("v1"))
	})
}

// Guards against upstreams whose version is never known, since their entries came from a node of a release without versions and
// don't change.
func TestMissingVersionsAreReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0)
		f.versions = make(map[cataloguer.ServiceVersion]bool)

		for i := range 9 {
			f.start(t, fmt.Sprint("n", i), nil)
		}
		defer f.stop()

		time.Sleep(spreadTime)

		// The entry in the store had a version all the while.
		f.mu.Lock()
		f.softwareVersions = map[string]string{"a": "v1"}
		f.mu.Unlock()

		time.Sleep(31 * time.Second)

		// Nothing has changed in the store, so the others hear of it with its next change.
		upstream, ok := f.members[f.lastReader].catalog.State().Registry.Upstreams.Get("a")
		assert.Assert(t, ok)
		assert.Equal(t, upstream.SoftwareVersion, "v1")
	})
}
