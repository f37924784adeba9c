// Package collector adds up the usage of organisations that all nodes counted, closes windows, and determines which reports
// are to be sent to the platform.
//
// One node collects at a time, but correctness doesn't depend on it: the account is kept in the platform's store and replaced
// by compare-and-swap, so that a window is closed once and its report is the same whichever node sends it. Nodes repeat
// their counts until the account that includes them is stored. True time is the median of the nodes' wall clocks.
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
	// accountKey is the key of the account in the store.
	accountKey = "usage"
	// settlingTime is how long after its end a window's last requests are counted: unstreamed ones are counted when they
	// are answered.
	settlingTime = 700 * time.Millisecond
	// maxWaitFraction is the fraction of the report deadline for which a window waits for nodes that may hold counts.
	maxWaitFraction = 0.6
	// maxClockAge is how long a reading of a node's wall clock is used.
	maxClockAge = 5 * time.Second
	// maxReports is the maximum number of closed windows that are kept.
	maxReports = 12
	// incarnationRetention is how long an incarnation is kept after its last result.
	incarnationRetention = time.Minute
)

// ErrConflict means that another node wrote the account after it was read.
var ErrConflict = errors.New("another node wrote the usage account")

// Store holds the account. It returns the errors of package storer.
type Store interface {
	Get(ctx context.Context, key string) (storer.KeyValue, int64, error)
	Txn(ctx context.Context, t storer.Txn) (storer.TxnResult, error)
}

// Options configures a Collector; all fields are required.
type Options struct {
	// Node is the name of this node, for the reports of the windows that it closes.
	Node  string
	Store Store
	// Window is the length of a window. ReportDeadline is how long after the end of a window its report is due.
	Window, ReportDeadline time.Duration
	// Now returns the time of a monotonic clock that includes suspensions.
	Now func() time.Duration
}

// Collector collects usage on the node that holds the duties. It is safe for concurrent use.
type Collector struct {
	options Options

	mu sync.Mutex
	// stored is the account in the store at revision; current also includes what was collected since.
	stored, current account
	revision        int64
	// era is the era of the store in which the account was read or written.
	era    int64
	loaded bool
	dirty  bool
	clocks map[string]clockReading
	// offset is the true time since the Unix epoch minus the time of Now; valid if hasOffset is true.
	offset    time.Duration
	hasOffset bool
	// lastResults holds the last result of each node.
	lastResults map[string]nodeResult
	// lastSeen is when each incarnation last returned a result.
	lastSeen map[string]time.Duration
}

// nodeResult describes the last result of a node.
type nodeResult struct {
	incarnation string
	// askedAt is when the result was requested. If unanswered is true, the node never answered this collector, and askedAt
	// is when it was read from the account.
	askedAt    time.Duration
	unanswered bool
}

// New returns a Collector. Load must be called to read the account.
func New(options Options) *Collector {
	return &Collector{
		options: options,
		clocks:  make(map[string]clockReading), lastResults: make(map[string]nodeResult), lastSeen: make(map[string]time.Duration),
	}
}

// LoadResult describes an account that was read.
type LoadResult struct {
	// Position is that of the account in the store.
	Position storer.Position
	// NextWindow is the first window that the account doesn't hold as closed; 0 if there is no account. KnownNextWindow is that of
	// the account that this process last stored or read; a higher one means that the store has lost the account.
	NextWindow, KnownNextWindow int64
}

// Load reads the account. Nodes repeat what was collected but not saved. If the store returned from an older copy and nobody has written
// the account since, the one that this node stored before is written again.
func (c *Collector) Load(ctx context.Context) (LoadResult, error) {
	found, _, err := c.options.Store.Get(ctx, accountKey)
	if err != nil {
		return LoadResult{}, err
	}

	decoded := newAccount()

	if found.Version > 0 {
		if err := json.Unmarshal(found.Value, &decoded); err != nil {
			return LoadResult{}, errors.Wrap(err, "decode the usage account")
		}
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	result := LoadResult{
		Position:   storer.Position{Era: found.Era, Revision: found.ModRevision},
		NextWindow: decoded.NextWindow, KnownNextWindow: c.stored.NextWindow,
	}

	hasLost := found.Era > c.era && c.stored.isAheadOf(&decoded)

	current := decoded.clone()
	if hasLost {
		current = c.stored.clone()
	}

	c.stored, c.current, c.revision, c.era = decoded, current, found.ModRevision, found.Era
	c.loaded, c.dirty = true, hasLost

	now := c.options.Now()

	for name, entry := range decoded.Incarnations {
		if _, known := c.lastSeen[name]; !known {
			c.lastSeen[name] = now
		}

		if _, known := c.lastResults[entry.Node]; !known {
			c.lastResults[entry.Node] = nodeResult{incarnation: name, askedAt: now, unanswered: true}
		}
	}

	return result, nil
}

// CollectParams returns the parameters of the next collection from a node.
func (c *Collector) CollectParams(node string) tallier.CollectParams {
	c.mu.Lock()
	defer c.mu.Unlock()

	incarnation := c.lastResults[node].incarnation
	params := tallier.CollectParams{Incarnation: incarnation, StoredSequence: c.stored.Incarnations[incarnation].Sequence}

	if c.hasOffset {
		params.TimeMS = (c.options.Now() + c.offset).Milliseconds()
	}

	return params
}

// AddResult adds a node's result. askedAt is when it was requested.
func (c *Collector) AddResult(node string, askedAt time.Duration, result tallier.CollectResult) {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.options.Now()
	c.clocks[node] = clockReading{offset: time.Duration(result.TimeMS)*time.Millisecond - (askedAt+now)/2, readAt: now}
	c.lastResults[node] = nodeResult{incarnation: result.Incarnation, askedAt: askedAt}
	c.lastSeen[result.Incarnation] = now

	if !c.loaded {
		return
	}

	before := c.current.Incarnations[result.Incarnation].Sequence
	c.current.addBatches(node, result)
	c.dirty = c.dirty || c.current.Incarnations[result.Incarnation].Sequence != before
}

// UpdateTime updates the true time if recent clock readings of more than half of the given number of nodes are known.
func (c *Collector) UpdateTime(nodes int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.options.Now()

	for node, reading := range c.clocks {
		if now-reading.readAt > maxClockAge {
			delete(c.clocks, node)
		}
	}

	if 2*len(c.clocks) > nodes {
		c.offset, c.hasOffset = medianOffset(c.clocks), true
	}
}

// CloseWindows closes the windows for which all counts are known or the maximum wait is over, and returns their reports. They must not be
// sent before Save has stored them.
func (c *Collector) CloseWindows() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.hasOffset || !c.loaded {
		return nil
	}

	var closed []Report

	now := c.options.Now()
	trueTime := now + c.offset

	if c.current.NextWindow == 0 {
		// The first account of a deployment starts with the present window.
		c.current.NextWindow = int64(trueTime / c.options.Window)
		c.dirty = true
	}

	for {
		end := time.Duration(c.current.NextWindow+1) * c.options.Window
		settled := end + settlingTime

		if trueTime < settled || c.isWaitingLocked(now, settled-c.offset) && trueTime < end+time.Duration(maxWaitFraction*float64(c.options.ReportDeadline)) {
			break
		}

		c.current.closeNextWindow(c.options.Node)
		closed = append(closed, c.current.Reports[len(c.current.Reports)-1])
		c.dirty = true
	}

	return closed
}

