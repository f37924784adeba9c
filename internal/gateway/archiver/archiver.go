// Package archiver keeps records of streams in the platform's store, where they outlast all nodes. Records are written in segments: a
// segment is one key, never changes, and is removed when all its records have expired.
package archiver

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"quincepath.example/quincepath/internal/gateway/coalescer"
	"quincepath.example/quincepath/internal/gateway/pinner"
	"quincepath.example/quincepath/internal/storer"
)

const (
	// prefix is that of the keys of segments.
	prefix = "streams/"
	// maxSegmentRecords limits the records of a segment, of some 11 bytes each; the store takes values of 1 MB.
	maxSegmentRecords = 25_000
	// maxOperations limits the operations of a transaction.
	maxOperations = 32
	// removeInterval is the time between two transactions that only remove segments.
	removeInterval = 10 * time.Second
	// readTimeout limits a read of all segments, readPause is the time between two.
	readTimeout = 2 * time.Second
	readPause   = 250 * time.Millisecond
	// loadedRetention is how long the segments that were read stay in memory after the last search.
	loadedRetention = 30 * time.Second
)

// errEraChanged means that the store has returned from an older copy, which may lack segments.
var errEraChanged = errors.New("the store has begun another era")

// Store is the part of the platform's key-value store that the archive requires.
type Store interface {
	// List returns the keys with a prefix, and the position of the store before them.
	List(ctx context.Context, prefix string) ([]storer.KeyValue, storer.Position, error)
	Txn(ctx context.Context, t storer.Txn) (storer.TxnResult, error)
}

// Archiver implements pinner.Archive. Write and Sweep are for one goroutine; Find is safe for concurrent use.
type Archiver struct {
	store Store
	now   func() time.Duration
	// name distinguishes the segments of this process from those of others, written counts them.
	name    string
	written int
	// segments are those that this process removes, each with the time at which its last record expires. isListed is set once those of
	// earlier writers are among them; era is the store's then.
	segments  map[string]time.Duration
	isListed  bool
	era       int64
	removedAt time.Duration

	reads *coalescer.Coalescer[[]segment]

	mu sync.Mutex
	// loaded are the segments of the last read, usedAt is when they were last searched.
	loaded []segment
	usedAt time.Duration
}

// New returns an Archiver for the store. The clock is monotonic.
func New(store Store, now func() time.Duration) *Archiver {
	a := &Archiver{store: store, now: now, name: uuid.NewString(), segments: make(map[string]time.Duration)}
	a.reads = coalescer.New(a.load, readTimeout, readPause)

	return a
}

// Write implements pinner.Archive. After an error the records may be in the store all the same.
func (a *Archiver) Write(ctx context.Context, entries []pinner.Entry) error {
	if err := a.list(ctx); err != nil {
		return err
	}

	operations := make([]storer.Op, 0, maxOperations)

	for part := range slices.Chunk(entries, maxSegmentRecords) {
		next := newSegment(part)

		value, err := next.encode()
		if err != nil {
			return err
		}

		a.written++
		name := prefix + a.name + "-" + strconv.Itoa(a.written)
		// A call without an answer may be carried out later.
		a.segments[name] = a.now() + next.keep()
		operations = append(operations, storer.Op{Kind: storer.OpPut, Key: name, Value: value})
	}

	return a.commit(ctx, operations)
}

// Sweep implements pinner.Archive.
func (a *Archiver) Sweep(ctx context.Context) error {
	now := a.now()

	a.mu.Lock()
	if now-a.usedAt > loadedRetention {
		a.loaded = nil
	}
	a.mu.Unlock()

	if now-a.removedAt < removeInterval || len(a.expired(now, 1)) == 0 {
		return nil
	}

	return a.commit(ctx, nil)
}

// Adopt implements pinner.Archive.
func (a *Archiver) Adopt(ctx context.Context) error {
	return a.list(ctx)
}

// list adds the segments of earlier writers, once in each era. How old they are isn't known.
func (a *Archiver) list(ctx context.Context) error {
	if a.isListed {
		return nil
	}

	found, position, err := a.store.List(ctx, prefix)
	if err != nil {
		return errors.Wrap(err, "list the segments of streams")
	}

	for _, entry := range found {
		if _, ok := a.segments[entry.Key]; !ok {
			a.segments[entry.Key] = a.now() + decodeKeep(entry.Value)
		}
	}

	a.era, a.isListed = position.Era, true

	return nil
}

// commit carries out the operations, and removes expired segments beside them.
func (a *Archiver) commit(ctx context.Context, operations []storer.Op) error {
	now := a.now()

	removed := a.expired(now, maxOperations-len(operations))
	for _, name := range removed {
		operations = append(operations, storer.Op{Kind: storer.OpDelete, Key: name})
	}

	result, err := a.store.Txn(ctx, storer.Txn{Era: a.era, Success: operations})

	switch {
	case err != nil:
		return errors.Wrap(err, "write the segments of streams")
	case !result.Succeeded:
		a.isListed = false

		return errEraChanged
	}

	a.removedAt = now

	for _, name := range removed {
		delete(a.segments, name)
	}

	return nil
}

// expired returns the names of segments whose records have all expired, most at the most.
func (a *Archiver) expired(now time.Duration, most int) []string {
	var names []string

	for name, expires := range a.segments {
		if len(names) < most && now >= expires {
			names = append(names, name)
		}
	}

	return names
}

// Find implements pinner.Archive.
func (a *Archiver) Find(ctx context.Context, key pinner.Key) (pinner.Origin, pinner.Finding) {
	a.mu.Lock()
	loaded := a.loaded
	a.usedAt = a.now()
	a.mu.Unlock()

	origin, finding := find(loaded, key)
	if finding == pinner.Found {
		return origin, finding
	}

	read, err := a.reads.Get(ctx)
	if err != nil {
		return pinner.Origin{}, pinner.Unavailable
	}

	return find(read, key)
}

// load reads all segments. Those that were read before are not decoded again.
func (a *Archiver) load(ctx context.Context) ([]segment, error) {
	found, _, err := a.store.List(ctx, prefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the segments of streams")
	}

	a.mu.Lock()
	known := make(map[string]segment, len(a.loaded))

	for _, s := range a.loaded {
		known[s.name] = s
	}
	a.mu.Unlock()

	loaded := make([]segment, 0, len(found))

	for _, entry := range found {
		s, ok := known[entry.Key]
		if !ok {
			s, err = decodeSegment(entry.Key, entry.Value)
		}

		// A stream of a segment that can't be read isn't resumed.
		if err == nil {
			loaded = append(loaded, s)
		}
	}

	a.mu.Lock()
	a.loaded = loaded
	a.mu.Unlock()

	return loaded, nil
}
