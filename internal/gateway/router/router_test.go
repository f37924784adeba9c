package router_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/router"
)

func newTable() *router.Table {
	first := 0

	return router.New(cataloguer.Configuration{
		Version: 4,
		Routes: []cataloguer.Route{
			{Name: "all", Host: "Chat.Example", PathPrefix: "/"},
			{Name: "notes", Host: "chat.example", PathPrefix: "/notes/"},
			{Name: "old-notes", Host: "chat.example", PathPrefix: "/notes/old/"},
			{Name: "other", Host: "desk.example", PathPrefix: "/notes/", Anonymous: true},
		},
		Organisations: []cataloguer.Organisation{
			{Name: "salon", Keys: []string{"key-1", "key-2"}, Priority: &first},
			{Name: "desk", Keys: []string{"key-3"}},
		},
	}, nil)
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := newTable()

	for _, c := range []struct{ host, path, want string }{
		{"chat.example", "/notes/old/7", "old-notes"},
		{"chat.example", "/notes/7", "notes"},
		{"CHAT.example:8080", "/notes", "all"},
		{"desk.example", "/notes/old/7", "other"},
		{"desk.example", "/else", ""},
		{"nobody.example", "/notes/", ""},
	} {
		route, ok := table.Route(c.host, c.path)
		assert.Equal(t, ok, c.want != "", "%s%s", c.host, c.path)

		if ok {
			assert.Equal(t, route.Name, c.want, "%s%s", c.host, c.path)
		}
	}
}

func TestKeysBelongToOrganisations(t *testing.T) {
	table := newTable()

	organisation, ok := table.Organisation("key-2")
	assert.Assert(t, ok)
	assert.Equal(t, organisation.Name, "salon")

	_, ok = table.Organisation("")
	assert.Assert(t, !ok)

	route, _ := table.Route("chat.example", "/notes/")
	assert.Assert(t, table.NeedsKey(route))

	route, _ = table.Route("desk.example", "/notes/")
	assert.Assert(t, !table.NeedsKey(route))
}

func TestServicesAreChosenByWeight(t *testing.T) {
	route := &cataloguer.Route{Shares: []cataloguer.Share{{Service: "a", Weight: 900}, {Service: "b", Weight: 100}, {Service: "c"}}}
	counts := map[string]int{}

	for i := range 10000 {
		counts[router.PickService(route, strconv.Itoa(i))]++
	}

	assert.Assert(t, counts["a"] > 8800 && counts["a"] < 9200, "%v", counts)
	assert.Equal(t, counts["c"], 0)
	assert.Equal(t, router.PickService(route, "same"), router.PickService(route, "same"))
	assert.Equal(t, router.PickService(&cataloguer.Route{}, "none"), "")
}

// Every organisation has a priority, and chats and drafts come from the same one. If the organisation's priority
// replaced the route's, both would have the same rank, and engines would preempt chats while long drafts run on.
func TestRankGoesByRouteThenOrganisation(t *testing.T) {
	first, second := 0, 1
	chat, draft := cataloguer.Route{Name: "chat", Priority: 0}, cataloguer.Route{Name: "draft", Priority: 2}
	large, small := cataloguer.Organisation{Name: "large", Priority: &first}, cataloguer.Organisation{Name: "small", Priority: &second}
	none := cataloguer.Organisation{Name: "none"}
	table := router.New(cataloguer.Configuration{
		Routes:        []cataloguer.Route{chat, draft},
		Organisations: []cataloguer.Organisation{small, large, none},
	}, nil)

	assert.Equal(t, table.Rank(&chat, &large), router.Rank{Priority: 0, OrganisationRank: 0, EngineRank: 0})
	assert.Equal(t, table.Rank(&chat, &small), router.Rank{Priority: 0, OrganisationRank: 1, EngineRank: 1})
	assert.Equal(t, table.Rank(&draft, &large), router.Rank{Priority: 1, OrganisationRank: 0, EngineRank: 2})
	assert.Equal(t, table.Rank(&draft, &small), router.Rank{Priority: 1, OrganisationRank: 1, EngineRank: 3})
	assert.Equal(t, table.Rank(&chat, &none).EngineRank, 1)
	assert.Equal(t, table.Rank(&draft, nil).EngineRank, 3)
}

func TestRanksFitEnginesWhereThereAreMany(t *testing.T) {
	configuration := cataloguer.Configuration{}

	for i := range 6 {
		configuration.Routes = append(configuration.Routes, cataloguer.Route{Priority: i})
		configuration.Organisations = append(configuration.Organisations, cataloguer.Organisation{Priority: &configuration.Routes[i].Priority})
	}

	table := router.New(configuration, nil)
	last := 0

	for i := range configuration.Routes {
		for j := range configuration.Organisations {
			rank := table.Rank(&configuration.Routes[i], &configuration.Organisations[j]).EngineRank
			assert.Assert(t, rank >= last && rank < router.EngineRanks, "rank %d after %d", rank, last)
			last = rank
		}
	}

	assert.Equal(t, last, router.EngineRanks-1)
}
