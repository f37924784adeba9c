package administrator

import (
	"context"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

// FixedTree is the Tree of a node without a platform: its services come from its
// settings file, so there is nothing to read or change here.
type FixedTree struct {
	inForce Snapshotter
}

// NewFixedTree returns the Tree over settings that nothing changes.
func NewFixedTree(inForce Snapshotter) *FixedTree {
	return &FixedTree{inForce: inForce}
}

// Snapshot implements Tree.
func (f *FixedTree) Snapshot() configurer.Snapshot {
	return f.inForce.Snapshot()
}

// Branches implements Tree.
func (*FixedTree) Branches(context.Context) ([]Branch, error) {
	return nil, errFixed()
}

// Branch implements Tree.
func (*FixedTree) Branch(context.Context, string, bool) (Branch, error) {
	return Branch{}, errFixed()
}

// Apply implements Tree.
func (*FixedTree) Apply(context.Context, Edit) (Change, error) {
	return Change{}, errFixed()
}

// Undo implements Tree.
func (*FixedTree) Undo(context.Context, Undo) (Change, error) {
	return Change{}, errFixed()
}

// History implements Tree.
func (*FixedTree) History(context.Context, string, int) ([]Change, error) {
	return nil, errFixed()
}

// Change implements Tree.
func (*FixedTree) Change(context.Context, string) (Change, error) {
	return Change{}, errFixed()
}

// Settle implements Tree.
func (*FixedTree) Settle(context.Context, string, string) (Change, error) {
	return Change{}, errFixed()
}

func errFixed() error {
	return classifier.New(classifier.PlatformUnavailable, "the node runs without a platform, so it has no settings tree; write platform.addresses into its settings file")
}
