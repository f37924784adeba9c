package cataloguer

import (
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quincepath.example/quincepath/internal/quarantiner"
)

// ListDelta turns one list of named entries into another.
type ListDelta[T any] struct {
	// Put holds the entries that are new or differ, in the order of the newer list.
	Put []T `json:"put,omitempty"`
	// Remove names the entries that the newer list lacks.
	Remove []string `json:"remove,omitempty"`
}

// ConfigurationDelta turns one configuration into a newer one. It is small where few routes of many change: a
// whole configuration of 2,000 routes has half a megabyte, and every node of a fleet needs each version.
type ConfigurationDelta struct {
	// Version is that of the newer configuration.
	Version       int64                   `json:"version"`
	Routes        ListDelta[Route]        `json:"routes,omitzero"`
	Services      ListDelta[Service]      `json:"services,omitzero"`
	Organisations ListDelta[Organisation] `json:"organisations,omitzero"`
	Limits        Limits                  `json:"limits"`
}

// RegistryDelta turns one registry into another.
type RegistryDelta struct {
	Revision          int64               `json:"revision"`
	RetainedUpstreams int                 `json:"kept,omitempty"`
	UnreadableEntries int                 `json:"unreadable,omitempty"`
	Upstreams         ListDelta[Upstream] `json:"upstreams,omitzero"`
	Nodes             ListDelta[Node]     `json:"nodes,omitzero"`
	// Quarantined is named by the requests' keys.
	Quarantined ListDelta[quarantiner.Quarantine] `json:"quarantined,omitzero"`
}

func routeName(r *Route) string               { return r.Name }
func serviceName(s *Service) string           { return s.Name }
func organisationName(o *Organisation) string { return o.Name }
func upstreamID(u *Upstream) string           { return u.ID }
func nodeName(n *Node) string                 { return n.Name }

func quarantineName(q *quarantiner.Quarantine) string { return q.Key.String() }

// DeltaFrom returns what turns the base into this configuration; false if entries can't be told apart by their names.
func (c *Configuration) DeltaFrom(base *Configuration) (ConfigurationDelta, bool) {
	change := ConfigurationDelta{Version: c.Version, Limits: c.Limits}

	var routes, services, organisations bool

	change.Routes, routes = changeOf(base.Routes, c.Routes, routeName)
	change.Services, services = changeOf(base.Services, c.Services, serviceName)
	change.Organisations, organisations = changeOf(base.Organisations, c.Organisations, organisationName)

	return change, routes && services && organisations
}

// Apply returns the newer configuration; the base stays as it is.
func (c *ConfigurationDelta) Apply(base *Configuration) Configuration {
	return Configuration{
		Version:       c.Version,
		Routes:        applied(base.Routes, c.Routes, routeName),
		Services:      applied(base.Services, c.Services, serviceName),
		Organisations: applied(base.Organisations, c.Organisations, organisationName),
		Limits:        c.Limits,
	}
}

// DeltaFrom returns what turns the base into this registry; false if entries can't be told apart by their names.
func (r *Registry) DeltaFrom(base *Registry) (RegistryDelta, bool) {
	change := RegistryDelta{Revision: r.Revision, RetainedUpstreams: r.RetainedUpstreams, UnreadableEntries: r.UnreadableEntries}

	var upstreams, nodes, quarantined bool

	change.Upstreams, upstreams = changeOf(base.Upstreams, r.Upstreams, upstreamID)
	change.Nodes, nodes = changeOf(base.Nodes, r.Nodes, nodeName)
	change.Quarantined, quarantined = changeOf(base.Quarantined, r.Quarantined, quarantineName)

	return change, upstreams && nodes && quarantined
}

// Apply returns the newer registry; the base stays as it is.
func (c *RegistryDelta) Apply(base *Registry) Registry {
	return Registry{
		Revision:          c.Revision,
		RetainedUpstreams: c.RetainedUpstreams,
		UnreadableEntries: c.UnreadableEntries,
		Upstreams:         applied(base.Upstreams, c.Upstreams, upstreamID),
		Nodes:             applied(base.Nodes, c.Nodes, nodeName),

		Quarantined: applied(base.Quarantined, c.Quarantined, quarantineName),
	}
}

// Digest names the entries of the registry in their order. Two nodes with the same digest list the same.
func (r *Registry) Digest() uint64 {
	data, err := json.Marshal(struct {
		Upstreams []Upstream
		Nodes     []Node
		// Without any, the digest is that of nodes which don't know the field.
		Quarantined []quarantiner.Quarantine `json:",omitempty"`
	}{r.Upstreams, r.Nodes, r.Quarantined})
	if err != nil {
		// Only strings and numbers stand there, but a capacity can be no number: no peer holds such a base.
		return 0
	}

	return xxhash.Sum64(data)
}

// changeOf returns what turns the older list into the newer one; false if a name stands twice in one of them.
func changeOf[T any](older, newer []T, name func(*T) string) (ListDelta[T], bool) {
	var change ListDelta[T]

	former, unique := byName(older, name)
	current, uniqueToo := byName(newer, name)

	if !unique || !uniqueToo {
		return change, false
	}

	for i := range newer {
		place, known := former[name(&newer[i])]
		if !known || !reflect.DeepEqual(older[place], newer[i]) {
			change.Put = append(change.Put, newer[i])
		}
	}

	for i := range older {
		if _, stays := current[name(&older[i])]; !stays {
			change.Remove = append(change.Remove, name(&older[i]))
		}
	}

	return change, true
}

func byName[T any](entries []T, name func(*T) string) (map[string]int, bool) {
	places := make(map[string]int, len(entries))
	for i := range entries {
		places[name(&entries[i])] = i
	}

	return places, len(places) == len(entries)
}

// applied returns the list with the change; an entry that stays keeps its place, new ones come last.
func applied[T any](list []T, change ListDelta[T], name func(*T) string) []T {
	if len(change.Put) == 0 && len(change.Remove) == 0 {
		return list
	}

	gone := make(map[string]bool, len(change.Remove))
	for _, removed := range change.Remove {
		gone[removed] = true
	}

	result := make([]T, 0, len(list)+len(change.Put))

	for i := range list {
		if !gone[name(&list[i])] {
			result = append(result, list[i])
		}
	}

	places, _ := byName(result, name)

	for i := range change.Put {
		if place, known := places[name(&change.Put[i])]; known {
			result[place] = change.Put[i]
		} else {
			result = append(result, change.Put[i])
		}
	}

	return slices.Clip(result)
}
