package follower

import (
	"sync"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/packer"
)

// maxCachedPayloads limits the cached payloads of each kind: deltas to the newest state from the few states that the
// nodes below this one still have.
const maxCachedPayloads = 8

// wholeRegistryAge is how long a node begins to send the same whole registry, followed by what changed since.
const wholeRegistryAge = 2 * time.Second

// payloadCache encodes a catalog's state for peers, once for each state from which peers update. It is safe for
// concurrent use. Its lock is acquired before the catalog's.
type payloadCache struct {
	catalog *cataloguer.Catalog

	mu sync.Mutex
	// configurations and registries hold the payloads that lead to version and digest, keyed by the base version or
	// digest; 0 is the key of the full state.
	version        int64
	configurations map[uint64]packer.Payload
	digest         uint64
	registries     map[uint64]packer.Payload
	// whole and formerWhole are the latest whole registries. They may be older than digest.
	whole, formerWhole wholeRegistry
}

// wholeRegistry is the payload of a whole registry.
type wholeRegistry struct {
	payload  packer.Payload
	digest   uint64
	packedAt time.Duration
}

func newPayloadCache(catalog *cataloguer.Catalog) *payloadCache {
	return &payloadCache{catalog: catalog, configurations: make(map[uint64]packer.Payload), registries: make(map[uint64]packer.Payload)}
}

// configuration returns the payload that updates a peer to the state's configuration, and its base version; 0 if it
// is the full configuration.
func (p *payloadCache) configuration(state *cataloguer.State, from int64) (packer.Payload, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.version != state.Configuration.Version {
		p.version = state.Configuration.Version
		clear(p.configurations)
	}

	if cached, ok := p.configurations[uint64(from)]; ok {
		return cached, uint64(from), nil
	}

	if base, ok := p.catalog.PreviousConfiguration(from); ok {
		if delta, ok := state.Configuration.DeltaFrom(base); ok {
			return packCached(p.configurations, uint64(from), delta)
		}
	}

	return packCached(p.configurations, 0, state.Configuration)
}

// registry returns the payload that updates a peer to the state's registry, and its base digest; 0 if it is a whole
// registry. If the peer is receiving the whole registry with the given payload ID, it gets the rest of that one as long as a
// delta leads on from there: during a release the registry changes several times while a slow link transfers it once.
func (p *payloadCache) registry(state *cataloguer.State, from, transferring uint64) (packer.Payload, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.digest != state.Digest {
		p.digest = state.Digest
		clear(p.registries)
	}

	if cached, ok := p.registries[from]; ok {
		return cached, from, nil
	}

	if delta, ok := state.Registry.DeltaSince(from); ok {
		return packCached(p.registries, from, delta)
	}

	return p.wholeRegistry(state, transferring)
}

func (p *payloadCache) wholeRegistry(state *cataloguer.State, transferring uint64) (packer.Payload, uint64, error) {
	now := p.catalog.Now()

	if p.formerWhole.payload.ID == transferring && p.formerWhole.leadsTo(state) {
		return p.formerWhole.payload, 0, nil
	}

	if p.whole.leadsTo(state) && (p.whole.payload.ID == transferring || now-p.whole.packedAt < wholeRegistryAge) {
		return p.whole.payload, 0, nil
	}

	payload, err := packer.Pack(state.Registry)
	if err != nil {
		return packer.Payload{}, 0, err
	}

	p.formerWhole, p.whole = p.whole, wholeRegistry{payload: payload, digest: state.Digest, packedAt: now}

	return payload, 0, nil
}

// leadsTo reports whether a peer that receives this registry can update from it to the state.
func (w *wholeRegistry) leadsTo(state *cataloguer.State) bool {
	if w.payload.ID == 0 {
		return false
	}

	_, ok := state.Registry.DeltaSince(w.digest)

	return ok
}

// packCached returns the cached payload for base, or encodes and caches value.
func packCached(cache map[uint64]packer.Payload, base uint64, value any) (packer.Payload, uint64, error) {
	if payload, ok := cache[base]; ok {
		return payload, base, nil
	}

	payload, err := packer.Pack(value)
	if err != nil {
		return packer.Payload{}, 0, err
	}

	if len(cache) >= maxCachedPayloads {
		clear(cache)
	}

	cache[base] = payload

	return payload, base, nil
}
