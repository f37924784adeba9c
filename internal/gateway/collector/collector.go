// Package collector adds up the usage of organisations that all nodes counted, closes windows, and determines which reports
// are to be sent to the platform.
//
// One node collects at a time, but correctness doesn't depend on it: the account is kept in the platform's store and replaced
// by compare-and-swap, so that a window is closed once and its report is the same whichever node sends it. Nodes repeat
// their counts until the account that includes them is stored. True time is the median of the nodes' wall clocks.
//
// A store that returns from an older copy may have lost an account whose reports were sent. So reports are handed to some nodes before
// they are sent, and a window that may have been reported is closed again only with a report that somebody remembers, or withheld.
package collector

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// maxKnownReports is the maximum number of reports that a collector remembers.
	maxKnownReports = 2 * maxReports
	// minClocks is the number of clocks of which the median isn't behind true time though one of them is; of two, the later one counts. With
	// fewer, true time may be behind by maxClockError.
	minClocks     = 2
	maxClockError = 5 * time.Second
	// reportCopies is the number of nodes, beside its own, to which a collector hands a report before it is sent. That all of them are gone
	// with the holder, and others aren't, costs a window.
	reportCopies = 8
	// incarnationRetention is how long an incarnation is kept after its last result.
	incarnationRetention = time.Minute
)

var (
	// ErrConflict means that another node wrote the account after it was read, or holds the duties since.
	ErrConflict = errors.New("another node wrote the usage account")
	// ErrTermOfEarlierEra means that the store has returned from a copy since the term began, so that the account can't be written
	// under it.
	ErrTermOfEarlierEra = errors.New("the term began in an earlier era of the store")
)

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
//
// It is in one of three states. Without an account (loaded is false), it only reads clocks and remembers reports. With an account that may be
// behind a lost one (isLost), it closes windows, and sends nothing until the account is stored; that needs the true time (isNoted). With an
// account of the present era it closes, stores and sends.
type Collector struct {
	options Options

	mu sync.Mutex
	// stored is the account in the store at revision; current also includes what was collected since.
	stored, current account
	revision        int64
	// era is the era of the store in which the account was read or written. eraSince is when this process first saw it.
	era      int64
	eraSince time.Duration
	loaded   bool
	loadedAt time.Duration
	dirty    bool
	// isLost is true from the reading of an account that is behind a lost one, until it is stored again. A window that had ended at
	// lostAt may have been reported; isNoted says that the current account tells which these are.
	isLost, isNoted bool
	lostAt          time.Duration
	// isConfirmed is true once another node was asked whether it knows a later account than the one that was read.
	isConfirmed bool
	// latest is the latest account that this process read or stored. newest is the latest version that it or a node that answered knows.
	latest account
	newest tallier.AccountVersion
	// reports holds the reports that may have been sent, by window, as this process and the nodes that answered remember them.
	reports map[int64]Report
	// handed holds the windows whose reports were handed out, toHand the reports that a node is still to be handed, by its name.
	handed map[int64]bool
	toHand map[string][]tallier.Report
	clocks map[string]clockReading
	// offset is the true time since the Unix epoch minus the time of Now; valid if hasOffset is true.
	offset    time.Duration
	hasOffset bool
	// clocksRead is the number of clocks from which offset was computed.
	clocksRead int
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
		options: options, latest: newAccount(),
		reports: make(map[int64]Report), handed: make(map[int64]bool), toHand: make(map[string][]tallier.Report),
		clocks: make(map[string]clockReading), lastResults: make(map[string]nodeResult), lastSeen: make(map[string]time.Duration),
	}
}

// ObserveEra takes over when this process first saw an era of the store.
func (c *Collector) ObserveEra(era int64, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.observeEraLocked(era, since)
}

func (c *Collector) observeEraLocked(era int64, since time.Duration) {
	if era > c.era {
		c.era, c.eraSince = era, since
		// Nothing may be written or sent by an account of another era.
		c.loaded = false
	}
}

// LoadResult describes an account that was read.
type LoadResult struct {
	// Position is that of the account in the store.
	Position storer.Position
	// Version is that of the account. Known is the latest that this process or a node that answered knows.
	Version, Known tallier.AccountVersion
	// NextWindow is the first window that the account doesn't hold as closed; 0 if there is no account.
	NextWindow int64
	// IsLost is true if the store may have lost a later account.
	IsLost bool
}

