package follower

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/packer"
)

// MethodPull requests what a peer knows beyond the caller's versions.
const MethodPull = "catalog.pull"

// pullParams describes the caller's state.
type pullParams struct {
	Version int64 `json:"version"`
	// Revision, RetainedUpstreams and Digest describe the caller's registry.
	Revision          int64  `json:"revision"`
	RetainedUpstreams int    `json:"kept,omitempty"`
	Digest            uint64 `json:"digest,omitempty"`
	// Progress is how much the caller has of a payload that is transferred in pages.
	Progress packer.Progress `json:"held,omitzero"`
}

// payloadPage is a page of a payload with its base.
type payloadPage struct {
	// Base is the version or digest to which the delta applies; 0 if the payload is the full state.
	Base uint64 `json:"base,omitempty"`
	packer.Page
}

// pullResponse is what the peer knows beyond the caller's versions.
type pullResponse struct {
	// Version is the version of the peer's configuration, AgeMS its age; negative if it was never confirmed.
	Version int64 `json:"version"`
	AgeMS   int64 `json:"age_ms"`
	// Reader is the node that read this state from the store.
	Reader string `json:"reader,omitempty"`
	// Revision, RetainedUpstreams and Digest describe the peer's registry.
	Revision          int64  `json:"revision,omitempty"`
	RetainedUpstreams int    `json:"kept,omitempty"`
	Digest            uint64 `json:"digest,omitempty"`
	// RegistryLagMS is by how much the age of the registry exceeds AgeMS; negative if either is unknown.
	RegistryLagMS int64 `json:"registry_lag_ms,omitempty"`
	// Configuration takes precedence: Registry is omitted until the configuration is complete, since current keys and
	// routes matter more than new upstreams.
	Configuration *payloadPage `json:"configuration,omitempty"`
	Registry      *payloadPage `json:"registry,omitempty"`
}

// age returns the age of the peer's configuration. AgeMS must not be negative.
func (a *pullResponse) age() time.Duration {
	return time.Duration(a.AgeMS) * time.Millisecond
}

// registryFreshAt returns the time as of which the peer's registry was complete, by the clock of a caller for which
// the peer's configuration is fresh as of configurationFreshAt; false if it is unknown.
func (a *pullResponse) registryFreshAt(configurationFreshAt time.Duration) (time.Duration, bool) {
	return configurationFreshAt - time.Duration(a.RegistryLagMS)*time.Millisecond, a.RegistryLagMS >= 0
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
func (f *Follower) HandlePull(_ context.Context, peer string, params json.RawMessage) (any, error) {
	var request pullParams
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}

	// The age is read before the state, so that the state can only be newer than the age says.
	response := pullResponse{AgeMS: -1}
	if age, known := f.options.Catalog.ConfigurationAge(); known {
		response.AgeMS = age.Milliseconds() + 1
	}

	response.RegistryLagMS = registryLag(f.options.Catalog)

	f.mu.Lock()
	response.Reader = f.reader
	f.mu.Unlock()

	state := f.options.Catalog.State()
	response.Version = state.Configuration.Version
	response.Revision, response.RetainedUpstreams, response.Digest = state.Registry.Revision, state.Registry.RetainedUpstreams, state.Digest

	if state.Configuration.Version > request.Version {
		payload, base, err := f.payloads.configuration(state, request.Version)
		if err != nil {
			return nil, errors.Wrap(err, "pack configuration")
		}

		response.Configuration = &payloadPage{Base: base, Page: payload.Page(request.Progress)}
	}

	if state.Configuration.Version < request.Version {
		// A seed that the store rejects at its start knows no peers yet, so it pulls from those that contact it.
		f.setNextPeer(peer)
		f.wakeLoop()
	}

	hasConfiguration := response.Configuration == nil || response.Configuration.IsLast()

	if hasConfiguration && state.Digest != request.Digest && state.Registry.IsNewerThan(request.Revision, request.RetainedUpstreams) {
		payload, base, err := f.payloads.registry(state, request.Digest)
		if err != nil {
			return nil, errors.Wrap(err, "pack registry")
		}

		response.Registry = &payloadPage{Base: base, Page: payload.Page(request.Progress)}
	}

	return response, nil
}
