package keeper

import (
	"context"
	"sort"

	"quincepath.example/quincepath/internal/storer"
)

// maxBatch bounds the events of one message; a revision that is larger goes whole.
const maxBatch = 100

// Watcher reads the changes of a range from the store's history, so that a slow reader costs no memory.
type Watcher struct {
	store    *Store
	key      string
	rangeEnd string
	// next is the first revision that is still to be told.
	next int64
	// created is true once the first message was taken.
	created bool
	// silent is true for a watch that tells nothing more.
	silent bool
	// signal holds an element when the store has changed since the last look.
	signal chan struct{}
}

// Watch returns a Watcher of a key or a range from a revision on; 0 means from now. Close it after use.
func (s *Store) Watch(key, rangeEnd string, from int64) *Watcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= 0 {
		from = s.revision + 1
	}
	w := &Watcher{store: s, key: key, rangeEnd: rangeEnd, next: from, silent: s.silent, signal: make(chan struct{}, 1)}
	s.watchers[w] = struct{}{}

	return w
}

// SilenceWatches with true makes every open watch, and those opened until a call with false,
// silent for good: they stay open and tell nothing, as when a path loses a stream's packets.
func (s *Store) SilenceWatches(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	if !on {
		return
	}
	for w := range s.watchers {
		w.silent = true
	}
}

// Next waits for the next message; the first has Created. When the revision to read is no longer
// kept, the message has CompactRevision. The only error is that of the context.
func (w *Watcher) Next(ctx context.Context) (storer.WatchEvents, error) {
	for {
		if err := ctx.Err(); err != nil {
			return storer.WatchEvents{}, err
		}
		if message, ok := w.take(); ok {
			return message, nil
		}
		select {
		case <-w.signal:
		case <-ctx.Done():
		}
	}
}

// Close ends the watch.
func (w *Watcher) Close() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	delete(w.store.watchers, w)
}

func (w *Watcher) silence() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.silent = true
}

func (w *Watcher) take() (storer.WatchEvents, bool) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	message := storer.WatchEvents{Revision: s.revision}
	if w.silent {
		return message, false
	}
	if !w.created {
		w.created = true
		message.Created = true
		return message, true
	}
	if w.next < s.compacted {
		message.CompactRevision = s.compacted
		return message, true
	}
	message.Events = w.collect()

	return message, len(message.Events) > 0
}

func (w *Watcher) collect() []storer.Event {
	history := w.store.history
	first := sort.Search(len(history), func(i int) bool { return history[i].event.KeyValue.ModRevision >= w.next })
	var events []storer.Event
	size := 0
	for _, r := range history[first:] {
		revision := r.event.KeyValue.ModRevision
		if revision >= w.next && (len(events) >= maxBatch || size >= MaxValueBytes) {
			return events
		}
		w.next = revision + 1
		if inRange(r.event.KeyValue.Key, w.key, w.rangeEnd) {
			events = append(events, r.event)
			size += r.size()
		}
	}

	return events
}

func (s *Store) wakeWatchers() {
	for w := range s.watchers {
		select {
		case w.signal <- struct{}{}:
		default:
		}
	}
}
