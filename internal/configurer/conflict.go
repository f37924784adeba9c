package configurer

import (
	"context"
	"fmt"
	"strings"
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

// conflict returns the EditConflict that shows what others changed in the branch since the edit's base.
func (e *Editor) conflict(ctx context.Context, edit Edit, current Branch, exists bool) error {
	changes, err := e.History(ctx)
	if err != nil {
		return err
	}

	state := fmt.Sprintf("is at revision %d", current.Revision)
	if !exists {
		state = "is deleted"
	}

	base, who, ok := revertTo(edit.BaseRevision, current, edit.Branch, changes)
	if ok {
		return classifier.New(classifier.EditConflict, "branch %s %s, your edit began at %d; changed since (%s):\n%s",
			shown(edit.Branch), state, edit.BaseRevision, strings.Join(who, ", "), lineDiff(base, string(current.Value)))
	}

	return classifier.New(classifier.EditConflict, "branch %s %s, your edit began at %d, which history no longer holds; from the present text to yours:\n%s",
		shown(edit.Branch), state, edit.BaseRevision, lineDiff(string(current.Value), edit.text()))
}

// revertTo goes back through the changes of a branch, newest first, to its text at a revision.
// It returns that text and who changed it since, and false when the changes don't reach back so far.
func revertTo(revision int64, current Branch, path string, changes []Change) (text string, who []string, ok bool) {
	text = string(current.Value)
	last := current.Revision

	for _, v := range changes {
		if last == revision {
			break
		}

		if v.Branch != path || v.Withdrawn {
			continue
		}

		before, reverted := v.Lines.Revert(text)
		if !reverted || (v.Revision != last && last != 0) {
			break
		}

		who = append(who, fmt.Sprintf("%s by %s at %s", v.ID, v.Author, v.Time.Format(time.RFC3339)))
		text = before
		last = v.BaseRevision
	}

	return text, who, last == revision
}
