package follower

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/packer"
)

// MethodPull asks a peer for what it knows beyond the asker's versions.
const MethodPull = "catalog.pull"

// pullParams are what the asker knows.
type pullParams struct {
	Version int64 `json:"version"`
	// Revision, Kept and Digest are those of the asker's registry.
	Revision int64  `json:"revision"`
	Kept     int    `json:"kept,omitempty"`
	Digest   uint64 `json:"digest,omitempty"`
	// Held is what the asker has of a parcel that is coming in pages.
	Held packer.Progress `json:"held,omitzero"`
}

// offer is a page of a parcel.
type offer struct {
	// Base is the version or digest that the parcel changes; 0 if it is whole.
	Base uint64 `json:"base,omitempty"`
	packer.Page
}

// pullAnswer is what the peer knows beyond that.
type pullAnswer struct {
	// Version is the peer's; AgeMS the age of its proof, negative without one.
	Version int64 `json:"version"`
	AgeMS   int64 `json:"age_ms"`
	// Reader is the node that read that proof from the store.
	Reader string `json:"reader,omitempty"`
	// Revision, Kept and Digest are those of the peer's registry.
	Revision int64  `json:"revision,omitempty"`
	Kept     int    `json:"kept,omitempty"`
	Digest   uint64 `json:"digest,omitempty"`
	// RegistryLagMS is by how much the proof of the registry is older than AgeMS; negative without one.
	RegistryLagMS int64 `json:"registry_lag_ms,omitempty"`
	// Configuration goes before Registry: that one is left out until the first has come whole, since keys and
	// routes bind more than upstreams that come.
	Configuration *offer `json:"configuration,omitempty"`
	Registry      *offer `json:"registry,omitempty"`
}

// age is that of the peer's proof; there must be one.
func (a *pullAnswer) age() time.Duration {
	return time.Duration(a.AgeMS) * time.Millisecond
}

// registryProvenAt is when the peer's registry had all that stood in the store, by the clock of an asker for which its proof
// of the configuration is from the given time; false if that isn't known.
func (a *pullAnswer) registryProvenAt(proven time.Duration) (time.Duration, bool) {
	return proven - time.Duration(a.RegistryLagMS)*time.Millisecond, a.RegistryLagMS >= 0
}

// registryLag returns the value of RegistryLagMS.
func registryLag(catalog *cataloguer.Catalog) int64 {
	age, known := catalog.ConfigurationAge()
	registryAge, registryKnown := catalog.RegistryAge()

	if !known || !registryKnown {
		return -1
	}

	return max(registryAge.Milliseconds()+1-age.Milliseconds(), 0)
}

// HandlePull answers MethodPull.
func (f *Follower) HandlePull(_ context.Context, asker string, params json.RawMessage) (any, error) {
	var asked pullParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}

	// The age is read first: what is known then can only be newer.
	answer := pullAnswer{AgeMS: -1}
	if age, known := f.options.Catalog.ConfigurationAge(); known {
		answer.AgeMS = age.Milliseconds() + 1
	}

	answer.RegistryLagMS = registryLag(f.options.Catalog)

	f.mu.Lock()
	answer.Reader = f.reader
	f.mu.Unlock()

	state := f.options.Catalog.State()
	answer.Version = state.Configuration.Version
	answer.Revision, answer.Kept, answer.Digest = state.Registry.Revision, state.Registry.RetainedUpstreams, state.Digest

	if state.Configuration.Version > asked.Version {
		parcel, base, err := f.parcels.configuration(state, asked.Version)
		if err != nil {
			return nil, errors.Wrap(err, "pack the configuration")
		}

		answer.Configuration = &offer{Base: base, Page: parcel.Page(asked.Held)}
	}

	if state.Configuration.Version < asked.Version {
		// A seed that the store turns away at its start knows nobody yet: it learns from those that ask it.
		f.askNext(asker)
		f.wakeUp()
	}

	configured := answer.Configuration == nil || answer.Configuration.IsLast()

	if configured && state.Digest != asked.Digest && state.Registry.IsNewerThan(asked.Revision, asked.Kept) {
		parcel, base, err := f.parcels.registry(state, asked.Digest)
		if err != nil {
			return nil, errors.Wrap(err, "pack the registry")
		}

		answer.Registry = &offer{Base: base, Page: parcel.Page(asked.Held)}
	}

	return answer, nil
}
