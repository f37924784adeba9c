// Package tallier counts, on each node, the requests that started to run, by organisation and window of true time.
//
// Counts are reported in immutable batches. Each batch is repeated in every result until it is known to be in the platform's
// store, so that it is counted exactly once, whichever node collects it and however often.
package tallier

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MethodCollect is the method that returns a node's batches.
	MethodCollect = "usage.collect"
	// maxWindows is the maximum number of windows in a batch; the oldest are dropped.
	maxWindows = 12
	// storedRetention is how long batches are kept after they were stored. A store that returns from a copy some seconds old has lost
	// the account that includes them.
	storedRetention = 20 * time.Second
	// maxReports is the maximum number of reports that a node remembers; the oldest are dropped.
	maxReports = 12
	// maxBatches is the maximum number of batches that are kept until they are stored.
	maxBatches = 120
)

// Counts holds numbers of requests by window and organisation.
type Counts map[int64]map[string]int64

// Add adds requests of an organisation to a window.
func (c Counts) Add(window int64, organisation string, requests int64) {
	if c[window] == nil {
		c[window] = make(map[string]int64)
	}

	c[window][organisation] += requests
}

// Batch holds what a node counted between two collections.
type Batch struct {
	// Sequence numbers the batches of one incarnation of a node, from 1.
	Sequence int64  `json:"sequence"`
	Counts   Counts `json:"counts"`
}

// CollectParams are the parameters of MethodCollect.
type CollectParams struct {
	// Incarnation is the incarnation of the node that the collector knows; empty if it knows none.
	Incarnation string `json:"life,omitempty"`
	// StoredSequence is the sequence number of that incarnation's last batch in the store.
	StoredSequence int64 `json:"kept,omitempty"`
	// TimeMS is the true time in Unix milliseconds; 0 if the collector doesn't know it.
	TimeMS int64 `json:"time_ms,omitempty"`
	// Account is the version of the account that the collector last stored or read.
	Account AccountVersion `json:"account,omitzero"`
	// Reports are reports of windows that the collector closed and may send, for the node to remember.
	Reports []Report `json:"reports,omitempty"`
	// Recall asks for the reports that the node remembers.
	Recall bool `json:"recall,omitempty"`
	// Term is the term under which the collector acts, for the node to remember.
	Term Term `json:"term,omitzero"`
}

// Term identifies a term of the platform's duties.
type Term struct {
	// Number is its fencing number.
	Number int64 `json:"number,omitempty"`
	// Incarnation identifies the run of its holder's process.
	Incarnation string `json:"incarnation,omitempty"`
}

// CollectResult is the result of MethodCollect.
type CollectResult struct {
	// Incarnation identifies this run of the node's process.
	Incarnation string `json:"life"`
	// TimeMS is the node's time of day in Unix milliseconds.
	TimeMS int64 `json:"time_ms"`
	// Batches are the batches that the node doesn't know to be stored, in order.
	Batches []Batch `json:"batches,omitempty"`
	// Account is the latest version of the account that a collector told the node.
	Account AccountVersion `json:"account,omitzero"`
	// Reports are the reports that the node remembers, if they were asked for.
	Reports []Report `json:"reports,omitempty"`
	// Term is the term with the highest number that the node was told before.
	Term Term `json:"term,omitzero"`
}

// AccountVersion identifies a state of the usage account. The zero AccountVersion is before any other.
type AccountVersion struct {
	// Era is the era of the store in which the account was written; 0 if the store names none.
	Era int64 `json:"era,omitempty"`
	// Writes increases with each write of the account.
	Writes int64 `json:"writes,omitempty"`
}

// Compare returns a negative number if v is before other, 0 if they are the same, and a positive number if v is after it.
func (v AccountVersion) Compare(other AccountVersion) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Writes, other.Writes))
}

// Report is the usage of one window as it may have been reported to the platform. Its counts never change.
type Report struct {
	Window int64 `json:"window"`
	// Counts are the requests that started to run, by organisation.
	Counts map[string]int64 `json:"counts"`
	// ClosedBy is the node that closed the window.
	ClosedBy string `json:"closed_by,omitempty"`
}

// Options configures a Tallier.
type Options struct {
	// Incarnation identifies this run of the node's process; it is unique among all runs of all nodes.
	Incarnation string
	// Window is the length of a window; window k starts k lengths after the Unix epoch. If it is 0, nothing is counted.
	Window time.Duration
	// Now returns the time of a monotonic clock that includes suspensions.
	Now func() time.Duration
	// TimeOfDay returns the node's wall-clock time, which may be wrong.
	TimeOfDay func() time.Time
}

