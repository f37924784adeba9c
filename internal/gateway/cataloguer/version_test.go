package cataloguer_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

// Guards against the software version of an upstream that is lost on its way between nodes, or kept for an entry that a node of
// an older release sent without one: such an entry is of an unknown version, not of the same.
func TestSoftwareVersionIsPartOfAnEntry(t *testing.T) {
	upstream := cataloguer.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", Slots: 1, SoftwareVersion: "v1"}
	with := cataloguer.NewRegistry(cataloguer.Listing{Position: storer.Position{Revision: 1}, Upstreams: []cataloguer.Upstream{upstream}})

	upstream.SoftwareVersion = ""
	without := cataloguer.NewRegistry(cataloguer.Listing{Position: storer.Position{Revision: 2}, Upstreams: []cataloguer.Upstream{upstream}})

	assert.Assert(t, with.Digest() != without.Digest())

	for name, test := range map[string]struct {
		from, to cataloguer.Registry
		want     string
	}{
		"comes": {from: without, to: with, want: "v1"},
		"goes":  {from: with, to: without, want: ""},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := json.Marshal(test.to.DeltaFrom(&test.from))
			assert.NilError(t, err)

			var delta cataloguer.RegistryDelta
			assert.NilError(t, json.Unmarshal(data, &delta))

			got := test.from.Apply(&delta)
			entry, ok := got.Upstreams.Get("u")
			assert.Assert(t, ok)
			assert.Equal(t, entry.SoftwareVersion, test.want)
			assert.Equal(t, got.Digest(), test.to.Digest())
		})
	}

	catalog := cataloguer.New(func() time.Duration { return 0 })
	catalog.ApplyRegistry(with, false)
	catalog.ApplyRegistry(without, false)

	entry, _ := catalog.State().Registry.Upstreams.Get("u")
	assert.Equal(t, entry.SoftwareVersion, "")

	var decoded cataloguer.Registry

	data, err := json.Marshal(with)
	assert.NilError(t, err)
	assert.NilError(t, decoded.DecodeStream(json.NewDecoder(strings.NewReader(string(data)))))
	assert.Equal(t, decoded.Digest(), with.Digest())
}
