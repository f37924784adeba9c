package follower

import (
	"slices"
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

// maxPagedBytes limits the payloads that are kept for peers that are receiving them.
const maxPagedBytes = 4 << 20

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
	// whole is the latest whole registry, encoded at wholeAt. It may be older than digest.
	whole   registryPayload
	wholeAt time.Duration
	// paged holds the latest payloads of several pages, newest first, which peers may be receiving.
	paged []registryPayload
}

// registryPayload is the payload that leads from a base, 0 for none, to the registry with the given digest.
type registryPayload struct {
	packer.Payload
	base, digest uint64
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
// registry. A peer that is receiving the payload with the given ID gets the rest of that one as long as a delta leads on from
// there: during a release the registry changes several times while a slow link transfers it once, and a transfer that began
// anew with each change would not end before the release.
func (p *payloadCache) registry(state *cataloguer.State, from, transferring uint64) (packer.Payload, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, paged := range p.paged {
		if paged.ID == transferring && (paged.base == 0 || paged.base == from) && state.Registry.Remembers(paged.digest) {
			return paged.Payload, paged.base, nil
		}
	}

	if p.digest != state.Digest {
		p.digest = state.Digest
		clear(p.registries)
	}

	if cached, ok := p.registries[from]; ok {
		return cached, from, nil
	}

	if delta, ok := state.Registry.DeltaSince(from); ok {
		payload, base, err := packCached(p.registries, from, delta)
		p.keepPaged(registryPayload{Payload: payload, base: base, digest: state.Digest})

		return payload, base, err
	}

	return p.wholeRegistry(state)
}

func (p *payloadCache) wholeRegistry(state *cataloguer.State) (packer.Payload, uint64, error) {
	now := p.catalog.Now()

	if p.whole.ID != 0 && now-p.wholeAt < wholeRegistryAge && state.Registry.Remembers(p.whole.digest) {
		return p.whole.Payload, 0, nil
	}

	payload, err := packer.Pack(state.Registry)
	if err != nil {
		return packer.Payload{}, 0, err
	}

	p.whole, p.wholeAt = registryPayload{Payload: payload, digest: state.Digest}, now
	p.keepPaged(p.whole)

	return payload, 0, nil
}

// keepPaged keeps a payload of several pages for the peers that will receive it.
func (p *payloadCache) keepPaged(payload registryPayload) {
	if payload.ID == 0 || payload.Page(packer.Progress{}).IsLast() {
		return
	}

	p.paged = slices.Insert(p.paged, 0, payload)
	bytes := 0

	for i, paged := range p.paged {
		if bytes += paged.Size(); bytes > maxPagedBytes && i > 0 {
			p.paged = slices.Clip(p.paged[:i])

			return
		}
	}
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
