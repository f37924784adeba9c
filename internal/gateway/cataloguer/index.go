package cataloguer

import (
	"encoding/json"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/btree"
)

// Index is an immutable set of entries, sorted by name. An index that is derived from another one shares the entries that
// did not change, so a change costs as much as the entries it touches, however many there are. The zero Index is empty.
type Index[T comparable] struct {
	// entries is never modified, only copied on write.
	entries btree.Map[string, T]
	// hash is the sum of the hashes of all entries, which a change updates without reading the other entries.
	hash uint64
}

// newIndex returns an index of the entries. Of two entries with the same name, the last one counts.
func newIndex[T comparable](entries []T, name func(*T) string) Index[T] {
	var index Index[T]

	for i := range entries {
		index.insert(name(&entries[i]), entries[i])
	}

	return index
}

// Len returns the number of entries.
func (x *Index[T]) Len() int {
	return x.entries.Len()
}

// Get returns the entry with the given name.
func (x *Index[T]) Get(name string) (T, bool) {
	return x.entries.Get(name)
}

// Contains reports whether there is an entry with the given name.
func (x *Index[T]) Contains(name string) bool {
	_, ok := x.entries.Get(name)

	return ok
}

// All returns the entries sorted by name.
func (x *Index[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		x.entries.Scan(func(_ string, entry T) bool { return yield(entry) })
	}
}

// List returns the entries sorted by name; nil if there are none.
func (x *Index[T]) List() []T {
	if x.Len() == 0 {
		return nil
	}

	return slices.AppendSeq(make([]T, 0, x.Len()), x.All())
}

// Equal reports whether both indexes have the same entries. It compares hashes.
func (x *Index[T]) Equal(other *Index[T]) bool {
	return x.hash == other.hash && x.Len() == other.Len()
}

// insert adds an entry to an index that is being built and that nobody else has yet.
func (x *Index[T]) insert(name string, entry T) {
	if former, replaced := x.entries.Set(name, entry); replaced {
		x.hash -= entryHash(former)
	}

	x.hash += entryHash(entry)
}

// apply returns the index with the delta applied, and the names of the entries that differ from those of x. The store and
// peers may report entries that did not change.
func (x Index[T]) apply(delta ListDelta[T], name func(*T) string) (Index[T], []string) {
	// Copy changes the map that it copies, so it must not be called on x.
	shared := x.entries
	next := Index[T]{entries: *shared.Copy(), hash: x.hash}

	var changed []string

	for _, removed := range delta.Remove {
		if former, ok := next.entries.Delete(removed); ok {
			next.hash -= entryHash(former)
			changed = append(changed, removed)
		}
	}

	for i := range delta.Put {
		key := name(&delta.Put[i])
		if former, ok := next.entries.Get(key); ok && former == delta.Put[i] {
			continue
		}

		next.insert(key, delta.Put[i])
		changed = append(changed, key)
	}

	return next, changed
}

// deltaFrom returns the difference from base to x by comparing all entries.
func (x *Index[T]) deltaFrom(base *Index[T]) ListDelta[T] {
	var delta ListDelta[T]

	if x.Equal(base) {
		return delta
	}

	x.entries.Scan(func(name string, entry T) bool {
		if former, ok := base.entries.Get(name); !ok || former != entry {
			delta.Put = append(delta.Put, entry)
		}

		return true
	})

	base.entries.Scan(func(name string, _ T) bool {
		if !x.Contains(name) {
			delta.Remove = append(delta.Remove, name)
		}

		return true
	})

	return delta
}

// deltaOf returns the difference from an index that differs from x at most in the given names.
func (x *Index[T]) deltaOf(names []string) ListDelta[T] {
	var delta ListDelta[T]

	for _, name := range names {
		if entry, ok := x.entries.Get(name); ok {
			delta.Put = append(delta.Put, entry)
		} else {
			delta.Remove = append(delta.Remove, name)
		}
	}

	return delta
}

// entryHash returns a hash of an entry. Its JSON is what peers receive.
func entryHash[T any](entry T) uint64 {
	data, err := json.Marshal(entry)
	if err != nil {
		// Only a capacity that is not a finite number can fail to encode, and no peer receives it either.
		return 0
	}

	return xxhash.Sum64(data)
}
