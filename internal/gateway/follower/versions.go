package follower

import (
	"context"
	"maps"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

const (
	// versionCheckInterval is the time between two looks for versions without upstreams.
	versionCheckInterval = 15 * time.Second
	// unknownCheckInterval is the time between two looks for upstreams without a version, each of which costs a whole read.
	unknownCheckInterval = 30 * time.Second
	// maxHoldBack is how long upstreams of a new version are held back while the store doesn't take the version.
	maxHoldBack = 5 * time.Second
)

// VersionStore keeps which software versions the upstreams of each service have or had. Both calls are safe to repeat.
type VersionStore interface {
	// RecordVersions adds versions, and returns all that are kept. The first call after a return of the store from an older copy passes all
	// versions that the node knows of, since the store may have lost some.
	RecordVersions(ctx context.Context, versions []cataloguer.ServiceVersion, era int64) ([]cataloguer.ServiceVersion, error)
	// RemoveVersions removes versions that were unused at an earlier call as well and were not recorded since. It returns those that are
	// no longer kept.
	RemoveVersions(ctx context.Context, versions []cataloguer.ServiceVersion) ([]cataloguer.ServiceVersion, error)
}

// versionRecorder records the software version of each upstream in the store before any node uses the upstream. Whoever reads
// the versions then knows all that a stream can be from, also if the upstream has left or the node is gone. Only the goroutine
// that reads the store uses it.
type versionRecorder struct {
	// recorded holds the versions that the store keeps, as far as this node knows, with the time at which one was first seen without
	// upstreams; 0 while it has some.
	recorded map[cataloguer.ServiceVersion]time.Duration
	// inherited holds those of them that only other nodes recorded, any of which may remove them.
	inherited map[cataloguer.ServiceVersion]bool
	checkedAt time.Duration
	// recordedAt is the position of the store at which this node last recorded all versions that it knows.
	recordedAt storer.Position
	// unknownCheckedAt is when upstreams without a version were last looked for.
	unknownCheckedAt time.Duration
	// failingSince is since when versions could not be recorded; 0 if all are.
	failingSince time.Duration
}

// recordVersions records the versions of the upstreams that the registry adds to the catalog's. It returns the registry
// without those whose versions could not be recorded, which are added once they are.
func (f *Follower) recordVersions(ctx context.Context, registry cataloguer.Registry) cataloguer.Registry {
	if f.options.Versions == nil {
		return registry
	}

	f.removeUnusedVersions(ctx, &registry)

	known := f.options.Catalog.State().Registry
	delta := registry.DeltaFrom(&known)
	missing := make(map[cataloguer.ServiceVersion]bool)
	isFirst := !f.versions.recordedAt.IsKnown() || !f.versions.recordedAt.HasHistoryOf(registry.Position)

	if isFirst {
		missing = f.allVersions(&registry, &known)
	}

	for i := range delta.Upstreams.Put {
		if version := delta.Upstreams.Put[i].Version(); !f.isRecorded(version) {
			missing[version] = true
		}
	}

	if !isFirst && len(missing) == 0 || f.tryRecord(ctx, slices.Collect(maps.Keys(missing)), registry.Position.Era) {
		f.versions.failingSince, f.versions.recordedAt = 0, registry.Position

		return registry
	}

	now := f.options.Catalog.Now()

	if f.versions.failingSince == 0 {
		f.versions.failingSince = now
	}

	// Upstreams that nobody uses are worse than streams that can't be resumed.
	if now-f.versions.failingSince > maxHoldBack {
		return registry
	}

	return f.holdBack(&registry, &known, &delta)
}

// allVersions returns the versions that this node recorded and those of the given registries.
func (f *Follower) allVersions(registries ...*cataloguer.Registry) map[cataloguer.ServiceVersion]bool {
	all := make(map[cataloguer.ServiceVersion]bool)
	for version := range f.versions.recorded {
		all[version] = true
	}

	for _, registry := range registries {
		for upstream := range registry.Upstreams.All() {
			all[upstream.Version()] = true
		}
	}

	return all
}

// lacksVersions reports whether the base for changes has upstreams whose software version isn't known, at most once in
// unknownCheckInterval. A base from a node of a release without versions has none, and an entry that doesn't change is never read
// again.
func (f *Follower) lacksVersions(now time.Duration) bool {
	if now-f.versions.unknownCheckedAt < unknownCheckInterval {
		return false
	}

	f.versions.unknownCheckedAt = now

	for upstream := range f.storeRegistry.Upstreams.All() {
		if upstream.SoftwareVersion == "" {
			return true
		}
	}

	return false
}

// isRecorded reports whether a version is in the store. One that had no upstream for long, or that only others recorded, is recorded
// again when it is used, as another node may remove it just then.
func (f *Follower) isRecorded(version cataloguer.ServiceVersion) bool {
	unusedSince, ok := f.versions.recorded[version]

	return ok && !f.versions.inherited[version] && (unusedSince == 0 || f.options.Catalog.Now()-unusedSince < f.versionRetention()/2)
}

// versionRetention is how long a version is kept in the store after its last upstream left. No stream from it is taken up later.
func (f *Follower) versionRetention() time.Duration {
	configuration := f.options.Catalog.State().Configuration

	return configuration.StreamLifetime()
}

func (f *Follower) tryRecord(ctx context.Context, versions []cataloguer.ServiceVersion, era int64) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	all, err := f.options.Versions.RecordVersions(ctx, versions, era)
	if err != nil {
		f.options.Logger.Warn().Err(err).Int("versions", len(versions)).Msg("software_versions_not_recorded")

		return false
	}

	// Those of former nodes have no upstream, or will be recorded with it.
	for _, version := range all {
		if _, ok := f.versions.recorded[version]; !ok {
			f.versions.recorded[version] = f.options.Catalog.Now()
			f.versions.inherited[version] = true
		}
	}

	for _, version := range versions {
		f.versions.recorded[version] = 0
		delete(f.versions.inherited, version)
	}

	return true
}

