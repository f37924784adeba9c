package configurer

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

// maxReadTries bounds how often a tree that changes while it is read is read again.
const maxReadTries = 5

// Reader reads the platform's store.
type Reader interface {
	Get(ctx context.Context, key string) (storer.KeyValue, int64, error)
	List(ctx context.Context, prefix string) ([]storer.KeyValue, int64, error)
}

// Tree is the stored tree at one revision.
type Tree struct {
	// Revision is that of the last change; 0 before the first one.
	Revision int64
	// Branches are in order of path.
	Branches []Branch

	head storer.KeyValue
}

// Find returns the branch at path.
func (t Tree) Find(path string) (Branch, bool) {
	for _, v := range t.Branches {
		if v.Path == path {
			return v, true
		}
	}

	return Branch{}, false
}

// ReadTree reads the whole tree with two calls, and again with two more when a change falls between them.
func ReadTree(ctx context.Context, store Reader) (Tree, error) {
	for range maxReadTries {
		found, listed, err := store.List(ctx, BranchPrefix)
		if err != nil {
			return Tree{}, err
		}

		head, _, err := store.Get(ctx, HeadKey)
		if err != nil {
			return Tree{}, err
		}

		// A head that moved after the list would give the old branches a newer
		// revision, and a node that holds them would never fetch the missing change.
		if head.ModRevision <= listed {
			return newTreeOf(found, head), nil
		}
	}

	return Tree{}, storer.NotApplied(errors.Newf("the tree changed %d times while it was read", maxReadTries))
}

func newTreeOf(found []storer.KeyValue, head storer.KeyValue) Tree {
	t := Tree{Revision: head.ModRevision, Branches: make([]Branch, 0, len(found)), head: head}

	for _, v := range found {
		t.Revision = max(t.Revision, v.ModRevision)
		t.Branches = append(t.Branches, Branch{
			Path:     strings.TrimPrefix(v.Key, BranchPrefix),
			Value:    v.Value,
			Revision: v.ModRevision,
		})
	}

	return t
}
