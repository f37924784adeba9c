package follower

import (
	"sync"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/packer"
)

// mostParcels is the number of encoded changes that are kept of a kind: those to the newest state from the few that
// the nodes below this one still have.
const mostParcels = 8

// parcels encodes a catalog's state for peers, once for each state that peers come from. It is safe for concurrent use.
// Its lock goes before that of the catalog.
type parcels struct {
	catalog *cataloguer.Catalog

	mu sync.Mutex
	// configurations and registries are those that lead to version and digest, by the version or digest that they change; 0
	// stands for the whole.
	version        int64
	configurations map[uint64]packer.Payload
	digest         uint64
	registries     map[uint64]packer.Payload
}

func newParcels(catalog *cataloguer.Catalog) *parcels {
	return &parcels{catalog: catalog, configurations: make(map[uint64]packer.Payload), registries: make(map[uint64]packer.Payload)}
}

// configuration returns the parcel that brings a peer to the state's configuration, and the version that it changes; 0 if it is whole.
func (p *parcels) configuration(state *cataloguer.State, from int64) (packer.Payload, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.version != state.Configuration.Version {
		p.version = state.Configuration.Version
		clear(p.configurations)
	}

	if kept, ok := p.configurations[uint64(from)]; ok {
		return kept, uint64(from), nil
	}

	if base, ok := p.catalog.PreviousConfiguration(from); ok {
		if change, ok := state.Configuration.DeltaFrom(base); ok {
			return pack(p.configurations, uint64(from), change)
		}
	}

	return pack(p.configurations, 0, state.Configuration)
}

// registry returns the parcel that brings a peer to the state's registry, and the digest of the one that it changes; 0 if it is whole.
func (p *parcels) registry(state *cataloguer.State, from uint64) (packer.Payload, uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.digest != state.Digest {
		p.digest = state.Digest
		clear(p.registries)
	}

	if kept, ok := p.registries[from]; ok {
		return kept, from, nil
	}

	if base, ok := p.catalog.PreviousRegistry(from); ok {
		if change, ok := state.Registry.DeltaFrom(base); ok {
			return pack(p.registries, from, change)
		}
	}

	return pack(p.registries, 0, state.Registry)
}

// pack encodes a value unless it is kept already.
func pack(kept map[uint64]packer.Payload, base uint64, value any) (packer.Payload, uint64, error) {
	if parcel, ok := kept[base]; ok {
		return parcel, base, nil
	}

	parcel, err := packer.Pack(value)
	if err != nil {
		return packer.Payload{}, 0, err
	}

	if len(kept) >= mostParcels {
		clear(kept)
	}

	kept[base] = parcel

	return parcel, base, nil
}
