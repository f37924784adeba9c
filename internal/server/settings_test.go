package server

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/http/httptest"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/drainer"
)

// organisationsOf returns organisations whose keys are "key-0", "key-1" and so on.
func organisationsOf(count int) map[string]configurer.Organisation {
	made := make(map[string]configurer.Organisation)

	for i := range count {
		sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", i))
		name := fmt.Sprintf("organisation-%d", i)
		made[name] = configurer.Organisation{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1}
	}

	return made
}

// Symptom: a key that operators took back still opens a node, or a new one doesn't.
// Sequence: a set of organisations changes while the others, and the number of sets, stay.
// Cause: the index of keys is kept although one of the maps that it was made of is another.
func TestKeysFollowTheOrganisations(t *testing.T) {
	holder := newSettingsHolder(configurer.Snapshot{}, drainer.NewLeavingUpstreams())
	base, shared, own := organisationsOf(2), organisationsOf(3), organisationsOf(4)
	request := httptest.NewRequest("GET", "/", nil)
	request.Header.Set("Authorization", "Bearer key-3")

	for i, want := range []map[string]configurer.Organisation{own, shared, own, own, shared, maps.Clone(shared)} {
		holder.set(configurer.Snapshot{Revision: int64(i), Services: map[string]configurer.Service{
			"a": {Organisations: base}, "b": {Organisations: want},
		}})

		_, failure := holder.authenticate(request)
		assert.Equal(t, failure == nil, len(want) == 4, "step %d", i)
	}
}

// BenchmarkSettingsView puts a tree of the size to design for in force after a change of one service.
func BenchmarkSettingsView(b *testing.B) {
	organisations := organisationsOf(1100)
	snapshot := configurer.Snapshot{Services: make(map[string]configurer.Service)}

	for i := range 110 {
		upstreams := make(map[string]configurer.Upstream)
		for k := range 34 {
			name := fmt.Sprintf("server-%d-%d", i, k)
			upstreams[name] = configurer.Upstream{Name: name, Address: "http://10.0.0.1:" + name}
		}

		name := fmt.Sprintf("service-%d", i)
		snapshot.Services[name] = configurer.Service{Name: name, Organisations: organisations, Upstreams: upstreams}
	}

	node, _ := newTestNode(b)
	node.applyTree(snapshot)

	view := newSettingsHolder(configurer.Snapshot{}, drainer.NewLeavingUpstreams())
	held := heapInUse()
	view.set(snapshot)

	held = heapInUse() - held

	for b.Loop() {
		snapshot.Services = maps.Clone(snapshot.Services)
		changed := snapshot.Services["service-7"]
		changed.Upstreams = maps.Clone(changed.Upstreams)
		snapshot.Services["service-7"] = changed

		node.applyTree(snapshot)
	}

	runtime.KeepAlive(view)
	b.ReportMetric(float64(held)/1e3, "held_KB")
}

func heapInUse() int64 {
	var memory runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&memory)

	return int64(memory.HeapAlloc)
}