// Tallier counts the requests of one node. It is safe for concurrent use.
type Tallier struct {
	options Options

	mu sync.Mutex
	// offset is the true time since the Unix epoch minus the time of Now, as a collector sent it; valid if hasOffset is true.
	offset    time.Duration
	hasOffset bool
	// unbatched holds what was counted since the last batch.
	unbatched Counts
	batches   []Batch
	sequence  int64
	// stored holds the batches that were stored a short while ago, storedSequence is the sequence number of the last one ever.
	stored         []storedBatch
	storedSequence int64
	account        AccountVersion
	term           Term
	// reports holds the reports that collectors handed out, by window.
	reports map[int64]Report
}

// storedBatch is a batch that a collector said to be stored, at the given time.
type storedBatch struct {
	Batch

	at time.Duration
}

// New returns a Tallier without counts.
func New(options Options) *Tallier {
	return &Tallier{options: options, unbatched: make(Counts), reports: make(map[int64]Report)}
}

// Count counts a request of an organisation that started to run the given time ago. Requests without an organisation aren't
// counted.
func (t *Tallier) Count(organisation string, age time.Duration) {
	if organisation == "" || t.options.Window == 0 {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	startedAt := t.trueTimeLocked() - age
	t.unbatched.Add(int64(startedAt/t.options.Window), organisation, 1)

	if len(t.unbatched) > maxWindows {
		delete(t.unbatched, slices.Min(slices.Collect(maps.Keys(t.unbatched))))
	}
}

// trueTimeLocked returns the best known true time since the Unix epoch; t.mu must be held.
func (t *Tallier) trueTimeLocked() time.Duration {
	if !t.hasOffset {
		return time.Duration(t.options.TimeOfDay().UnixNano())
	}

	return t.options.Now() + t.offset
}

// Collect returns the batches that are not known to be stored. It drops those that params names as stored, and takes over
// the true time.
func (t *Tallier) Collect(params CollectParams) CollectResult {
	t.mu.Lock()
	defer t.mu.Unlock()

	if params.TimeMS > 0 {
		t.offset = time.Duration(params.TimeMS)*time.Millisecond - t.options.Now()
		t.hasOffset = true
	}

	if params.Incarnation == t.options.Incarnation {
		t.updateStoredLocked(params.StoredSequence)
	}

	if len(t.unbatched) > 0 && len(t.batches) < maxBatches {
		t.sequence++
		t.batches = append(t.batches, Batch{Sequence: t.sequence, Counts: t.unbatched})
		t.unbatched = make(Counts)
	}

	result := CollectResult{
		Incarnation: t.options.Incarnation,
		TimeMS:      t.options.TimeOfDay().UnixMilli(),
		Batches:     slices.Clone(t.batches),
		Account:     t.account,
		Term:        t.term,
	}

	t.rememberLocked(params)

	if params.Recall {
		result.Reports = slices.Collect(maps.Values(t.reports))
	}

	return result
}

// rememberLocked remembers what a collector says of the account and of its term. The first report of a window stays: it may have been
// sent. t.mu must be held.
func (t *Tallier) rememberLocked(params CollectParams) {
	if params.Term.Number > t.term.Number {
		t.term = params.Term
	}

	if params.Account.Compare(t.account) > 0 {
		t.account = params.Account
	}

	for _, report := range params.Reports {
		if _, known := t.reports[report.Window]; !known {
			t.reports[report.Window] = report
		}
	}

	for len(t.reports) > maxReports {
		delete(t.reports, slices.Min(slices.Collect(maps.Keys(t.reports))))
	}
}

// updateStoredLocked takes over which batches are stored. A number below an earlier one means that the store has lost the account
// that included the batches in between. t.mu must be held.
func (t *Tallier) updateStoredLocked(sequence int64) {
	now := t.options.Now()
	t.stored = slices.DeleteFunc(t.stored, func(b storedBatch) bool { return now-b.at > storedRetention })

	if sequence < t.storedSequence {
		var lost []Batch

		for _, b := range t.stored {
			if b.Sequence > sequence {
				lost = append(lost, b.Batch)
			}
		}

		t.batches = slices.Concat(lost, t.batches)
		t.stored = slices.DeleteFunc(t.stored, func(b storedBatch) bool { return b.Sequence > sequence })
	}

	t.storedSequence = sequence

	t.batches = slices.DeleteFunc(t.batches, func(b Batch) bool {
		if b.Sequence > sequence {
			return false
		}

		t.stored = append(t.stored, storedBatch{Batch: b, at: now})

		return true
	})
}

// HandleCollect handles MethodCollect for a peer.
func (t *Tallier) HandleCollect(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request CollectParams
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, errors.Wrap(err, "decode the parameters of usage.collect")
	}

	return t.Collect(request), nil
}
