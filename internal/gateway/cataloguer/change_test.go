package cataloguer_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

func drawConfiguration(t *rapid.T, version int64) cataloguer.Configuration {
	configuration := cataloguer.Configuration{Version: version, Limits: cataloguer.Limits{BodyBytes: rapid.Int64Range(0, 3).Draw(t, "body")}}

	for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
		if rapid.Bool().Draw(t, "route") {
			configuration.Routes = append(configuration.Routes, cataloguer.Route{
				Name: fmt.Sprint("r", i), Timeout: time.Duration(rapid.IntRange(1, 2).Draw(t, "timeout")),
				Shares: []cataloguer.Share{{Service: "s", Weight: rapid.IntRange(0, 1).Draw(t, "weight")}},
			})
		}
	}

	for i := range rapid.IntRange(0, 4).Draw(t, "organisations") {
		if rapid.Bool().Draw(t, "organisation") {
			configuration.Organisations = append(configuration.Organisations, cataloguer.Organisation{
				Name: fmt.Sprint("o", i), Keys: rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 0, 2).Draw(t, "keys"),
			})
		}
	}

	return configuration
}

func sorted(configuration cataloguer.Configuration) cataloguer.Configuration {
	configuration.Routes = slices.SortedFunc(slices.Values(configuration.Routes), func(a, b cataloguer.Route) int { return strings.Compare(a.Name, b.Name) })
	configuration.Organisations = slices.SortedFunc(slices.Values(configuration.Organisations), func(a, b cataloguer.Organisation) int {
		return strings.Compare(a.Name, b.Name)
	})

	return configuration
}

func TestChangesLeadToTheNewerConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		older, newer := drawConfiguration(t, 1), drawConfiguration(t, 2)
		before := fmt.Sprint(older)

		change, ok := newer.DeltaFrom(&older)
		assert.Assert(t, ok)
		got := change.Apply(&older)

		assert.DeepEqual(t, sorted(got), sorted(newer))
		assert.Equal(t, fmt.Sprint(older), before, "the base was modified")
	})
}

// Two routes have the same name and operators remove one of them. A delta identifies entries by name and can't
// express this, so the full configuration must be sent, or a node keeps serving the removed route.
func TestEntriesOfTheSameNameAreToldWhole(t *testing.T) {
	older := cataloguer.Configuration{Version: 1, Routes: []cataloguer.Route{{Name: "r", Host: "a"}, {Name: "r", Host: "b"}}}
	newer := cataloguer.Configuration{Version: 2, Routes: []cataloguer.Route{{Name: "r", Host: "a"}}}

	_, ok := newer.DeltaFrom(&older)
	assert.Assert(t, !ok)
}

func TestEarlierConfigurationsAreKeptForAWhile(t *testing.T) {
	c := cataloguer.New(func() time.Duration { return time.Hour })

	for version := range int64(10) {
		c.ApplyConfiguration(cataloguer.Configuration{Version: version + 1}, 0)
	}

	_, kept := c.PreviousConfiguration(1)
	assert.Assert(t, !kept)

	former, kept := c.PreviousConfiguration(9)
	assert.Assert(t, kept)
	assert.Equal(t, former.Version, int64(9))
}

// A node reads its registry at revision 10, which is still current at revision 20; a peer offers one of revision 15.
// If the node keeps revision 10 for its unchanged registry, it reverts to an upstream's earlier entry.
func TestConfirmedRegistryIsNotReplacedByAnOlderOne(t *testing.T) {
	c := cataloguer.New(func() time.Duration { return time.Hour })
	c.ApplyRegistry(registry(10, "new"), false)

	state := c.State()
	c.AdvanceRegistry(state.Digest, storer.Position{Revision: 20}, 0)
	c.ApplyRegistry(registry(15, "old"), false)

	assert.DeepEqual(t, ids(c), []string{"new"})
	assert.Equal(t, c.State().Registry.Position.Revision, int64(20))
}
