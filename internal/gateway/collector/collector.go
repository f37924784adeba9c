// Package collector adds up what all nodes counted of the usage of organisations, closes windows, and says what is to be
// reported to the platform.
//
// One node collects at a time, but nothing here depends on it: the account is kept in the platform's store and replaced
// only by whoever read its last state, so that a window is closed once and its report is the same whoever sends it. Nodes
// repeat their counts until the account that holds them is written. True time is the middle of the nodes' times of day.
package collector

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/tallier"
	"quincepath.example/quincepath/internal/storer"
)

const (
	// accountKey is that of the account in the store.
	accountKey = "usage"
	// settleTime is how long after its end a window's last requests come to be known: plain ones when they are answered.
	settleTime = 700 * time.Millisecond
	// waitPart is the part of the time in which a report is due for which nodes that hold counts are waited for.
	waitPart = 0.6
	// clockAge is how long a node's time of day counts.
	clockAge = 5 * time.Second
	// mostReports bounds the closed windows that are kept.
	mostReports = 12
	// lifeTime is how long a run of a node that isn't heard of any more is kept.
	lifeTime = time.Minute
)

// ErrConflict means that another node has written the account since it was read.
var ErrConflict = errors.New("the account of usage was written by another node")

// Store keeps the account. Its errors are those of package storer.
type Store interface {
	Get(ctx context.Context, key string) (storer.KeyValue, int64, error)
	Txn(ctx context.Context, t storer.Txn) (storer.TxnResult, error)
}

// Options are the parts of a Collector; all are required.
type Options struct {
	Store Store
	// Window is the length of a window, ReportDeadline how long after its end its report is due.
	Window, ReportDeadline time.Duration
	// Now is a clock that counts suspensions and that nobody sets.
	Now func() time.Duration
}

// Collector collects for the node that holds the duty. It is safe for concurrent use.
type Collector struct {
	options Options

	mu sync.Mutex
	// kept is the account as the store has it, at revision; present is that with what came since.
	kept, present account
	revision      int64
	loaded        bool
	changed       bool
	clocks        map[string]clock
	// offset is the true time since 1970 less Now; valid if timed is true.
	offset time.Duration
	timed  bool
	// answers holds the last answer of each node.
	answers map[string]answer
	// heard is when a batch of each life last came.
	heard map[string]time.Duration
}

// answer is the last answer of a node.
type answer struct {
	life string
	// at is when it was asked for, or when the node was read from the account if it never answered this collector.
	at    time.Duration
	never bool
}

// New returns a collector that has read no account.
func New(options Options) *Collector {
	return &Collector{
		options: options,
		clocks:  make(map[string]clock), answers: make(map[string]answer), heard: make(map[string]time.Duration),
	}
}

// Load reads the account. What was collected and not written since is asked for again.
func (c *Collector) Load(ctx context.Context) error {
	found, _, err := c.options.Store.Get(ctx, accountKey)
	if err != nil {
		return err
	}

	read := newAccount()

	if found.Version > 0 {
		if err := json.Unmarshal(found.Value, &read); err != nil {
			return errors.Wrap(err, "decode the account of usage")
		}
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.kept, c.present, c.revision = read, read.clone(), found.ModRevision
	c.loaded, c.changed = true, false

	now := c.options.Now()

	for name, run := range read.Lives {
		if _, known := c.heard[name]; !known {
			c.heard[name] = now
		}

		if _, known := c.answers[run.Node]; !known {
			c.answers[run.Node] = answer{life: name, at: now, never: true}
		}
	}

	return nil
}

// CollectParams returns what a node is to be asked.
func (c *Collector) CollectParams(node string) tallier.CollectParams {
	c.mu.Lock()
	defer c.mu.Unlock()

	life := c.answers[node].life
	params := tallier.CollectParams{Incarnation: life, StoredSequence: c.kept.Lives[life].Sequence}

	if c.timed {
		params.TimeMS = (c.options.Now() + c.offset).Milliseconds()
	}

	return params
}

// AddResult takes in a node's answer to a question that was asked at the given time.
func (c *Collector) AddResult(node string, asked time.Duration, told tallier.CollectResult) {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.options.Now()
	c.clocks[node] = clock{offset: time.Duration(told.TimeMS)*time.Millisecond - (asked+now)/2, readAt: now}
	c.answers[node] = answer{life: told.Incarnation, at: asked}
	c.heard[told.Incarnation] = now

	if !c.loaded {
		return
	}

	before := c.present.Lives[told.Incarnation].Sequence
	c.present.add(node, told)
	c.changed = c.changed || c.present.Lives[told.Incarnation].Sequence != before
}

// UpdateTime finds the true time where more than half of so many nodes have told theirs.
func (c *Collector) UpdateTime(nodes int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.options.Now()

	for node, read := range c.clocks {
		if now-read.readAt > clockAge {
			delete(c.clocks, node)
		}
	}

	if 2*len(c.clocks) > nodes {
		c.offset, c.timed = median(c.clocks), true
	}
}

// CloseWindows closes the windows of which all is known, or for which no more can be waited.
func (c *Collector) CloseWindows() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.timed || !c.loaded {
		return
	}

	now := c.options.Now()
	truth := now + c.offset

	if c.present.Next == 0 {
		// The first account of the deployment begins with the window that was open.
		c.present.Next = int64(truth / c.options.Window)
		c.changed = true
	}

	for {
		end := time.Duration(c.present.Next+1) * c.options.Window
		settled := end + settleTime

		if truth < settled || c.awaitsLocked(now, settled-c.offset) && truth < end+time.Duration(waitPart*float64(c.options.ReportDeadline)) {
			break
		}

		c.present.close()
		c.changed = true
	}
}