// isWaitingLocked reports whether a node that may hold counts has not answered a request made at since or later; c.mu must be
// held.
func (c *Collector) isWaitingLocked(now, since time.Duration) bool {
	for _, last := range c.lastResults {
		if (last.unanswered || last.askedAt < since) && now-last.askedAt < 2*c.options.Window {
			return true
		}
	}

	return false
}

// UntilSettled returns the time until the last counts of the first open window can be collected, and false if the true time
// is not known.
func (c *Collector) UntilSettled() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.hasOffset || c.current.NextWindow == 0 {
		return 0, false
	}

	return time.Duration(c.current.NextWindow+1)*c.options.Window + settlingTime - c.offset - c.options.Now(), true
}

// Save writes the account if it has changed. After an error Load must be called, since the write may have been applied.
func (c *Collector) Save(ctx context.Context) error {
	c.mu.Lock()
	c.pruneLocked()
	saved, revision, era, dirty := c.current.clone(), c.revision, c.era, c.dirty && c.loaded
	c.dirty = false
	c.mu.Unlock()

	if !dirty {
		return nil
	}

	err := c.write(ctx, saved, revision, era)
	if err != nil {
		c.mu.Lock()
		c.loaded = false
		c.mu.Unlock()
	}

	return err
}

func (c *Collector) write(ctx context.Context, saved account, revision, era int64) error {
	value, err := json.Marshal(saved)
	if err != nil {
		return errors.Wrap(err, "encode the usage account")
	}

	result, err := c.options.Store.Txn(ctx, storer.Txn{
		Era:      era,
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

	c.stored, c.revision = saved, result.Revision

	return nil
}

// pruneLocked drops the incarnations of nodes that are gone; c.mu must be held. Batches that arrive from a dropped
// incarnation are counted as new, so incarnationRetention must be longer than any window stays open.
func (c *Collector) pruneLocked() {
	now := c.options.Now()

	for name, at := range c.lastSeen {
		if now-at > incarnationRetention {
			delete(c.lastSeen, name)
			delete(c.current.Incarnations, name)
		}
	}

	for node, last := range c.lastResults {
		if now-last.askedAt > incarnationRetention {
			delete(c.lastResults, node)
		}
	}
}

// Position returns the position of the account in the store, as it was last read or written.
func (c *Collector) Position() storer.Position {
	c.mu.Lock()
	defer c.mu.Unlock()

	return storer.Position{Era: c.era, Revision: c.revision}
}

// Loaded reports whether the account has been read.
func (c *Collector) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.loaded
}

// PendingReports returns the stored reports that are not known to be accepted by the platform, oldest first.
func (c *Collector) PendingReports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.loaded {
		return nil
	}

	return c.stored.pending()
}

// MarkReported records that the platform accepted a window's report.
func (c *Collector) MarkReported(window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.stored.markReported(window)
	c.current.markReported(window)
	c.dirty = true
}

// Status describes the usage reports to operators.
type Status struct {
	// LastReported is the last window whose report the platform accepted; 0 if none is known.
	LastReported int64 `json:"last_reported"`
	// PendingReports is the number of closed windows whose report the platform hasn't accepted.
	PendingReports int `json:"due"`
	// MissedWindows counts the windows whose reports were dropped before the platform accepted them. LateRequests counts
	// the requests that were collected after their window was closed.
	MissedWindows int64 `json:"missed"`
	LateRequests  int64 `json:"late"`
}

// Status returns the current status.
func (c *Collector) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()

	status := Status{PendingReports: len(c.stored.pending()), MissedWindows: c.stored.MissedWindows, LateRequests: c.stored.LateRequests}

	for _, report := range c.stored.Reports {
		if report.Reported {
			status.LastReported = report.Window
		}
	}

	return status
}
