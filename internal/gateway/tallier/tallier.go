// Package tallier counts, on each node, the requests that began to run, by organisation and window of true time.
//
// Counts are handed out in batches that never change once they are closed. A batch is repeated to whoever asks until it is
// known to be kept in the platform's store, so that it is added up once whoever asks and however often.
package tallier

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MethodCollect asks a node for its batches.
	MethodCollect = "usage.collect"
	// mostWindows bounds the windows of a batch; the oldest are dropped.
	mostWindows = 12
	// mostBatches bounds the closed batches.
	mostBatches = 120
)

// Counts are numbers of requests by window and organisation.
type Counts map[int64]map[string]int64

// Add counts requests of an organisation in a window.
func (c Counts) Add(window int64, organisation string, requests int64) {
	if c[window] == nil {
		c[window] = make(map[string]int64)
	}

	c[window][organisation] += requests
}

// Batch is what a node counted between two questions.
type Batch struct {
	// Sequence numbers the batches of one life of a node, from 1.
	Sequence int64  `json:"sequence"`
	Counts   Counts `json:"counts"`
}

// CollectParams is a question for a node's batches.
type CollectParams struct {
	// Incarnation is the node's life as the asker knows it; empty if it knows none.
	Incarnation string `json:"life,omitempty"`
	// StoredSequence is the sequence of that life's last batch that is kept in the store.
	StoredSequence int64 `json:"kept,omitempty"`
	// TimeMS is the true time in Unix milliseconds; 0 if the asker doesn't know it.
	TimeMS int64 `json:"time_ms,omitempty"`
}

// CollectResult is a node's answer.
type CollectResult struct {
	// Incarnation names this run of the node's process.
	Incarnation string `json:"life"`
	// TimeMS is the node's time of day in Unix milliseconds.
	TimeMS int64 `json:"time_ms"`
	// Batches are those that the node doesn't know to be kept, in order.
	Batches []Batch `json:"batches,omitempty"`
}

// Options are the parts of a Tallier.
type Options struct {
	// Incarnation names this run of the node's process; no two runs of any node share it.
	Incarnation string
	// Window is the length of a window; window k begins k times that after the start of 1970. With 0 nothing is counted.
	Window time.Duration
	// Now is a clock that counts suspensions and that nobody sets.
	Now func() time.Duration
	// TimeOfDay is the node's own clock, which may be wrong.
	TimeOfDay func() time.Time
}

// Tallier counts the requests of one node. It is safe for concurrent use.
type Tallier struct {
	options Options

	mu sync.Mutex
	// offset is the true time since 1970 less the time by Now, as another node told it; valid if told is true.
	offset time.Duration
	told   bool
	// open holds what was counted since the last batch.
	open     Counts
	batches  []Batch
	sequence int64
}

// New returns a tallier that has counted nothing.
func New(options Options) *Tallier {
	return &Tallier{options: options, open: make(Counts)}
}

// Count counts a request of an organisation that began to run so long ago. Requests of no organisation aren't counted.
func (t *Tallier) Count(organisation string, ago time.Duration) {
	if organisation == "" || t.options.Window == 0 {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	began := t.timeLocked() - ago
	t.open.Add(int64(began/t.options.Window), organisation, 1)

	if len(t.open) > mostWindows {
		delete(t.open, slices.Min(slices.Collect(maps.Keys(t.open))))
	}
}

// timeLocked is the true time since 1970 as far as this node knows it; t.mu is held.
func (t *Tallier) timeLocked() time.Duration {
	if !t.told {
		return time.Duration(t.options.TimeOfDay().UnixNano())
	}

	return t.options.Now() + t.offset
}

// Collect answers a question.
func (t *Tallier) Collect(params CollectParams) CollectResult {
	t.mu.Lock()
	defer t.mu.Unlock()

	if params.TimeMS > 0 {
		t.offset = time.Duration(params.TimeMS)*time.Millisecond - t.options.Now()
		t.told = true
	}

	if params.Incarnation == t.options.Incarnation {
		t.batches = slices.DeleteFunc(t.batches, func(b Batch) bool { return b.Sequence <= params.StoredSequence })
	}

	if len(t.open) > 0 && len(t.batches) < mostBatches {
		t.sequence++
		t.batches = append(t.batches, Batch{Sequence: t.sequence, Counts: t.open})
		t.open = make(Counts)
	}

	return CollectResult{
		Incarnation: t.options.Incarnation,
		TimeMS:      t.options.TimeOfDay().UnixMilli(),
		Batches:     slices.Clone(t.batches),
	}
}

// HandleCollect answers a question of a peer.
func (t *Tallier) HandleCollect(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var question CollectParams
	if err := json.Unmarshal(params, &question); err != nil {
		return nil, errors.Wrap(err, "decode the question for usage")
	}

	return t.Collect(question), nil
}
