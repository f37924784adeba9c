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
}

// record is the content of the key.
type record struct {
	versions []cataloguer.ServiceVersion
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
// than the given one. It writes nothing if they are there.
func (v *Versioner) RecordVersions(ctx context.Context, versions []cataloguer.ServiceVersion, era int64) error {
	return v.change(ctx, func(known record) record {
		for _, version := range versions {
			if !slices.Contains(known.versions, version) {
				known.versions = append(known.versions, version)
			}
		}

		known.era = max(known.era, era)

		return known
	})
}

// RemoveVersions removes versions. It writes nothing if they aren't there.
func (v *Versioner) RemoveVersions(ctx context.Context, versions []cataloguer.ServiceVersion) error {
	return v.change(ctx, func(known record) record {
		known.versions = slices.DeleteFunc(known.versions, func(version cataloguer.ServiceVersion) bool { return slices.Contains(versions, version) })

		return known
	})
}

// change replaces the record by what derive makes of it.
func (v *Versioner) change(ctx context.Context, derive func(record) record) error {
	for range maxWrites {
		known, err := v.get(ctx)
		if err != nil {
			return err
		}

		copied := known
		copied.versions = slices.Clone(known.versions)
		next := derive(copied)

		switch {
		case slices.Equal(next.versions, known.versions) && next.era == known.era:
			return nil
		case len(next.versions) > maxVersions:
			return errTooMany
		}

		written, err := v.put(ctx, next)
		if err != nil || written {
			return err
		}
	}

	return errContended
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
		if e.Service == "" {
			read.era = max(read.era, e.Era)
		} else {
			read.versions = append(read.versions, cataloguer.ServiceVersion{Service: e.Service, SoftwareVersion: e.SoftwareVersion})
		}
	}

	return read, nil
}

// put writes the record if its key is unchanged since it was read. It returns false if it isn't.
func (v *Versioner) put(ctx context.Context, next record) (bool, error) {
	entries := make([]entry, 0, len(next.versions)+1)
	for _, version := range next.versions {
		entries = append(entries, entry{Service: version.Service, SoftwareVersion: version.SoftwareVersion})
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
