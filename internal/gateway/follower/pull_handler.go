package follower

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/packer"
	"quincepath.example/quincepath/internal/storer"
)

// MethodPull requests what a peer knows beyond the caller's versions.
const MethodPull = "catalog.pull"

// pullParams describes the caller's state.
type pullParams struct {
	Version int64 `json:"version"`
	// Position, RetainedUpstreams and Digest describe the caller's registry. A node of an older release names no era.
	storer.Position

	RetainedUpstreams int    `json:"kept,omitempty"`
	Digest            uint64 `json:"digest,omitempty"`
	// Progress is how much the caller has of a payload that is transferred in pages.
	Progress packer.Progress `json:"held,omitzero"`
	// IsWitness asks for no more than InTouchMS and Departures.
	IsWitness bool `json:"witness,omitempty"`
	// Departures are upstreams that the peer retains and that the caller has seen leave.
	Departures []cataloguer.Departure `json:"departures,omitempty"`
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
	// Position, RetainedUpstreams and Digest describe the peer's registry. A node of an older release names no era.
	storer.Position

	RetainedUpstreams int    `json:"kept,omitempty"`
	Digest            uint64 `json:"digest,omitempty"`
	// RegistryLagMS is by how much the age of the registry exceeds AgeMS; negative if either is unknown.
	RegistryLagMS int64 `json:"registry_lag_ms,omitempty"`
	// Configuration takes precedence: Registry is omitted until the configuration is complete, since current keys and
	// routes matter more than new upstreams.
	Configuration *payloadPage `json:"configuration,omitempty"`
	Registry      *payloadPage `json:"registry,omitempty"`
	// RetryMS is set if the caller gets nothing now: it should not ask again before, unless it is invited. Waiting is the
	// number of nodes that wait for this peer.
	RetryMS int64 `json:"retry_ms,omitempty"`
	Waiting int   `json:"waiting,omitempty"`
	// InTouchMS is for how long the store is known to have answered all the while, up to now; 0 if it didn't, or if that is unknown. A
	// witness sends it.
	InTouchMS int64 `json:"in_touch_ms,omitempty"`
	// AbsentNodes is the number of listed nodes that the peer knows to be dead or leaving.
	AbsentNodes int `json:"absent_nodes,omitempty"`
	// Departures are upstreams that were removed lately. They come with the first page of a whole registry and from a witness.
	Departures []cataloguer.Departure `json:"departures,omitempty"`
	// Delegated are waiting nodes that the caller should send the state to, which it has now.
	Delegated []string `json:"delegated,omitempty"`
}

// milliseconds returns a duration that a peer sent. One that is too long for a time.Duration would become negative, and an age a time to
// come.
func milliseconds(count int64) time.Duration {
	return time.Duration(min(count, math.MaxInt64/int64(2*time.Millisecond))) * time.Millisecond
}

// age returns the age of the peer's configuration. AgeMS must not be negative.
func (a *pullResponse) age() time.Duration {
	return milliseconds(a.AgeMS)
}

// registryFreshAt returns the time as of which the peer's registry was complete, by the clock of a caller for which
// the peer's configuration is fresh as of configurationFreshAt; false if it is unknown.
func (a *pullResponse) registryFreshAt(configurationFreshAt time.Duration) (time.Duration, bool) {
	return configurationFreshAt - milliseconds(a.RegistryLagMS), a.RegistryLagMS >= 0
}

// describe sets the fields for the versions and ages of a state.
func (a *pullResponse) describe(state *cataloguer.State) {
	a.Version = state.Configuration.Version
	a.Position, a.RetainedUpstreams, a.Digest = state.Registry.Position, state.Registry.RetainedUpstreams, state.Digest
	a.AgeMS, a.RegistryLagMS = -1, -1

	age, known := state.ConfigurationFreshness.Age()
	if !known {
		return
	}

	a.AgeMS = age.Milliseconds() + 1

	if registryAge, known := state.RegistryFreshness.Age(); known {
		a.RegistryLagMS = max(registryAge.Milliseconds()+1-age.Milliseconds(), 0)
	}
}

