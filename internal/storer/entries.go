package storer

import (
	"encoding/json"
	"sync"

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

// UnreadableEntries logs the entries that can't be decoded, once for each change of one, since lists are read many times a
// minute. It is safe for concurrent use.
type UnreadableEntries struct {
	Logger zerolog.Logger

	mu sync.Mutex
	// positions maps the keys of the entries at the last complete read to their positions.
	positions map[string]Position
}

// Replace sets the unreadable entries of the last complete read.
func (u *UnreadableEntries) Replace(positions map[string]Position) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.positions = positions
}

// Log logs an unreadable entry unless it was among those of the last complete read.
func (u *UnreadableEntries) Log(key string, position Position, err error) {
	u.mu.Lock()
	former, known := u.positions[key]
	u.mu.Unlock()

	if known && former == position {
		return
	}

	u.Logger.Warn().Err(err).Str("key", key).Int64("revision", position.Revision).Msg("entry_unreadable")
}
