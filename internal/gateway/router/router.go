// Package router finds the route and the organisation of a request.
//
// A Table is immutable and built from a single configuration, so that a request
// is never handled by parts of two versions.
package router

import (
	"crypto/sha256"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// Table finds the routes and organisations of one configuration. It is immutable, but for its freshness.
type Table struct {
	// Version is the version of the configuration.
	Version int64
	// Freshness is that of the configuration, not of a newer one that the node may have received meanwhile.
	Freshness *cataloguer.Freshness
	Limits    cataloguer.Limits
	// hosts holds the routes of each host, longest path prefix first.
	hosts map[string][]cataloguer.Route
	// past holds by host the routes of earlier configurations that led elsewhere, oldest first.
	past     map[string][]pastRoutes
	services map[string]cataloguer.Service
	// keys maps the hash of an API key to its organisation. Looking up a hash doesn't reveal by its timing how much of a guessed key is right.
	keys map[[sha256.Size]byte]*cataloguer.Organisation
	// keysRequired is set if requests need a key unless their route is anonymous.
	keysRequired bool
	// organisationLevels and routeLevels are the distinct priorities in use, most urgent first.
	organisationLevels, routeLevels []int
}

// New returns the table of a configuration with the given freshness.
func New(configuration cataloguer.Configuration, freshness *cataloguer.Freshness) *Table {
	t := &Table{
		Version:      configuration.Version,
		Freshness:    freshness,
		Limits:       configuration.Limits,
		hosts:        make(map[string][]cataloguer.Route),
		services:     make(map[string]cataloguer.Service, len(configuration.Services)),
		keys:         make(map[[sha256.Size]byte]*cataloguer.Organisation),
		keysRequired: len(configuration.Organisations) > 0,
	}

	for _, route := range configuration.Routes {
		host := canonicalHost(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}

	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b cataloguer.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}

	for _, service := range configuration.Services {
		t.services[service.Name] = service
	}

	t.organisationLevels, t.routeLevels = levels(configuration)

	for i := range configuration.Organisations {
		for _, key := range configuration.Organisations[i].Keys {
			t.keys[sha256.Sum256([]byte(key))] = &configuration.Organisations[i]
		}
	}

	return t
}

// Route returns the route of the host with the longest path prefix that matches.
func (t *Table) Route(host, path string) (*cataloguer.Route, bool) {
	return match(t.hosts[canonicalHost(host)], path)
}

// match returns the first of the routes that matches a path.
func match(routes []cataloguer.Route, path string) (*cataloguer.Route, bool) {
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i], true
		}
	}

	return nil, false
}

// Service returns a service by name, or one without limits if the name is unknown.
func (t *Table) Service(name string) cataloguer.Service {
	return t.services[name]
}

// NeedsKey reports whether requests of the route must have an API key.
func (t *Table) NeedsKey(route *cataloguer.Route) bool {
	return t.keysRequired && !route.Anonymous
}

// Organisation returns the organisation of an API key.
func (t *Table) Organisation(key string) (*cataloguer.Organisation, bool) {
	organisation, ok := t.keys[sha256.Sum256([]byte(key))]

	return organisation, ok
}

// EngineRanks is the number of ranks that engines distinguish.
const EngineRanks = 10

// Rank is the urgency of a request.
type Rank struct {
	// Priority is the rank of the route's priority among those of all routes, from 0, the most urgent.
	Priority int
	// OrganisationRank is the rank of the organisation's priority among those of all organisations, from 0, the most urgent.
	OrganisationRank int
	// EngineRank combines both for engines, from 0, the most urgent, to EngineRanks-1.
	EngineRank int
}

// Rank returns the urgency of a request of an organisation, which may be nil. The route's priority decides first,
// and the organisation's among equals. If the organisation's priority replaced the route's or went first, engines
// would preempt chats while long drafts run on.
func (t *Table) Rank(route *cataloguer.Route, organisation *cataloguer.Organisation) Rank {
	// An organisation without a priority ranks with the last of those that have one.
	organisationRanks := max(len(t.organisationLevels), 1)
	rank := Rank{OrganisationRank: organisationRanks - 1}

	if organisation != nil && organisation.Priority != nil {
		rank.OrganisationRank, _ = slices.BinarySearch(t.organisationLevels, *organisation.Priority)
	}

	rank.Priority, _ = slices.BinarySearch(t.routeLevels, route.Priority)
	rank.EngineRank = rank.Priority*organisationRanks + rank.OrganisationRank

	if total := organisationRanks * len(t.routeLevels); total > EngineRanks {
		rank.EngineRank = rank.EngineRank * EngineRanks / total
	}

	return rank
}

// levels returns the distinct priorities of organisations and of routes, most urgent first.
func levels(configuration cataloguer.Configuration) (organisations, routes []int) {
	for _, organisation := range configuration.Organisations {
		if organisation.Priority != nil {
			organisations = append(organisations, *organisation.Priority)
		}
	}

	for _, route := range configuration.Routes {
		routes = append(routes, route.Priority)
	}

	slices.Sort(organisations)
	slices.Sort(routes)

	return slices.Compact(organisations), slices.Compact(routes)
}

// PickService returns the service for a request of the route, in proportion to the weights and always the same one
// for the same request ID. It returns "" for a route without services.
func PickService(route *cataloguer.Route, requestID string) string {
	total := 0
	for _, share := range route.Shares {
		total += share.Weight
	}

	if len(route.Shares) == 0 || total <= 0 {
		return ""
	}

	offset := int(xxhash.Sum64String(requestID) % uint64(total))

	for _, share := range route.Shares {
		if offset < share.Weight {
			return share.Service
		}

		offset -= share.Weight
	}

	return ""
}

func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}

	return strings.ToLower(host)
}
