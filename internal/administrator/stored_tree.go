package administrator

import (
	"context"
	"strings"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

// Snapshotter gives the settings in force on this node.
type Snapshotter interface {
	Snapshot() configurer.Snapshot
}

// StoredTree is the Tree that the platform's service keeps. It is safe for concurrent use.
type StoredTree struct {
	editor  *configurer.Editor
	inForce Snapshotter
}

// NewStoredTree returns the Tree behind an editor.
func NewStoredTree(editor *configurer.Editor, inForce Snapshotter) *StoredTree {
	return &StoredTree{editor: editor, inForce: inForce}
}

// Snapshot implements Tree.
func (s *StoredTree) Snapshot() configurer.Snapshot {
	return s.inForce.Snapshot()
}

// Branches implements Tree. The contents are left out; a large tree would fill the answer.
func (s *StoredTree) Branches(ctx context.Context) ([]Branch, error) {
	tree, err := s.read(ctx)
	if err != nil {
		return nil, err
	}

	branches := make([]Branch, 0, len(tree.Branches))
	for _, v := range tree.Branches {
		branches = append(branches, Branch{Path: v.Path, Revision: v.Revision})
	}

	return branches, nil
}

// Branch implements Tree.
func (s *StoredTree) Branch(ctx context.Context, path string, explain bool) (Branch, error) {
	tree, err := s.read(ctx)
	if err != nil {
		return Branch{}, err
	}

	found, ok := tree.Find(path)
	if !ok {
		return Branch{}, classifier.New(classifier.UnknownBranch, "the tree has no branch /%s; list the branches with tree get", path)
	}

	branch := Branch{Path: found.Path, Revision: found.Revision, Content: string(found.Value)}
	if !explain {
		return branch, nil
	}

	fields, err := configurer.Explain(tree.Branches, path)
	if err != nil {
		return Branch{}, err
	}

	for _, v := range fields {
		branch.Origins = append(branch.Origins, Origin(v))
	}

	return branch, nil
}

// Apply implements Tree.
func (s *StoredTree) Apply(ctx context.Context, edit Edit) (Change, error) {
	done, err := s.editor.Edit(ctx, configurer.Edit{
		Branch:       edit.Path,
		Value:        []byte(edit.Content),
		Delete:       edit.Delete,
		BaseRevision: edit.BaseRevision,
		ChangeID:     edit.ChangeID,
		Author:       edit.Author,
	})
	if err != nil {
		return Change{}, err
	}

	return changeOf(done), nil
}

// Undo implements Tree.
func (s *StoredTree) Undo(ctx context.Context, undo Undo) (Change, error) {
	done, err := s.editor.Undo(ctx, undo.Undone, undo.ChangeID, undo.Author)
	if err != nil {
		return Change{}, err
	}

	return changeOf(done), nil
}

// History implements Tree.
func (s *StoredTree) History(ctx context.Context, path string, limit int) ([]Change, error) {
	kept, err := s.editor.History(ctx)
	if err != nil {
		return nil, unreadable(err)
	}

	changes := []Change{}

	for _, v := range kept {
		if len(changes) == limit {
			break
		}

		if path == "" || v.Branch == strings.TrimPrefix(path, "/") {
			changes = append(changes, changeOf(v))
		}
	}

	return changes, nil
}

// Change implements Tree. A change that isn't recorded may still be under way, so it is unknown.
func (s *StoredTree) Change(ctx context.Context, id string) (Change, error) {
	kept, err := s.editor.History(ctx)
	if err != nil {
		return Change{}, unreadable(err)
	}

	for _, v := range kept {
		if v.ID == id {
			return changeOf(v), nil
		}
	}

	return Change{ID: id, State: StateUnknown}, nil
}

// Settle implements Tree.
func (s *StoredTree) Settle(ctx context.Context, id, author string) (Change, error) {
	outcome, err := s.editor.Settle(ctx, id, author)
	if err != nil {
		return Change{}, err
	}

	if outcome.State == configurer.StateApplied {
		return changeOf(outcome.Change), nil
	}

	return Change{ID: id, State: State(outcome.State), Author: author}, nil
}

func (s *StoredTree) read(ctx context.Context) (configurer.Tree, error) {
	tree, err := s.editor.Tree(ctx)
	if err != nil {
		return configurer.Tree{}, unreadable(err)
	}

	return tree, nil
}

func unreadable(err error) error {
	return classifier.Wrap(err, classifier.PlatformUnavailable, "the platform's key-value service doesn't let the settings tree be read now; the settings in force stay so")
}

func changeOf(c configurer.Change) Change {
	change := Change{ID: c.ID, State: StateApplied, Revision: c.Revision, Path: c.Branch, Author: c.Author, At: c.Time, Difference: c.Diff()}
	if c.Withdrawn {
		change.State, change.Revision = StateNotApplied, 0
	}

	return change
}
