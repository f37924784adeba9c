package configurer

import (
	"context"
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
