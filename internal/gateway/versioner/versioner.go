// Package versioner keeps in the platform's store which software versions the upstreams of each service have, or had a short
// while ago. A version is recorded before any node uses an upstream that has it, so that whoever reads the store knows all that
// a running stream can be from, also if the upstream has left or the node is gone.
package versioner

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/storer"
)

const (
	// key is the one key of all versions.
	key = "software_versions"
	// maxWrites is how often a write is tried that another node's write prevents.
	maxWrites = 5
	// maxVersions limits the versions that are kept. The store takes no value that is much longer.
	maxVersions = 1000
)

var (
	errContended = errors.New("other nodes write the software versions")
	// errNotRecordedAgain means that the store may have lost versions that the nodes know.
	errNotRecordedAgain = errors.New("the software versions are not recorded again since the store returned from a copy")
	errTooMany          = errors.New("there are too many software versions")
)

// Store is the part of the platform's key-value store that versions require.
type Store interface {
	Get(ctx context.Context, key string) (storer.KeyValue, int64, error)
	Txn(ctx context.Context, t storer.Txn) (storer.TxnResult, error)
}

// Versioner reads and writes versions. It is safe for concurrent use.
type Versioner struct {
	store Store
}

// New returns a Versioner for the store.
func New(store Store) *Versioner {
	return &Versioner{store: store}
}

// entry is a version as the store keeps it. One without a service names the era of the store in which all versions that the nodes
// know were recorded; a node of an older release takes it for a version of no service.
type entry struct {
	Service         string `json:"service"`
	SoftwareVersion string `json:"software_version"`
	Era             int64  `json:"era,omitempty"`
	// Ending is set once a node has taken the version for unused for as long as a stream may last.
	Ending bool `json:"ending,omitempty"`
}

// record is the content of the key.
type record struct {
	versions []cataloguer.ServiceVersion
	// ending are those of the versions that are removed next, unless they are recorded again before.
	ending []cataloguer.ServiceVersion
	// era is the era in which all versions that the nodes know were recorded.
	era int64
	// storeEra and revision are those in which the key was read; revision is 0 if there is none.
	storeEra, revision int64
}

// Versions returns all versions, as of a moment after the call began. After the store returned from an older copy, it returns an error
// until the nodes have recorded again what they know.
func (v *Versioner) Versions(ctx context.Context) ([]cataloguer.ServiceVersion, error) {
	found, err := v.get(ctx)
	if err == nil && found.era != found.storeEra {
		err = errors.Wrapf(errNotRecordedAgain, "era %d, recorded in %d", found.storeEra, found.era)
	}

	return found.versions, err
}

// RecordVersions adds versions, which are all that the caller knows of if the last ones were recorded in an earlier era of the store
// than the given one. It returns all versions, and writes nothing if the given ones are there.
func (v *Versioner) RecordVersions(ctx context.Context, versions []cataloguer.ServiceVersion, era int64) ([]cataloguer.ServiceVersion, error) {
	recorded, err := v.change(ctx, func(known record) record {
		for _, version := range versions {
			if !slices.Contains(known.versions, version) {
				known.versions = append(known.versions, version)
			}
		}

		known.ending = without(known.ending, versions)
		known.era = max(known.era, era)

		return known
	})

	return recorded.versions, err
}

// RemoveVersions removes versions that an earlier call named and that weren't recorded since, and marks the others. A node that stood
// still, or whose write comes late, so removes none that is in use again: its record has changed meanwhile.
func (v *Versioner) RemoveVersions(ctx context.Context, versions []cataloguer.ServiceVersion) ([]cataloguer.ServiceVersion, error) {
	remaining, err := v.change(ctx, func(known record) record {
		marked := without(versions, without(versions, known.ending))
		known.versions = without(known.versions, marked)
		known.ending = without(known.ending, marked)

		for _, version := range without(versions, marked) {
			if slices.Contains(known.versions, version) {
				known.ending = append(known.ending, version)
			}
		}

		return known
	})

	return without(versions, remaining.versions), err
}

// without returns the versions but for those in others.
func without(versions, others []cataloguer.ServiceVersion) []cataloguer.ServiceVersion {
	return slices.DeleteFunc(slices.Clone(versions), func(v cataloguer.ServiceVersion) bool { return slices.Contains(others, v) })
}

// change replaces the record by what derive makes of it, and returns that.
func (v *Versioner) change(ctx context.Context, derive func(record) record) (record, error) {
	for range maxWrites {
		known, err := v.get(ctx)
		if err != nil {
			return record{}, err
		}

		copied := known
		copied.versions, copied.ending = slices.Clone(known.versions), slices.Clone(known.ending)
		next := derive(copied)

		switch {
		case slices.Equal(next.versions, known.versions) && slices.Equal(next.ending, known.ending) && next.era == known.era:
			return next, nil
		case len(next.versions) > maxVersions:
			return record{}, errTooMany
		}

		written, err := v.put(ctx, next)
		if err != nil || written {
			return next, err
		}
	}

	return record{}, errContended
}

// get reads the record.
func (v *Versioner) get(ctx context.Context) (record, error) {
	found, _, err := v.store.Get(ctx, key)
	if err != nil {
		return record{}, errors.Wrap(err, "read software versions")
	}

	read := record{storeEra: found.Era, revision: found.ModRevision}
	if read.revision == 0 {
		return read, nil
	}

	var entries []entry
	if err := json.Unmarshal(found.Value, &entries); err != nil {
		return record{}, errors.Wrap(err, "decode software versions")
	}

	for _, e := range entries {
		version := cataloguer.ServiceVersion{Service: e.Service, SoftwareVersion: e.SoftwareVersion}

		switch {
		case e.Service == "":
			read.era = max(read.era, e.Era)

			continue
		case e.Ending:
			read.ending = append(read.ending, version)
		}

		read.versions = append(read.versions, version)
	}

	return read, nil
}

// put writes the record if its key is unchanged since it was read. It returns false if it isn't.
func (v *Versioner) put(ctx context.Context, next record) (bool, error) {
	entries := make([]entry, 0, len(next.versions)+1)
	for _, version := range next.versions {
		entries = append(entries, entry{
			Service: version.Service, SoftwareVersion: version.SoftwareVersion, Ending: slices.Contains(next.ending, version),
		})
	}

	if next.era > 0 {
		entries = append(entries, entry{Era: next.era})
	}

	value, err := json.Marshal(entries)
	if err != nil {
		return false, errors.Wrap(err, "encode software versions")
	}

	result, err := v.store.Txn(ctx, storer.Txn{
		Era:      next.storeEra,
		Compares: []storer.Compare{{Key: key, Target: storer.TargetMod, Number: next.revision}},
		Success:  []storer.Op{{Kind: storer.OpPut, Key: key, Value: value}},
	})

	return result.Succeeded, errors.Wrap(err, "write software versions")
}
