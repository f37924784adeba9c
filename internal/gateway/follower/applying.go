package follower

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// applyPull applies a peer's response to a pull that was sent at startedAt. It reports whether more pages follow.
func (f *Follower) applyPull(ctx context.Context, response pullResponse, startedAt time.Duration) (bool, error) {
	catalog := f.options.Catalog
	freshAt := startedAt - response.age()
	more, changed := false, false

	if response.Configuration != nil {
		configuration, complete, err := f.unpackConfiguration(*response.Configuration)
		if err != nil {
			return false, err
		}

		if complete && catalog.ApplyConfiguration(configuration, freshAt) {
			f.logConfiguration("peer", startedAt)

			changed = true
		}

		more = !complete
	}

	catalog.MarkConfigurationFresh(response.Version, freshAt)

	// A registry that is newer than the configuration would hide the changes between them from the next read of the
	// store.
	if catalog.State().Configuration.Version >= response.Version {
		isCurrent, isNew, err := f.applyPulledRegistry(response)
		if err != nil {
			return false, err
		}

		more, changed = more || !isCurrent, changed || isNew

		if registryFreshAt, ok := response.registryFreshAt(freshAt); ok && !catalog.State().Registry.Position.IsBefore(response.Position) {
			catalog.MarkRegistryFresh(registryFreshAt)
		}
	}

	if returned := f.logStoreReturns("peer"); changed || returned {
		f.notifyChildren(ctx)
	}

	return more, nil
}

// applyPulledRegistry applies the registry of a peer's response. It reports whether nothing of it is left to transfer, and whether any entry
// changed.
func (f *Follower) applyPulledRegistry(response pullResponse) (isCurrent, changed bool, err error) {
	catalog := f.options.Catalog
	catalog.AdvanceRegistry(response.Digest, response.Position, response.RetainedUpstreams)

	if response.Registry == nil {
		return true, false, nil
	}

	registry, complete, err := f.unpackRegistry(*response.Registry)
	if err != nil {
		return false, false, err
	}

	// A whole registry may be followed by the changes since it was encoded.
	isCurrent = complete && registry.Digest() == response.Digest
	if isCurrent {
		// The payload may have been encoded at an earlier position at which the peer's registry had the same content.
		registry.Position, registry.RetainedUpstreams = response.Position, response.RetainedUpstreams
	}

	if complete && catalog.ApplyRegistry(registry, false) {
		f.logRegistry("peer")

		changed = true
	}

	return isCurrent, changed, nil
}

// unpackConfiguration adds a page and returns the configuration once it is complete.
func (f *Follower) unpackConfiguration(page payloadPage) (cataloguer.Configuration, bool, error) {
	payload, complete, err := f.assembler.Add(page.Page)
	if err != nil || !complete {
		return cataloguer.Configuration{}, false, err
	}

	if page.Base == 0 {
		var configuration cataloguer.Configuration

		return configuration, true, payload.Unpack(&configuration)
	}

	base := f.options.Catalog.State().Configuration
	if uint64(base.Version) != page.Base {
		// Another response was applied first; the next pull sends the new version.
		return cataloguer.Configuration{}, false, nil
	}

	var delta cataloguer.ConfigurationDelta
	if err := payload.Unpack(&delta); err != nil {
		return cataloguer.Configuration{}, false, err
	}

	return delta.Apply(&base), true, nil
}

// unpackRegistry adds a page and returns the registry once it is complete.
func (f *Follower) unpackRegistry(page payloadPage) (cataloguer.Registry, bool, error) {
	payload, complete, err := f.assembler.Add(page.Page)
	if err != nil || !complete {
		return cataloguer.Registry{}, false, err
	}

	if page.Base == 0 {
		var registry cataloguer.Registry

		return registry, true, payload.Unpack(&registry)
	}

	state := f.options.Catalog.State()
	if state.Digest != page.Base {
		return cataloguer.Registry{}, false, nil
	}

	var delta cataloguer.RegistryDelta
	if err := payload.Unpack(&delta); err != nil {
		return cataloguer.Registry{}, false, err
	}

	return state.Registry.Apply(&delta), true, nil
}

func (f *Follower) logConfiguration(source string, startedAt time.Duration) {
	state := f.options.Catalog.State()
	f.options.Logger.Info().
		Int64("version", state.Configuration.Version).
		Int("routes", len(state.Configuration.Routes)).
		Str("source", source).
		Dur("took_ms", f.options.Catalog.Now()-startedAt).
		Msg("configuration_applied")
}

func (f *Follower) logRegistry(source string) {
	registry := f.options.Catalog.State().Registry
	f.options.Logger.Info().
		Int64("era", registry.Position.Era).
		Int64("revision", registry.Position.Revision).
		Int("upstreams", registry.Upstreams.Len()).
		Int("nodes", registry.Nodes.Len()).
		Str("source", source).
		Msg("registry_applied")
}