// HandlePull answers MethodPull.
func (f *Follower) HandlePull(_ context.Context, peer string, params json.RawMessage) (any, error) {
	var request pullParams
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}

	state := f.options.Catalog.State()

	var response pullResponse

	response.describe(state)

	if request.IsWitness {
		f.testify(&response)

		return &response, nil
	}

	f.options.Catalog.AddDepartures(request.Departures)

	t := f.tree()

	f.mu.Lock()
	response.Reader, response.AbsentNodes = f.reader, f.absentNodesLocked(t)
	f.mu.Unlock()

	if state.Configuration.Version < request.Version || state.Registry.Position.IsOfEarlierHistory(request.Position) {
		// The caller knows of a return of the store that this node has missed, or a seed that the store rejects at its start knows no peers yet, so it pulls from those that contact it.
		f.setNextPeer(peer)
		f.wakeLoop()
	}

	return &response, f.addPayloads(&response, state, peer, request)
}

// addPayloads adds the next page of what the peer lacks to the response, or turns the peer away.
func (f *Follower) addPayloads(response *pullResponse, state *cataloguer.State, peer string, request pullParams) error {
	if !state.HasConfiguration() && request.Version == 0 {
		f.turnAway(response, peer)

		return nil
	}

	if state.Configuration.Version > request.Version {
		payload, base, err := f.payloads.configuration(state, request.Version)
		if err != nil {
			return errors.Wrap(err, "pack configuration")
		}

		if response.Configuration = f.nextPage(payload, base, peer, request.Progress); response.Configuration == nil {
			f.turnAway(response, peer)

			return nil
		}

		if !response.Configuration.IsLast() {
			return nil
		}
	}

	if state.Digest == request.Digest || !state.Registry.IsNewerThan(request.Position, request.RetainedUpstreams) {
		f.finishTransfer(response, peer, false)

		return nil
	}

	known := request.Digest
	if !request.IsKnown() {
		known = 0
	}

	payload, base, err := f.payloads.registry(state, known, request.Progress.ID)
	if err != nil {
		return errors.Wrap(err, "pack registry")
	}

	if response.Registry = f.nextPage(payload, base, peer, request.Progress); response.Registry == nil {
		if response.Configuration == nil {
			f.turnAway(response, peer)
		}

		return nil
	}

	if base == 0 && response.Registry.Offset == 0 {
		response.Departures = f.options.Catalog.Departures()
	}

	if response.Registry.IsLast() {
		f.finishTransfer(response, peer, base == 0)
	}

	return nil
}

// nextPage returns the next page of a payload for the peer, or nil if the payload is a whole state and too many peers are
// receiving one.
func (f *Follower) nextPage(payload packer.Payload, base uint64, peer string, progress packer.Progress) *payloadPage {
	page := &payloadPage{Base: base, Page: payload.Page(progress)}
	if base != 0 || page.Offset == 0 && page.IsLast() {
		return page
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if !f.transfers.admit(peer, page.Offset > 0, f.options.Catalog.Now()) {
		return nil
	}

	return page
}

// turnAway tells the peer to come back later or to ask others.
func (f *Follower) turnAway(response *pullResponse, peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	response.RetryMS = f.transfers.turnAway(peer, f.options.Catalog.Now()).Milliseconds()
	response.Waiting = len(f.transfers.waiting)
	f.counters.TurnedAway++
}

// finishTransfer records that the peer has what it needs, and leaves waiting nodes to it if it received the whole state.
func (f *Follower) finishTransfer(response *pullResponse, peer string, received bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	response.Delegated = f.transfers.finish(peer, received)

	if len(f.transfers.waiting) > 0 {
		f.wakeLoop()
	}
}