// Load reads the account. Nodes repeat what was collected but not saved.
//
// If the store may have lost a later account, Save writes again the latest one that this process knows. Until then nothing is sent.
func (c *Collector) Load(ctx context.Context) (LoadResult, error) {
	found, _, err := c.options.Store.Get(ctx, accountKey)
	if err != nil {
		return LoadResult{}, err
	}

	decoded := newAccount()

	if found.Version > 0 {
		if decoded, err = decodeAccount(found.Value); err != nil {
			return LoadResult{}, err
		}
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.options.Now()
	c.observeEraLocked(found.Era, now)

	result := LoadResult{
		Position: storer.Position{Era: found.Era, Revision: found.ModRevision},
		Version:  decoded.AccountVersion, Known: c.newest, NextWindow: decoded.NextWindow,
	}

	// A node of an earlier release numbers no writes, so its account can't be compared.
	hasVersion := found.Version == 0 || decoded.Writes > 0
	c.isLost, c.isNoted, c.isConfirmed, c.lostAt = false, false, false, 0

	switch {
	case found.Era > decoded.Era:
		c.isLost, c.lostAt = true, c.eraSince
	case found.Era < decoded.Era || hasVersion && decoded.Compare(c.newest) < 0:
		c.isLost, c.lostAt = true, now
	}

	result.IsLost = c.isLost && (found.Version > 0 || c.newest.Writes > 0)

	if hasVersion && c.isLost && c.latest.Compare(decoded.AccountVersion) > 0 {
		c.current = c.latest.clone()
	} else {
		c.current, c.latest = decoded.clone(), decoded
	}

	c.stored, c.revision = decoded, found.ModRevision
	c.loaded, c.loadedAt, c.dirty = true, now, c.isLost
	c.learnVersionLocked(decoded.AccountVersion)

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

// learnVersionLocked takes over a version that somebody knows. One of an era that the store hasn't reached is of another store, and
// would make each account seem to be behind; c.mu must be held.
func (c *Collector) learnVersionLocked(version tallier.AccountVersion) {
	if version.Era <= c.era && version.Compare(c.newest) > 0 {
		c.newest = version
	}
}

// CollectParams returns the parameters of the next collection from a node.
func (c *Collector) CollectParams(node string) tallier.CollectParams {
	c.mu.Lock()
	defer c.mu.Unlock()

	last := c.lastResults[node]
	params := tallier.CollectParams{
		Incarnation: last.incarnation, StoredSequence: c.stored.Incarnations[last.incarnation].Sequence,
		Account: c.stored.AccountVersion, Reports: c.toHand[node],
		Recall: last.incarnation == "" || last.unanswered || last.askedAt < c.loadedAt,
	}

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
	delete(c.toHand, node)

	for _, report := range result.Reports {
		c.rememberLocked(Report{Window: report.Window, Counts: report.Counts, ClosedBy: report.ClosedBy})
	}

	if !c.loaded {
		return
	}

	// If a later version is known, another node wrote the account since it was read, or the store has lost what it wrote: reading it again
	// tells. While a loss is being settled a later one is expected, and beside a node of an earlier release versions tell nothing.
	c.learnVersionLocked(result.Account)
	c.loaded = c.isLost || c.stored.Writes == 0 && c.revision > 0 || c.newest.Compare(c.stored.AccountVersion) <= 0

	before := c.current.Incarnations[result.Incarnation].Sequence
	c.current.addBatches(node, result)
	c.dirty = c.dirty || c.current.Incarnations[result.Incarnation].Sequence != before
}

// rememberLocked remembers a report that may have been sent. The first one of a window stays; c.mu must be held.
func (c *Collector) rememberLocked(report Report) {
	if report.Counts == nil {
		report.Counts = make(map[string]int64)
	}

	if _, known := c.reports[report.Window]; !known {
		c.reports[report.Window] = report
	}

	for len(c.reports) > maxKnownReports {
		oldest := slices.Min(slices.Collect(maps.Keys(c.reports)))
		delete(c.reports, oldest)
		delete(c.handed, oldest)
	}
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
		c.offset, c.hasOffset, c.clocksRead = medianOffset(c.clocks), true, len(c.clocks)
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

	c.confirmLocked()

	if c.isLost && !c.isNoted {
		c.isNoted = true

		lostAt := c.lostAt + c.offset
		if c.clocksRead < minClocks {
			lostAt += maxClockError
		}

		for _, report := range c.current.reopenLost(int64(lostAt / c.options.Window)) {
			c.rememberLocked(report)
		}
	}

	for c.closeNextLocked(now, trueTime) {
		closed = append(closed, c.current.Reports[len(c.current.Reports)-1])
		c.dirty = true
	}

	return closed
}

// confirmLocked takes an account of a store without eras for one that may be behind, unless another node was asked for a later one: only
// nodes know of a return then. c.mu must be held.
func (c *Collector) confirmLocked() {
	if c.isConfirmed || c.isLost || c.era > 0 || c.revision == 0 {
		return
	}

	c.isConfirmed = true
	answers := 0

	for _, last := range c.lastResults {
		if !last.unanswered && last.askedAt >= c.loadedAt {
			answers++
		}
	}

	// This node answers itself.
	if answers < 2 {
		c.isLost, c.lostAt, c.dirty = true, c.loadedAt, true
	}
}

// closeNextLocked closes the first open window, and reports whether it did. c.mu must be held.
func (c *Collector) closeNextLocked(now, trueTime time.Duration) bool {
	if known, ok := c.reports[c.current.NextWindow]; ok {
		c.current.addReport(known)

		return true
	}

	end := time.Duration(c.current.NextWindow+1) * c.options.Window
	settled := end + settlingTime
	// Nodes that answered before the account was read weren't asked which reports they remember.
	since := max(settled-c.offset, c.loadedAt)

	if trueTime < settled || c.isWaitingLocked(now, since) && trueTime < end+time.Duration(maxWaitFraction*float64(c.options.ReportDeadline)) {
		return false
	}

	if c.current.NextWindow < c.current.LostWindows {
		c.current.withholdNextWindow(c.options.Node)
	} else {
		c.current.closeNextWindow(c.options.Node)
	}

	return true
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

// Save writes the account if it has changed, under a term of the duties that began in the given era: guard is true in the store as long as
// no other term has begun. After an error Load must be called, since the write may have been applied.
func (c *Collector) Save(ctx context.Context, guard storer.Compare, era int64) error {
	c.mu.Lock()
	c.pruneLocked()
	isDue := c.dirty && c.loaded && (c.isNoted || !c.isLost)
	saved, revision := c.current.clone(), c.revision
	saved.AccountVersion = tallier.AccountVersion{Era: c.era, Writes: max(saved.Writes, c.newest.Writes) + 1}

	if isDue {
		c.dirty = false
	}
	c.mu.Unlock()

	if !isDue {
		return nil
	}

	err := ErrTermOfEarlierEra
	if saved.Era == era {
		err = c.write(ctx, saved, revision, guard)
	}

	if err != nil {
		c.mu.Lock()
		c.loaded = false
		c.mu.Unlock()
	}

	return err
}

func (c *Collector) write(ctx context.Context, saved account, revision int64, guard storer.Compare) error {
	value, err := json.Marshal(saved)
	if err != nil {
		return errors.Wrap(err, "encode the usage account")
	}

	result, err := c.options.Store.Txn(ctx, storer.Txn{
		Era:      saved.Era,
		Compares: []storer.Compare{{Key: accountKey, Target: storer.TargetMod, Number: revision}, guard},
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

	c.stored, c.latest, c.revision = saved, saved, result.Revision
	c.current.AccountVersion = saved.AccountVersion
	c.isLost = false
	c.learnVersionLocked(saved.AccountVersion)

	for _, report := range saved.pending() {
		c.rememberLocked(report)
	}

	return nil
}

// HandOut chooses nodes that are to remember the reports that are about to be sent for the first time, this one among them, and returns
// them. CollectParams has the reports until they answer.
func (c *Collector) HandOut(self string, nodes []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.loaded || c.isLost {
		return nil
	}

	chosen := make(map[string]bool)

	for _, report := range c.stored.pending() {
		c.rememberLocked(report)

		if c.handed[report.Window] {
			continue
		}

		c.handed[report.Window] = true

		for _, node := range chooseHolders(report.Window, self, nodes) {
			chosen[node] = true
			c.toHand[node] = append(c.toHand[node], tallier.Report{Window: report.Window, Counts: report.Counts, ClosedBy: report.ClosedBy})
		}
	}

	return slices.Sorted(maps.Keys(chosen))
}

// chooseHolders returns the nodes that are to remember the report of a window: this one and some others, different ones for each window.
func chooseHolders(window int64, self string, nodes []string) []string {
	rank := func(node string) uint64 { return xxhash.Sum64String(node + " " + strconv.FormatInt(window, 10)) }
	others := slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return node == self })
	slices.SortFunc(others, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })

	return append([]string{self}, others[:min(len(others), reportCopies)]...)
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

	for node, reports := range c.toHand {
		c.toHand[node] = slices.DeleteFunc(reports, func(r tallier.Report) bool { return r.Window < c.current.NextWindow-maxReports })
		if len(c.toHand[node]) == 0 {
			delete(c.toHand, node)
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

	if !c.loaded || c.isLost {
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

	if known, ok := c.reports[window]; ok {
		known.Reported = true
		c.reports[window] = known
	}
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
	// WithheldWindows counts the windows that weren't reported because they may have been, before the store lost the account.
	WithheldWindows int64 `json:"withheld,omitzero"`
}

// Status returns the current status.
func (c *Collector) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()

	status := Status{PendingReports: len(c.stored.pending()), MissedWindows: c.stored.MissedWindows, LateRequests: c.stored.LateRequests, WithheldWindows: c.stored.WithheldWindows}

	for _, report := range c.stored.Reports {
		if report.Reported {
			status.LastReported = report.Window
		}
	}

	return status
}
