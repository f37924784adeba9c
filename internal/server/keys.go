package server

import (
	"maps"
	"reflect"
	"slices"

	"quincepath.example/quincepath/internal/configurer"
)

// keyIndex finds organisations by their bearer keys. It is immutable.
//
// Services that inherit their organisations share one map, so each map is gone through
// once: by service it would be 121,000 pairs at each change at the size to design for.
type keyIndex struct {
	// sets holds the maps of organisations that the index was made of, by their identity. It
	// keeps them alive: the identity of one that is gone could be given to another map.
	sets map[uintptr]map[string]configurer.Organisation
	// organisations maps the hash of each bearer key to the name of its organisation.
	organisations map[string]string
}

// of returns the index of a snapshot: k itself, which may be nil, while the organisations are the same.
func (k *keyIndex) of(snapshot configurer.Snapshot) *keyIndex {
	made := &keyIndex{sets: make(map[uintptr]map[string]configurer.Organisation), organisations: make(map[string]string)}

	for _, service := range snapshot.Services {
		made.sets[reflect.ValueOf(service.Organisations).Pointer()] = service.Organisations
	}

	if k != nil && slices.Equal(slices.Sorted(maps.Keys(made.sets)), slices.Sorted(maps.Keys(k.sets))) {
		return k
	}

	for _, set := range made.sets {
		for name, organisation := range set {
			for _, hash := range organisation.KeyHashes {
				made.organisations[hash] = name
			}
		}
	}

	return made
}
