package cataloguer

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/quarantiner"
	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/internal/throttler"
)

const (
	// maxHistoryChanges limits the changes that a registry remembers. A registry changes several times a second during a
	// release, and a peer that misses more changes than this gets the whole registry.
	maxHistoryChanges = 64
	// maxHistoryNames limits the names in these changes. A delta with so many entries is not much shorter than a whole
	// registry.
	maxHistoryNames = 4096
)

// Registry holds the entries of the store other than the configuration. It is immutable: Apply returns a changed one,
// which shares the unchanged entries. The zero Registry is empty.
type Registry struct {
	// Position is the store's position when reading the list began; it never goes back.
	Position storer.Position
	// RetainedUpstreams is the number of upstreams in which the registry differs from the store's: those that are listed although
	// the store lacks them after an outage, and those that are held back until their software version is recorded. While the
	// position is unchanged it only decreases.
	RetainedUpstreams int
	// UnreadableEntries is the number of entries that could not be read; they count as absent.
	UnreadableEntries int
	// Upstreams are the upstreams by ID.
	Upstreams Index[Upstream]
	// Nodes are the nodes by name.
	Nodes Index[Node]
	// Quarantined are requests that no node may run, by the text form of their keys.
	Quarantined Index[quarantiner.Quarantine]
	// Limits are the rate limits that upstreams named, by the upstreams' IDs.
	Limits Index[throttler.Limit]
	// history holds the latest changes that led to this registry, oldest first. It is never modified.
	history []registryChange
}

// registryChange is the change from one registry to the next.
type registryChange struct {
	// from is the digest of the former registry.
	from uint64
	// upstreams, nodes, quarantined and limits are the names of the entries that were added, changed or removed.
	upstreams, nodes, quarantined, limits []string
}

// len returns the number of names.
func (c *registryChange) len() int {
	return len(c.upstreams) + len(c.nodes) + len(c.quarantined) + len(c.limits)
}

// add adds the names of another change.
func (c *registryChange) add(other *registryChange) {
	c.upstreams = append(c.upstreams, other.upstreams...)
	c.nodes = append(c.nodes, other.nodes...)
	c.quarantined = append(c.quarantined, other.quarantined...)
	c.limits = append(c.limits, other.limits...)
}

// NewRegistry returns the registry of the entries in a listing.
func NewRegistry(listing Listing) Registry {
	return Registry{
		Position:          listing.Position,
		RetainedUpstreams: listing.RetainedUpstreams,
		UnreadableEntries: listing.UnreadableEntries,
		Upstreams:         newIndex(listing.Upstreams, upstreamID),
		Nodes:             newIndex(listing.Nodes, nodeName),
		Quarantined:       newIndex(listing.Quarantined, quarantineKey),
		Limits:            newIndex(listing.Limits, limitUpstream),
	}
}

// Listing returns all entries, sorted by name.
func (r *Registry) Listing() Listing {
	return Listing{
		Position:          r.Position,
		RetainedUpstreams: r.RetainedUpstreams,
		UnreadableEntries: r.UnreadableEntries,
		Upstreams:         r.Upstreams.List(),
		Nodes:             r.Nodes.List(),
		Quarantined:       r.Quarantined.List(),
		Limits:            r.Limits.List(),
	}
}

// IsNewerThan reports whether the registry supersedes one with the given position and number of retained upstreams.
func (r *Registry) IsNewerThan(position storer.Position, kept int) bool {
	return position.IsBefore(r.Position) || position == r.Position && r.RetainedUpstreams < kept
}

// Digest returns a hash of the registry's entries. Two nodes with the same digest list the same entries.
func (r *Registry) Digest() uint64 {
	var data []byte

	for _, hash := range []uint64{r.Upstreams.hash, r.Nodes.hash, r.Quarantined.hash, r.Limits.hash} {
		data = binary.LittleEndian.AppendUint64(data, hash)
	}

	return xxhash.Sum64(data)
}

// Apply returns the registry with the delta applied.
func (r *Registry) Apply(delta *RegistryDelta) Registry {
	next := Registry{
		Position:          delta.Position,
		RetainedUpstreams: delta.RetainedUpstreams,
		UnreadableEntries: delta.UnreadableEntries,
		history:           r.history,
	}
	change := registryChange{from: r.Digest()}

	next.Upstreams, change.upstreams = r.Upstreams.apply(delta.Upstreams, upstreamID)
	next.Nodes, change.nodes = r.Nodes.apply(delta.Nodes, nodeName)
	next.Quarantined, change.quarantined = r.Quarantined.apply(delta.Quarantined, quarantineKey)
	next.Limits, change.limits = r.Limits.apply(delta.Limits, limitUpstream)

	if change.len() > 0 {
		next.history = r.historyWith(change)
	}

	return next
}

// historyWith returns the history with one more change, without the oldest ones beyond the limits.
func (r *Registry) historyWith(change registryChange) []registryChange {
	history := append(slices.Clone(r.history), change)
	first, names := len(history), 0

	for first > 0 && len(history)-first < maxHistoryChanges {
		names += history[first-1].len()
		if names > maxHistoryNames {
			break
		}

		first--
	}

	return slices.Clip(history[first:])
}

