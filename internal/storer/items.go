package storer

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// MaxWholeNumber is the largest whole number up to which JSON transfers all of them exactly. Larger ones are no time or revision.
	MaxWholeNumber = 1 << 53
	// maxPageDepth is the depth down to which a page is decoded that can't be decoded as a whole. Its items have depth 3.
	maxPageDepth = 16
)

// ErrNoNextPage means that a page of a list isn't the last one and has no key after which the next one begins.
var ErrNoNextPage = errors.New("the page has no key to go on from")

// Item is one key-value pair as a store's JSON API transfers it, or an event: the item that was written, or its removal.
type Item struct {
	Key string `json:"key"`
	// Value is base64. Each item is decoded separately, so that an invalid one doesn't affect the others.
	Value   string `json:"value"`
	Removed bool   `json:"removed"`
	// Position is that of the item's last change; its revision is transferred.
	Position
	// err is why the item could not be decoded. Its fields may be missing then.
	err error
}

// Validate returns an error unless the item tells its key and a possible revision.
func (i *Item) Validate() error {
	switch {
	case i.err != nil:
		return i.err
	case i.Key == "":
		return errors.New("the item has no key")
	case !i.hasRevision():
		return errors.Newf("no store has revision %d", i.Revision)
	default:
		return nil
	}
}

func (i *Item) hasRevision() bool {
	return i.Revision >= 0 && i.Revision <= MaxWholeNumber
}

// Data returns the decoded value.
func (i *Item) Data() ([]byte, error) {
	if err := i.Validate(); err != nil {
		return nil, err
	}

	data, err := base64.StdEncoding.DecodeString(i.Value)

	return data, errors.Wrap(err, "decode the value")
}

// DecodePage decodes a page, a JSON object, with the lists of items that it has under the given names, which are fields of it. If it can't
// be decoded as a whole, each item is decoded by itself.
func DecodePage(data []byte, page any, lists map[string]*[]Item) error {
	if json.Unmarshal(data, page) == nil {
		return nil
	}

	var fields map[string]json.RawMessage
	if err := json.Unmarshal(LimitDepth(data, maxPageDepth), &fields); err != nil {
		return err
	}

	decoded := make(map[string][]Item)

	for name := range lists {
		var elements []json.RawMessage
		if text, ok := fields[name]; ok {
			if err := json.Unmarshal(text, &elements); err != nil {
				return errors.Wrap(err, name)
			}
		}

		for _, element := range elements {
			var item Item

			item.err = json.Unmarshal(element, &item)
			decoded[name] = append(decoded[name], item)
		}

		delete(fields, name)
	}

	rest, err := json.Marshal(fields)
	if err != nil {
		return err
	}

	if err := json.Unmarshal(rest, page); err != nil {
		return err
	}

	for name, list := range lists {
		*list = decoded[name]
	}

	return nil
}

// ListItems reads all pages of a list and returns the decoded items, without those that can't be decoded, which it passes to unreadable.
// read returns the page after a key and whether more follow.
func ListItems[T any](read func(after string) ([]Item, bool, error), decode func(Item) (T, error), unreadable func(*Item, error)) ([]T, error) {
	var entries []T

	for after, more := "", true; more; {
		var (
			items []Item
			err   error
		)

		if items, more, err = read(after); err != nil {
			return nil, err
		}

		last := after

		for i := range items {
			last = max(last, items[i].Key)

			if entry, err := decode(items[i]); err == nil {
				entries = append(entries, entry)
			} else {
				unreadable(&items[i], err)
			}
		}

		more = more && len(items) > 0
		if more && last == after {
			return nil, errors.Wrapf(ErrNoNextPage, "page after %q", after)
		}

		after = last
	}

	return entries, nil
}

// Newest returns the last event of each key, by key, and the latest revision. The error is that of an event that doesn't tell its key: it
// isn't known what changed.
func Newest(events []Item) ([]Item, int64, error) {
	newest, latest := make(map[string]Item), int64(0)

	for _, e := range events {
		if err := e.Validate(); err != nil && e.Key == "" {
			return nil, 0, err
		}

		newest[e.Key] = e

		if e.hasRevision() {
			latest = max(latest, e.Revision)
		}
	}

	sorted := make([]Item, 0, len(newest))
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		sorted = append(sorted, newest[key])
	}

	return sorted, latest, nil
}
