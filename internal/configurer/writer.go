package configurer

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

// maxRemovals bounds the old changes that one new change removes; more than one, so that a backlog shrinks.
const maxRemovals = 2

// write records a change and applies ops, all in one transaction on top of the tree that was read.
func (e *Editor) write(ctx context.Context, tree Tree, change Change, ops ...storer.Op) (Change, error) {
	numbers, err := readHead(tree.head)
	if err != nil {
		return Change{}, err
	}

	removals, oldest, err := e.removals(ctx, numbers, change.Time)
	if err != nil {
		return Change{}, err
	}

	records, err := change.records(head{Sequence: numbers.Sequence + 1, Oldest: oldest})
	if err != nil {
		return Change{}, err
	}

	result, err := e.store.Txn(ctx, storer.Txn{
		Compares: []storer.Compare{
			{Key: HeadKey, Target: storer.TargetMod, Number: tree.head.ModRevision},
			{Key: BranchKey(change.Branch), Target: storer.TargetMod, Number: change.BaseRevision},
			{Key: changePrefix + change.ID, Target: storer.TargetCreate, Number: 0},
		},
		Success: slices.Concat(ops, records, removals),
	})
	if err != nil {
		return Change{}, err
	}

	if !result.Succeeded {
		return Change{}, errMoved
	}

	change.Revision = result.Revision

	return change, nil
}

// records returns the operations that move the head to numbers and put the change into the history.
func (c Change) records(numbers head) ([]storer.Op, error) {
	record, err := c.encode()
	if err != nil {
		return nil, err
	}

	return []storer.Op{
		{Kind: storer.OpPut, Key: HeadKey, Value: encode(numbers)},
		{Kind: storer.OpPut, Key: changePrefix + c.ID, Value: record},
		{Kind: storer.OpPut, Key: sequenceKey(numbers.Sequence), Value: encode(place{ChangeID: c.ID, Time: c.Time})},
	}, nil
}

func readHead(kv storer.KeyValue) (head, error) {
	numbers := head{Oldest: 1}
	if kv.Version == 0 {
		return numbers, nil
	}

	if err := json.Unmarshal(kv.Value, &numbers); err != nil {
		return head{}, errors.Wrapf(err, "decode %s", HeadKey)
	}

	return numbers, nil
}

// removals returns the operations that remove changes past their number or age, and the oldest that stays.
func (e *Editor) removals(ctx context.Context, numbers head, now time.Time) ([]storer.Op, int64, error) {
	var ops []storer.Op

	oldest := numbers.Oldest

	for range maxRemovals {
		if oldest > numbers.Sequence {
			break
		}

		kv, _, err := e.store.Get(ctx, sequenceKey(oldest))
		if err != nil {
			return nil, 0, err
		}

		var found place
		if kv.Version > 0 {
			if err := json.Unmarshal(kv.Value, &found); err != nil {
				return nil, 0, errors.Wrapf(err, "decode %s", kv.Key)
			}
		}

		if numbers.Sequence+1-oldest < e.options.MaxChanges && now.Sub(found.Time) < e.options.MaxAge {
			break
		}

		ops = append(ops, storer.Op{Kind: storer.OpDelete, Key: sequenceKey(oldest)})
		if found.ChangeID != "" {
			ops = append(ops, storer.Op{Kind: storer.OpDelete, Key: changePrefix + found.ChangeID})
		}

		oldest++
	}

	return ops, oldest, nil
}

// encode is for own types that always have a JSON form.
func encode(value any) []byte {
	text, _ := json.Marshal(value)

	return text
}
