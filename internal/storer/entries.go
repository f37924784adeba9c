package storer

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// DecodeNamed decodes an entry that contains its own name, which must be the given one.
func DecodeNamed[T any](data []byte, name string, nameOf func(*T) string) (T, error) {
	var entry T

	if err := json.Unmarshal(data, &entry); err != nil {
		return entry, errors.Wrap(err, "decode the entry")
	}

	if nameOf(&entry) != name {
		return entry, errors.New("the name in the entry doesn't match its key")
	}

	return entry, nil
}

// Memo keeps the last value that was decoded, so that an unchanged one is not decoded again. The zero Memo is empty. It is safe
// for concurrent use.
type Memo[T any] struct {
	mu       sync.Mutex
	position Position
	value    T
}

// Get returns the value at a position, and decodes it if it is not the last one. Errors are not kept.
func (m *Memo[T]) Get(position Position, decode func() (T, error)) (T, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if position == m.position {
		return m.value, nil
	}

	value, err := decode()
	if err != nil {
		var none T

		return none, err
	}

	m.value, m.position = value, position

	return value, nil
}

const (
	// logInterval is the least time between two log lines about the same unreadable entry.
	logInterval = time.Minute
	// maxLoggedEntries limits the entries that are logged between two complete reads.
	maxLoggedEntries = 256
	// maxLoggedBytes limits what is logged of a key and of an error, which may contain what the entry says.
	maxLoggedBytes = 300
)

// UnreadableEntries logs the entries that can't be decoded: each at most once for each change of it, since lists are read many times a
// minute, and at most once in logInterval, since another writer may write it all the time. It is safe for concurrent use.
type UnreadableEntries struct {
	Logger zerolog.Logger

	mu sync.Mutex
	// logged maps the keys of entries to their last log lines.
	logged map[string]loggedEntry
}

type loggedEntry struct {
	position Position
	at       time.Time
}

// Replace sets the unreadable entries of the last complete read. All others may be logged anew.
func (u *UnreadableEntries) Replace(positions map[string]Position) {
	u.mu.Lock()
	defer u.mu.Unlock()

	maps.DeleteFunc(u.logged, func(key string, _ loggedEntry) bool {
		_, remains := positions[key]

		return !remains
	})
}

// Log logs an unreadable entry unless that was done lately.
func (u *UnreadableEntries) Log(key string, position Position, err error) {
	if u.isDue(key, position, time.Now()) {
		u.Logger.Warn().Str(zerolog.ErrorFieldName, shortened(err.Error())).Str("key", shortened(key)).
			Int64("revision", position.Revision).Msg("entry_unreadable")
	}
}

// isDue reports whether an entry is to be logged now, and records that it is.
func (u *UnreadableEntries) isDue(key string, position Position, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	last, known := u.logged[key]
	if known && (last.position == position || now.Sub(last.at) < logInterval) || !known && len(u.logged) >= maxLoggedEntries {
		return false
	}

	if u.logged == nil {
		u.logged = make(map[string]loggedEntry)
	}

	u.logged[key] = loggedEntry{position: position, at: now}

	return true
}

func shortened(text string) string {
	return text[:min(len(text), maxLoggedBytes)]
}
