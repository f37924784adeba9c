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
	})
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
		counts[router.Pick(route, strconv.Itoa(i))]++
	}

	assert.Assert(t, counts["a"] > 8800 && counts["a"] < 9200, "%v", counts)
	assert.Equal(t, counts["c"], 0)
	assert.Equal(t, router.Pick(route, "same"), router.Pick(route, "same"))
	assert.Equal(t, router.Pick(&cataloguer.Route{}, "none"), "")
}