// holdBack returns the registry with the entries of the known one in place of those whose versions aren't recorded. An upstream that has
// changed its version is left out: whoever runs under its ID now isn't of the known one.
func (f *Follower) holdBack(registry, known *cataloguer.Registry, delta *cataloguer.RegistryDelta) cataloguer.Registry {
	back := cataloguer.RegistryDelta{
		Position: registry.Position, RetainedUpstreams: registry.RetainedUpstreams, UnreadableEntries: registry.UnreadableEntries,
	}

	for i := range delta.Upstreams.Put {
		upstream := &delta.Upstreams.Put[i]
		if f.isRecorded(upstream.Version()) {
			continue
		}

		if former, ok := known.Upstreams.Get(upstream.ID); ok && former.Version() == upstream.Version() {
			back.Upstreams.Put = append(back.Upstreams.Put, former)
		} else {
			back.Upstreams.Remove = append(back.Upstreams.Remove, upstream.ID)
		}

		// Such a registry is superseded by the whole one at the same revision, and no base for changes.
		back.RetainedUpstreams++
	}

	return registry.Apply(&back)
}

// removeUnusedVersions removes the versions from the store that have had no upstream for versionRetention. A version that
// returns before is recorded again by whoever reads the list then.
func (f *Follower) removeUnusedVersions(ctx context.Context, registry *cataloguer.Registry) {
	now := f.options.Catalog.Now()
	pause := now - f.versions.checkedAt

	if pause < versionCheckInterval {
		return
	}

	f.versions.checkedAt = now

	// What happened meanwhile isn't known. All versions are recorded again, which tells what the store keeps.
	if pause > 2*versionCheckInterval {
		clear(f.versions.recorded)
		clear(f.versions.inherited)
		f.versions.recordedAt = storer.Position{}
	}

	used := make(map[cataloguer.ServiceVersion]bool)
	for upstream := range registry.Upstreams.All() {
		used[upstream.Version()] = true
	}

	var unused []cataloguer.ServiceVersion

	retention := f.versionRetention()

	for version, since := range f.versions.recorded {
		switch {
		case used[version]:
			f.versions.recorded[version] = 0
		case since == 0:
			f.versions.recorded[version] = now
		case now-since >= retention:
			unused = append(unused, version)
		}
	}

	if len(unused) == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	removed, err := f.options.Versions.RemoveVersions(ctx, unused)
	if err != nil {
		f.options.Logger.Warn().Err(err).Int("versions", len(unused)).Msg("software_versions_not_removed")

		return
	}

	for _, version := range removed {
		delete(f.versions.recorded, version)
		delete(f.versions.inherited, version)
	}
}
