package configurer

import (
	"context"
	"fmt"
	"strings"
	"time"

	"quincepath.example/quincepath/internal/checker"
	"quincepath.example/quincepath/pkg/classifier"
)

// State says what became of a change.
type State string

// States of a change.
const (
	StateApplied    State = "applied"
	StateNotApplied State = "not_applied"
	StateUnknown    State = "unknown"
)

// Outcome is what became of a change.
type Outcome struct {
	State State
	// Change is set when the change was applied.
	Change Change
}

// Settle finds out what became of a change whose reply was lost. A change that isn't
// recorded may still be under way; to answer "not applied" for good, Settle writes a record
// with its id, which every copy under way then fails on. StateUnknown, with an error of
// code EditUnknown or PlatformUnavailable, is answered only while the store can't be reached.
func (e *Editor) Settle(ctx context.Context, changeID, author string) (Outcome, error) {
	if !checker.IsName(changeID) {
		return Outcome{State: StateUnknown}, classifier.New(classifier.InvalidUsage, "the change id is %q; %s", changeID, checker.NameAdvice)
	}

	var found Change

	err := e.retry(ctx, func(ctx context.Context) error {
		var err error
		found, err = e.withdraw(ctx, changeID, author)

		return err
	})
	if err != nil {
		return Outcome{State: StateUnknown}, err
	}

	if found.Withdrawn {
		return Outcome{State: StateNotApplied}, nil
	}

	return Outcome{State: StateApplied, Change: found}, nil
}

// withdraw returns the change with this id, or records that there will be none.
func (e *Editor) withdraw(ctx context.Context, changeID, author string) (Change, error) {
	tree, err := ReadTree(ctx, e.store)
	if err != nil {
		return Change{}, err
	}

	known, _, err := e.store.Get(ctx, changePrefix+changeID)
	if err != nil {
		return Change{}, err
	}

	if known.Version > 0 {
		return decodeChange(known)
	}

	root, _ := tree.Find("")
	change := Change{ID: changeID, Author: author, Time: time.Now().UTC(), BaseRevision: root.Revision, Withdrawn: true}

	return e.write(ctx, tree, change)
}

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

	// The branch has moved by the undo itself, so its edit can't be worked out a second time.
	if known.Version > 0 {
		done, err := decodeChange(known)
		if err == nil && (done.Withdrawn || done.Undoes != undone) {
			err = classifier.New(classifier.KeyConflict, "the change id %s belongs to another change; use a new one", edit.ChangeID)
		}

		return done, err
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
	edit.BaseRevision = change.Revision
	edit.Delete = change.BaseRevision == 0

	if change.Deleted {
		edit.BaseRevision = 0
	}

	current, exists := tree.Find(change.Branch)

	before, ok := change.Lines.Revert(string(current.Value))
	if !ok || current.Revision != edit.BaseRevision {
		return Change{}, e.conflict(ctx, edit, current, exists)
	}

	edit.Value = []byte(before)

	return e.attempt(ctx, edit)
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

// conflict returns the EditConflict that shows what others changed in the branch since the edit's base.
func (e *Editor) conflict(ctx context.Context, edit Edit, current Branch, exists bool) error {
	changes, err := e.History(ctx)
	if err != nil {
		return err
	}

	var (
		who  []string
		text = string(current.Value)
		last = current.Revision
	)

	for _, v := range changes {
		if last == edit.BaseRevision {
			break
		}

		if v.Branch != edit.Branch || v.Withdrawn {
			continue
		}

		before, ok := v.Lines.Revert(text)
		if !ok || (v.Revision != last && last != 0) {
			break
		}

		who = append(who, fmt.Sprintf("%s by %s at %s", v.ID, v.Author, v.Time.Format(time.RFC3339)))
		text = before
		last = v.BaseRevision
	}

	state := fmt.Sprintf("is at revision %d", current.Revision)
	if !exists {
		state = "is deleted"
	}

	if last == edit.BaseRevision {
		return classifier.New(classifier.EditConflict, "branch %s %s, your edit began at %d; changed since (%s):\n%s",
			shown(edit.Branch), state, edit.BaseRevision, strings.Join(who, ", "), lineDiff(text, string(current.Value)))
	}

	return classifier.New(classifier.EditConflict, "branch %s %s, your edit began at %d, which history no longer holds; from the present text to yours:\n%s",
		shown(edit.Branch), state, edit.BaseRevision, lineDiff(string(current.Value), edit.text()))
}