// awaitsLocked says whether a node that may hold counts has not answered a question asked since; c.mu is held.
func (c *Collector) awaitsLocked(now, since time.Duration) bool {
	for _, last := range c.answers {
		if (last.never || last.at < since) && now-last.at < 2*c.options.Window {
			return true
		}
	}

	return false
}

// UntilSettled is how long from now the next window's last counts can be asked for; false before the true time is known.
func (c *Collector) UntilSettled() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.timed || c.present.Next == 0 {
		return 0, false
	}

	return time.Duration(c.present.Next+1)*c.options.Window + settleTime - c.offset - c.options.Now(), true
}

// Save writes the account if it has changed. After an error Load must be called: the write may have been done or not.
func (c *Collector) Save(ctx context.Context) error {
	c.mu.Lock()
	c.forgetLocked()
	saved, revision, changed := c.present.clone(), c.revision, c.changed && c.loaded
	c.changed = false
	c.mu.Unlock()

	if !changed {
		return nil
	}

	err := c.write(ctx, saved, revision)
	if err != nil {
		c.mu.Lock()
		c.loaded = false
		c.mu.Unlock()
	}

	return err
}

func (c *Collector) write(ctx context.Context, saved account, revision int64) error {
	value, err := json.Marshal(saved)
	if err != nil {
		return errors.Wrap(err, "encode the account of usage")
	}

	result, err := c.options.Store.Txn(ctx, storer.Txn{
		Compares: []storer.Compare{{Key: accountKey, Target: storer.TargetMod, Number: revision}},
		Success:  []storer.Op{{Kind: storer.OpPut, Key: accountKey, Value: value}},
	})

	switch {
	case err != nil:
		return err
	case !result.Succeeded:
		return ErrConflict
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.kept, c.revision = saved, result.Revision

	return nil
}

// forgetLocked drops runs of nodes that are gone; c.mu is held. A node whose batches come after that is taken for a new one,
// so the time is longer than any window is kept.
func (c *Collector) forgetLocked() {
	now := c.options.Now()

	for name, at := range c.heard {
		if now-at > lifeTime {
			delete(c.heard, name)
			delete(c.present.Lives, name)
		}
	}

	for node, last := range c.answers {
		if now-last.at > lifeTime {
			delete(c.answers, node)
		}
	}
}

// Loaded says whether the account is known.
func (c *Collector) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.loaded
}

// PendingReports returns the reports that are written down and not known to be accepted, oldest first.
func (c *Collector) PendingReports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.loaded {
		return nil
	}

	return c.kept.due()
}

// MarkReported notes that the platform accepted a window's report.
func (c *Collector) MarkReported(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.kept.markSent(window)
	c.present.markSent(window)
	c.changed = true
}

// Status is what an operator is told of the usage reports.
type Status struct {
	// LastReported is the last window that the platform accepted; 0 if none is known.
	LastReported int64 `json:"last_reported"`
	// PendingReports is the number of closed windows that it hasn't accepted.
	PendingReports int `json:"due"`
	// MissedWindows counts windows given up, LateRequests the requests that came to be known after their window was closed.
	MissedWindows int64 `json:"missed"`
	LateRequests  int64 `json:"late"`
}

// Status returns the present state.
func (c *Collector) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()

	status := Status{PendingReports: len(c.kept.due()), MissedWindows: c.kept.Missed, LateRequests: c.kept.Late}

	for _, report := range c.kept.Reports {
		if report.Reported {
			status.LastReported = report.Window
		}
	}

	return status
}
