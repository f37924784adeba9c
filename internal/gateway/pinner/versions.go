package pinner

import (
	"context"
	"maps"
	"slices"
	"time"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
)

const (
	// versionReadTimeout limits a read of the versions, versionReadPause is the time between two.
	versionReadTimeout = 700 * time.Millisecond
	versionReadPause   = 100 * time.Millisecond
	// settlingTime is how long after its start a node may lack versions whose upstreams left before.
	settlingTime = 5 * time.Second
)

// VersionStore lists which software versions the upstreams of each service have, or had while a stream may be from. A
// version is listed before any node uses an upstream that has it. Reads see all writes that ended before.
type VersionStore interface {
	Versions(ctx context.Context) ([]cataloguer.ServiceVersion, error)
}

// Sole returns what began any stream of a service, if its upstreams had one software version for as long as a stream may last.
// It reads the store, as this node's list of upstreams may be older than the stream.
func (p *Pinner) Sole(ctx context.Context, service string) (Origin, Finding) {
	if p.options.VersionStore == nil {
		return Origin{}, NotFound
	}

	versions, err := p.versions.Get(ctx)
	if err != nil {
		p.options.Logger.Debug().Err(err).Str("service", service).Msg("software_versions_not_read")

		return Origin{}, Unavailable
	}

	var sole Origin

	count := 0

	for _, version := range versions {
		if version.Service == service {
			sole = Origin(version)
			count++
		}
	}

	if count != 1 || !sole.IsKnown() || p.hasSeenOther(sole) {
		return Origin{}, NotFound
	}

	p.counters.sole.Add(1)

	return sole, Found
}

// hasSeenOther reports whether this node has seen another version of the service, from which a stream may be. The store may lack it.
func (p *Pinner) hasSeenOther(origin Origin) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	for version, endedAt := range p.seen.endedAt[origin.Service] {
		if version != origin.SoftwareVersion && (endedAt == versionInUse || p.options.Now()-endedAt < p.options.StreamLifetime()) {
			return true
		}
	}

	return false
}

// MayBeNew reports whether a version that this node doesn't list may have upstreams that other nodes heard of first: it has never listed
// the version, though it has had a list for a while.
func (p *Pinner) MayBeNew(origin Origin) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	_, isSeen := p.seen.endedAt[origin.Service][origin.SoftwareVersion]

	return !isSeen && p.seenSince >= 0 && p.options.Now()-p.seenSince >= settlingTime
}

// versionHistory holds the software versions that each service has, or had for as long as the node knows. It is not safe for concurrent
// use.
type versionHistory struct {
	// endedAt maps the versions of each service to the time at which the last upstream left; versionInUse while there are some.
	endedAt map[string]map[string]time.Duration
}

// versionInUse marks versions that have an upstream.
const versionInUse = time.Duration(-1)

// set records when a version ended, and reports whether it is new.
func (h *versionHistory) set(version cataloguer.ServiceVersion, endedAt time.Duration) bool {
	versions, ok := h.endedAt[version.Service]
	if !ok {
		versions = make(map[string]time.Duration)
		h.endedAt[version.Service] = versions
	}

	_, known := versions[version.SoftwareVersion]
	versions[version.SoftwareVersion] = endedAt

	return !known
}

// update takes over which versions have an upstream, and returns the services that have got another version beside theirs.
func (h *versionHistory) update(now time.Duration, inUse map[cataloguer.ServiceVersion]bool) []string {
	for service, versions := range h.endedAt {
		for version, endedAt := range versions {
			if endedAt == versionInUse && !inUse[cataloguer.ServiceVersion{Service: service, SoftwareVersion: version}] {
				versions[version] = now
			}
		}
	}

	changed := make(map[string]bool)

	for version := range inUse {
		if h.set(version, versionInUse) && h.hasSeveral(version.Service) {
			changed[version.Service] = true
		}
	}

	return slices.Collect(maps.Keys(changed))
}

// add takes over versions that are known to have been in use until some time ago, and returns the services that have got another version
// beside theirs.
func (h *versionHistory) add(now time.Duration, versions []cataloguer.ServiceVersion) []string {
	changed := make(map[string]bool)

	for _, version := range versions {
		if _, ok := h.endedAt[version.Service][version.SoftwareVersion]; !ok && h.set(version, now) && h.hasSeveral(version.Service) {
			changed[version.Service] = true
		}
	}

	return slices.Collect(maps.Keys(changed))
}

// forget removes the versions that ended before the given time.
func (h *versionHistory) forget(before time.Duration) {
	for service, versions := range h.endedAt {
		maps.DeleteFunc(versions, func(_ string, endedAt time.Duration) bool { return endedAt != versionInUse && endedAt < before })

		if len(versions) == 0 {
			delete(h.endedAt, service)
		}
	}
}

// hasSeveral reports whether a service has or had several versions.
func (h *versionHistory) hasSeveral(service string) bool {
	return len(h.endedAt[service]) > 1
}
