package follower

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// take takes in a peer's answer to a question that was sent at begun. It reports whether more of it is to come.
func (f *Follower) take(ctx context.Context, answer pullAnswer, begun time.Duration) (bool, error) {
	catalog := f.options.Catalog
	at := begun - answer.age()
	more, changed := false, false

	if answer.Configuration != nil {
		configuration, whole, err := f.unpackConfiguration(*answer.Configuration)
		if err != nil {
			return false, err
		}

		if whole && catalog.ApplyConfiguration(configuration, at) {
			f.logConfiguration("peer", begun)

			changed = true
		}

		more = !whole
	}

	catalog.MarkConfigurationFresh(answer.Version, at)

	// A registry that is newer than the configuration would hide the changes between them from the next read of the store.
	if catalog.State().Configuration.Version >= answer.Version {
		catalog.AdvanceRegistryRevision(answer.Digest, answer.Revision, answer.Kept)

		if answer.Registry != nil {
			registry, whole, err := f.unpackRegistry(*answer.Registry)
			if err != nil {
				return false, err
			}

			// The parcel may be from an earlier time at which the peer's registry held the same.
			registry.Revision, registry.RetainedUpstreams = answer.Revision, answer.Kept

			if whole && catalog.ApplyRegistry(registry, false) {
				f.logRegistry("peer")

				changed = true
			}

			more = more || !whole
		}

		if provenAt, ok := answer.registryProvenAt(at); ok && catalog.State().Registry.Revision >= answer.Revision {
			catalog.MarkRegistryFresh(provenAt)
		}
	}

	if changed {
		f.spread(ctx)
	}

	return more, nil
}

// unpackConfiguration takes in a page; it returns the configuration once that is whole.
func (f *Follower) unpackConfiguration(page offer) (cataloguer.Configuration, bool, error) {
	parcel, whole, err := f.pages.Add(page.Page)
	if err != nil || !whole {
		return cataloguer.Configuration{}, false, err
	}

	if page.Base == 0 {
		var configuration cataloguer.Configuration

		return configuration, true, parcel.Unpack(&configuration)
	}

	base := f.options.Catalog.State().Configuration
	if uint64(base.Version) != page.Base {
		// Another answer was faster; the next question says so.
		return cataloguer.Configuration{}, false, nil
	}

	var change cataloguer.ConfigurationDelta
	if err := parcel.Unpack(&change); err != nil {
		return cataloguer.Configuration{}, false, err
	}

	return change.Apply(&base), true, nil
}

// unpackRegistry takes in a page; it returns the registry once that is whole.
func (f *Follower) unpackRegistry(page offer) (cataloguer.Registry, bool, error) {
	parcel, whole, err := f.pages.Add(page.Page)
	if err != nil || !whole {
		return cataloguer.Registry{}, false, err
	}

	if page.Base == 0 {
		var registry cataloguer.Registry

		return registry, true, parcel.Unpack(&registry)
	}

	state := f.options.Catalog.State()
	if state.Digest != page.Base {
		return cataloguer.Registry{}, false, nil
	}

	var change cataloguer.RegistryDelta
	if err := parcel.Unpack(&change); err != nil {
		return cataloguer.Registry{}, false, err
	}

	return change.Apply(&state.Registry), true, nil
}
