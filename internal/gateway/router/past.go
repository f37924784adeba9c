package router

import (
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

// maxPastRoutes limits the earlier routes that are kept of a host.
const maxPastRoutes = 64

// pastRoutes are the routes of a host in an earlier configuration.
type pastRoutes struct {
	routes []cataloguer.Route
	// endedAt is when this node put a later configuration in force.
	endedAt time.Duration
	// isIncomplete is set if earlier ones were dropped.
	isIncomplete bool
}

// Succeed makes the table remember where the one that it replaces led, and those before. It must be called before the table is used.
func (t *Table) Succeed(former *Table, now time.Duration) {
	t.past = make(map[string][]pastRoutes)

	for host, all := range former.past {
		t.past[host] = slices.DeleteFunc(slices.Clone(all), func(p pastRoutes) bool { return now-p.endedAt > cataloguer.MaxStreamLifetime })
	}

	for host, routes := range former.hosts {
		if slices.EqualFunc(routes, t.hosts[host], leadsAlike) {
			continue
		}

		t.past[host] = append(t.past[host], pastRoutes{routes: routes, endedAt: now})

		if excess := len(t.past[host]) - maxPastRoutes; excess > 0 {
			t.past[host] = t.past[host][excess:]
			t.past[host][0].isIncomplete = true
		}
	}
}

// leadsAlike reports whether two routes lead the same requests to the same services.
func leadsAlike(a, b cataloguer.Route) bool {
	return a.PathPrefix == b.PathPrefix && slices.Equal(a.Services(), b.Services())
}

// SoleService returns the only service to which this node's configurations have led requests for a host and path since a time, or false if
// there are several.
func (t *Table) SoleService(host, path string, since time.Duration) (string, bool) {
	host = canonicalHost(host)
	services := servicesFor(t.hosts[host], path)

	for _, p := range t.past[host] {
		switch {
		case p.endedAt < since:
		case p.isIncomplete:
			return "", false
		default:
			services = append(services, servicesFor(p.routes, path)...)
		}
	}

	slices.Sort(services)
	services = slices.Compact(services)

	if len(services) != 1 {
		return "", false
	}

	return services[0], true
}

// servicesFor returns the services of the first of the routes that matches a path.
func servicesFor(routes []cataloguer.Route, path string) []string {
	if route, ok := match(routes, path); ok {
		return route.Services()
	}

	return nil
}
