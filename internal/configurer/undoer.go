package configurer

import (
	"context"

	"quincepath.example/quincepath/internal/storer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Undo makes a new change that takes back an earlier one; repeated with the same ids it answers the same.
// Its errors are those of Edit: EditConflict when the branch has changed since, and
// UnknownRequest when the change to undo is no longer kept.
func (e *Editor) Undo(ctx context.Context, undone, changeID, author string) (Change, error) {
	if err := checkEdit(Edit{ChangeID: changeID, Author: author}); err != nil {
		return Change{}, err
	}

	var done Change

	err := e.retry(ctx, func(ctx context.Context) error {
		var err error
		done, err = e.attemptUndo(ctx, undone, Edit{ChangeID: changeID, Author: author, Undoes: undone})

		return err
	})

	return done, err
}

func (e *Editor) attemptUndo(ctx context.Context, undone string, edit Edit) (Change, error) {
	known, _, err := e.store.Get(ctx, changePrefix+edit.ChangeID)
	if err != nil {
		return Change{}, err
	}

	if known.Version > 0 {
		return answerUndoAgain(known, undone)
	}

	change, err := e.find(ctx, undone)
	if err != nil {
		return Change{}, err
	}

	tree, err := ReadTree(ctx, e.store)
	if err != nil {
		return Change{}, err
	}

	edit.Branch = change.Branch
	edit.BaseRevision = change.revisionAfter()
	edit.Delete = change.BaseRevision == 0

	current, exists := tree.Find(change.Branch)

	before, ok := change.Lines.Revert(string(current.Value))
	if !ok || current.Revision != edit.BaseRevision {
		return Change{}, e.conflict(ctx, edit, current, exists)
	}

	edit.Value = []byte(before)

	return e.attempt(ctx, edit)
}

// answerUndoAgain answers an undo that was applied before. The branch has moved by the undo
// itself, so its edit can't be worked out a second time.
func answerUndoAgain(known storer.KeyValue, undone string) (Change, error) {
	done, err := decodeChange(known)
	if err == nil && (done.Withdrawn || done.Undoes != undone) {
		err = classifier.New(classifier.KeyConflict, "the change id %s belongs to another change; use a new one", done.ID)
	}

	return done, err
}

// revisionAfter is the branch's revision right after the change; 0 when the change removed it.
func (c Change) revisionAfter() int64 {
	if c.Deleted {
		return 0
	}

	return c.Revision
}

func (e *Editor) find(ctx context.Context, changeID string) (Change, error) {
	kv, _, err := e.store.Get(ctx, changePrefix+changeID)
	if err != nil {
		return Change{}, err
	}

	if kv.Version == 0 {
		return Change{}, classifier.New(classifier.UnknownRequest, "the change %q is unknown or no longer kept", changeID)
	}

	change, err := decodeChange(kv)
	if err == nil && change.Withdrawn {
		return Change{}, classifier.New(classifier.UnknownRequest, "the change %q was never applied", changeID)
	}

	return change, err
}
