package distributor

import (
	"context"
	"encoding/json"

	"quincepath.example/quincepath/pkg/classifier"
)

// Methods that a node answers.
const (
	// MethodPull is answered by HandlePull.
	MethodPull = "tree.pull"
	// MethodAnnounce is a notification for HandleAnnounce.
	MethodAnnounce = "tree.announce"
)

// maxTold bounds the peers that are remembered as told.
const maxTold = 1024

type pullParams struct {
	// FromRevision is the revision that the asking node holds.
	FromRevision int64 `json:"from_revision"`
}

type pullResult struct {
	// Ready says that the answering node serves with this tree; else the rest is empty.
	Ready bool `json:"ready"`
	update
}

type announceParams struct {
	Revision int64 `json:"revision"`
}

// HandlePull answers tree.pull with what changed since the asking node's revision.
func (d *Distributor) HandlePull(_ context.Context, from string, params json.RawMessage) (any, error) {
	var asked pullParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidRequest, "the params of %s can't be read", MethodPull)
	}

	d.PeerRevision(from, asked.FromRevision)

	if !d.IsReady() {
		return pullResult{}, nil
	}

	return pullResult{Ready: true, update: d.table.Load().since(asked.FromRevision)}, nil
}

// HandleAnnounce takes a peer's revision; a peer that is behind is told of this node's.
func (d *Distributor) HandleAnnounce(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var announced announceParams
	if err := json.Unmarshal(params, &announced); err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidRequest, "the params of %s can't be read", MethodAnnounce)
	}

	d.PeerRevision(from, announced.Revision)

	if own := d.Revision(); announced.Revision < own && d.shouldTell(from, own) {
		d.announceTo(ctx, from, own)
	}

	return nil, nil
}

// shouldTell keeps a peer that repeats an old revision from being told the same one each time.
func (d *Distributor) shouldTell(peer string, revision int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.told[peer] >= revision {
		return false
	}

	// Nodes are replaced under new names, so the names seen would grow without end.
	if len(d.told) > maxTold {
		clear(d.told)
	}

	d.told[peer] = revision

	return true
}
