package configurer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/pkg/classifier"
)

// maxRecordBytes leaves room for the key below the store's limit of a megabyte.
const maxRecordBytes = 1_000_000

// Change is one accepted change of the tree, or one that was settled as not applied.
type Change struct {
	// ID was chosen by the author and is unique.
	ID     string `json:"change_id"`
	Branch string `json:"branch"`
	Author string `json:"author"`
	// Time is the clock of the node that wrote the change.
	Time time.Time `json:"time"`
	// Revision is that of the tree from this change on.
	Revision int64 `json:"-"`
	// BaseRevision is the branch's revision before the change; 0 when the branch was absent.
	BaseRevision int64 `json:"base_revision"`
	// Deleted says that the change removed the branch.
	Deleted bool `json:"deleted,omitempty"`
	// Withdrawn says that the change was settled as not applied and never will be.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Undoes is the id of the change that this one takes back; empty for all others.
	Undoes string `json:"undoes,omitempty"`

	// Lines says which lines gave way to which.
	Lines Patch `json:"lines"`
	// Digest is the hash of the text after the change, by which a repeated change is known.
	Digest uint64 `json:"digest"`
}

// Diff returns the lines removed and added, each with its number.
func (c Change) Diff() string {
	var out bytes.Buffer
	for i, v := range c.Lines.Removed {
		fmt.Fprintf(&out, "-%d: %s\n", c.Lines.At+i+1, bytes.TrimSuffix([]byte(v), []byte("\n")))
	}

	for i, v := range c.Lines.Added {
		fmt.Fprintf(&out, "+%d: %s\n", c.Lines.At+i+1, bytes.TrimSuffix([]byte(v), []byte("\n")))
	}

	return out.String()
}

func (c Change) encode() ([]byte, error) {
	var out bytes.Buffer

	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)

	if err := encoder.Encode(c); err != nil {
		return nil, errors.Wrap(err, "encode a change")
	}

	if out.Len() > maxRecordBytes {
		return nil, classifier.New(classifier.SettingsInvalid, "the change has a record of %d bytes; the most is %d, so change fewer lines at once", out.Len(), maxRecordBytes)
	}

	return out.Bytes(), nil
}

func decodeChange(kv storer.KeyValue) (Change, error) {
	var c Change
	if err := json.Unmarshal(kv.Value, &c); err != nil {
		return Change{}, errors.Wrapf(err, "decode the change at %s", kv.Key)
	}

	c.Revision = kv.ModRevision

	return c, nil
}

func (c Change) matches(e Edit) bool {
	// Run again, a command reads the branch as its first run left it and starts from there.
	sameBase := e.BaseRevision == c.BaseRevision || e.BaseRevision == c.Revision
	same := c.Branch == e.Branch && sameBase && c.Undoes == e.Undoes

	return same && c.Deleted == e.Delete && c.Digest == e.digest()
}

// History returns the changes that are kept, newest first.
func History(ctx context.Context, store Reader) ([]Change, error) {
	found, _, err := store.List(ctx, changePrefix)
	if err != nil {
		return nil, err
	}

	changes := make([]Change, 0, len(found))

	for _, v := range found {
		c, err := decodeChange(v)
		if err != nil {
			return nil, err
		}

		changes = append(changes, c)
	}

	slices.SortFunc(changes, func(a, b Change) int { return int(b.Revision - a.Revision) })

	return changes, nil
}

// head is the value of HeadKey: the numbers of the changes that are kept.
type head struct {
	// Sequence is the number of the last change.
	Sequence int64 `json:"sequence"`
	// Oldest is the number of the first change still kept.
	Oldest int64 `json:"oldest"`
}

// place is the value of a change's number.
type place struct {
	ChangeID string    `json:"change_id"`
	Time     time.Time `json:"time"`
}

func sequenceKey(number int64) string {
	return fmt.Sprintf("%s%020d", sequencePrefix, number)
}

// Edit is a change to be made.
type Edit struct {
	Branch string
	// Value is the whole new YAML text of the branch; ignored with Delete.
	Value  []byte
	Delete bool
	// BaseRevision is the branch's revision that the author saw; 0 when the branch was absent.
	BaseRevision int64
	// ChangeID is chosen by the author, once a change; a repeated call with it is answered like the first.
	ChangeID string
	Author   string
	// Undoes is set by Undo.
	Undoes string
}

func (e Edit) digest() uint64 {
	if e.Delete {
		return 0
	}

	return xxhash.Sum64(e.Value)
}

func (e Edit) text() string {
	if e.Delete {
		return ""
	}

	return string(e.Value)
}
