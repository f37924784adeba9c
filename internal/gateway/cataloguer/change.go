package cataloguer

import (
	"reflect"
	"slices"

	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/internal/throttler"
)

// ListDelta is the difference between two lists of named entries.
type ListDelta[T any] struct {
	// Put holds the added and changed entries in the order of the newer list.
	Put []T `json:"put,omitempty"`
	// Remove holds the names of the removed entries.
	Remove []string `json:"remove,omitempty"`
}

// IsEmpty reports whether both lists have the same entries.
func (d *ListDelta[T]) IsEmpty() bool {
	return len(d.Put) == 0 && len(d.Remove) == 0
}

// ConfigurationDelta is the difference between two configurations. It is small if few of many routes change: a full
// configuration with 2,000 routes takes half a megabyte, and every node of a fleet needs each version.
type ConfigurationDelta struct {
	// Version is the version of the newer configuration.
	Version       int64                   `json:"version"`
	Routes        ListDelta[Route]        `json:"routes,omitzero"`
	Services      ListDelta[Service]      `json:"services,omitzero"`
	Organisations ListDelta[Organisation] `json:"organisations,omitzero"`
	Limits        Limits                  `json:"limits"`
}

// RegistryDelta is the difference between two registries.
type RegistryDelta struct {
	storer.Position

	RetainedUpstreams int                 `json:"kept,omitempty"`
	UnreadableEntries int                 `json:"unreadable,omitempty"`
	Upstreams         ListDelta[Upstream] `json:"upstreams,omitzero"`
	Nodes             ListDelta[Node]     `json:"nodes,omitzero"`
	// Quarantined identifies its entries by the requests' keys.
	Quarantined ListDelta[quarantiner.Quarantine] `json:"quarantined,omitzero"`
	// Limits identifies its entries by the upstreams' IDs.
	Limits ListDelta[throttler.Limit] `json:"rate_limits,omitzero"`
}

func routeName(r *Route) string               { return r.Name }
func serviceName(s *Service) string           { return s.Name }
func organisationName(o *Organisation) string { return o.Name }
func upstreamID(u *Upstream) string           { return u.ID }
func nodeName(n *Node) string                 { return n.Name }

func limitUpstream(l *throttler.Limit) string { return l.Upstream }

func quarantineKey(q *quarantiner.Quarantine) string { return q.Key.String() }

// DeltaFrom returns the difference from base to c, or false if entry names are not unique.
func (c *Configuration) DeltaFrom(base *Configuration) (ConfigurationDelta, bool) {
	delta := ConfigurationDelta{Version: c.Version, Limits: c.Limits}

	var routes, services, organisations bool

	delta.Routes, routes = listDelta(base.Routes, c.Routes, routeName)
	delta.Services, services = listDelta(base.Services, c.Services, serviceName)
	delta.Organisations, organisations = listDelta(base.Organisations, c.Organisations, organisationName)

	return delta, routes && services && organisations
}

// Apply returns the newer configuration without modifying base.
func (c *ConfigurationDelta) Apply(base *Configuration) Configuration {
	return Configuration{
		Version:       c.Version,
		Routes:        applyListDelta(base.Routes, c.Routes, routeName),
		Services:      applyListDelta(base.Services, c.Services, serviceName),
		Organisations: applyListDelta(base.Organisations, c.Organisations, organisationName),
		Limits:        c.Limits,
	}
}

// listDelta returns the difference between two lists, or false if a name is not unique in one of them.
func listDelta[T any](older, newer []T, name func(*T) string) (ListDelta[T], bool) {
	var delta ListDelta[T]

	olderIndexes, olderUnique := indexByName(older, name)
	newerIndexes, newerUnique := indexByName(newer, name)

	if !olderUnique || !newerUnique {
		return delta, false
	}

	for i := range newer {
		index, known := olderIndexes[name(&newer[i])]
		if !known || !reflect.DeepEqual(older[index], newer[i]) {
			delta.Put = append(delta.Put, newer[i])
		}
	}

	for i := range older {
		if _, stays := newerIndexes[name(&older[i])]; !stays {
			delta.Remove = append(delta.Remove, name(&older[i]))
		}
	}

	return delta, true
}

func indexByName[T any](entries []T, name func(*T) string) (map[string]int, bool) {
	indexes := make(map[string]int, len(entries))
	for i := range entries {
		indexes[name(&entries[i])] = i
	}

	return indexes, len(indexes) == len(entries)
}

// applyListDelta returns the list with the delta applied. Entries that remain keep their position; new ones are
// appended.
func applyListDelta[T any](list []T, delta ListDelta[T], name func(*T) string) []T {
	if len(delta.Put) == 0 && len(delta.Remove) == 0 {
		return list
	}

	removedNames := make(map[string]bool, len(delta.Remove))
	for _, removed := range delta.Remove {
		removedNames[removed] = true
	}

	result := make([]T, 0, len(list)+len(delta.Put))

	for i := range list {
		if !removedNames[name(&list[i])] {
			result = append(result, list[i])
		}
	}

	indexes, _ := indexByName(result, name)

	for i := range delta.Put {
		if index, known := indexes[name(&delta.Put[i])]; known {
			result[index] = delta.Put[i]
		} else {
			result = append(result, delta.Put[i])
		}
	}

	return slices.Clip(result)
}