// DeltaFrom returns the difference from base to r.
func (r *Registry) DeltaFrom(base *Registry) RegistryDelta {
	if delta, ok := r.DeltaSince(base.Digest()); ok {
		return delta
	}

	delta := r.emptyDelta()
	delta.Upstreams = r.Upstreams.deltaFrom(&base.Upstreams)
	delta.Nodes = r.Nodes.deltaFrom(&base.Nodes)
	delta.Quarantined = r.Quarantined.deltaFrom(&base.Quarantined)
	delta.Limits = r.Limits.deltaFrom(&base.Limits)

	return delta
}

// Remembers reports whether DeltaSince knows the registry with the given digest.
func (r *Registry) Remembers(digest uint64) bool {
	return digest == r.Digest() || slices.ContainsFunc(r.history, func(change registryChange) bool { return change.from == digest })
}

// DeltaSince returns the difference from the registry with the given digest to r, or false if r doesn't remember that
// registry. It takes time in proportion to the changes since then.
func (r *Registry) DeltaSince(digest uint64) (RegistryDelta, bool) {
	delta := r.emptyDelta()
	if digest == r.Digest() {
		return delta, true
	}

	var changed registryChange

	for _, change := range slices.Backward(r.history) {
		changed.add(&change)

		if change.from != digest {
			continue
		}

		delta.Upstreams = r.Upstreams.deltaOf(unique(changed.upstreams))
		delta.Nodes = r.Nodes.deltaOf(unique(changed.nodes))
		delta.Quarantined = r.Quarantined.deltaOf(unique(changed.quarantined))
		delta.Limits = r.Limits.deltaOf(unique(changed.limits))

		return delta, true
	}

	return RegistryDelta{}, false
}

func (r *Registry) emptyDelta() RegistryDelta {
	return RegistryDelta{Position: r.Position, RetainedUpstreams: r.RetainedUpstreams, UnreadableEntries: r.UnreadableEntries}
}

// unique returns the names sorted and without repetitions.
func unique(names []string) []string {
	slices.Sort(names)

	return slices.Compact(names)
}

// MarshalJSON encodes the registry as a Listing.
func (r Registry) MarshalJSON() ([]byte, error) {
	return json.Marshal(r.Listing())
}

// DecodeStream decodes a Listing entry by entry. A registry of 10,000 upstreams is some 2 MB of JSON, and decoding it as a
// whole takes four times that in memory, on VMs that have little of it.
func (r *Registry) DecodeStream(decoder *json.Decoder) error {
	if err := expectDelimiter(decoder, '{'); err != nil {
		return err
	}

	values := make(map[string]string)

	for decoder.More() {
		field, err := decoder.Token()
		if err != nil {
			return errors.Wrap(err, "decode registry")
		}

		switch field {
		case "upstreams":
			err = decodeList(decoder, func(upstream Upstream) {
				// Few different values repeat in thousands of entries.
				upstream.Service = intern(values, upstream.Service)
				upstream.FailureDomain = intern(values, upstream.FailureDomain)
				r.Upstreams.insert(upstream.ID, upstream)
			})
		case "nodes":
			err = decodeList(decoder, func(node Node) {
				node.FailureDomain = intern(values, node.FailureDomain)
				r.Nodes.insert(node.Name, node)
			})
		case "quarantined":
			err = decodeList(decoder, func(q quarantiner.Quarantine) { r.Quarantined.insert(quarantineKey(&q), q) })
		case "rate_limits":
			err = decodeList(decoder, func(l throttler.Limit) { r.Limits.insert(l.Upstream, l) })
		case "era":
			err = decoder.Decode(&r.Position.Era)
		case "revision":
			err = decoder.Decode(&r.Position.Revision)
		case "kept":
			err = decoder.Decode(&r.RetainedUpstreams)
		case "unreadable":
			err = decoder.Decode(&r.UnreadableEntries)
		default:
			// Written by a newer version.
			var ignored json.RawMessage

			err = decoder.Decode(&ignored)
		}

		if err != nil {
			return errors.Wrapf(err, "decode %v of the registry", field)
		}
	}

	return expectDelimiter(decoder, '}')
}

// decodeList decodes a JSON list, passing each element to add. A null is an empty list.
func decodeList[T any](decoder *json.Decoder, add func(T)) error {
	token, err := decoder.Token()
	if err != nil || token == nil {
		return err
	}

	if token != json.Delim('[') {
		return errors.Newf("got %v instead of a list", token)
	}

	for decoder.More() {
		var element T
		if err := decoder.Decode(&element); err != nil {
			return err
		}

		add(element)
	}

	return expectDelimiter(decoder, ']')
}

func expectDelimiter(decoder *json.Decoder, want json.Delim) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}

	if token != want {
		return errors.Newf("got %v instead of %v", token, want)
	}

	return nil
}

// intern returns the first of the equal texts that it was called with, so that the others can be freed.
func intern(values map[string]string, text string) string {
	if known, ok := values[text]; ok {
		return known
	}

	values[text] = text

	return text
}
