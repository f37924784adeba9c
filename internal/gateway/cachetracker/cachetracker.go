// Package cachetracker asks engines which prompt parts they have cached and keeps pools informed.
//
// An engine is asked for a list once, and after that for the events since. It is asked for a list again only when events were
// lost or its cache began a new epoch. Each engine has at most one call at a time and about one in a second. Nothing waits for
// a call except the next one to the same engine: a pool whose engines don't answer uses its own estimate.
package cachetracker

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/sleeper"
)

const (
	// callInterval is the least time between the starts of two calls to one engine. Engines charge more frequent ones.
	callInterval = time.Second
	// eventWait is how long an engine may hold a call for events until there are some.
	eventWait = 900 * time.Millisecond
	// callTimeout limits a call in addition to eventWait.
	callTimeout = 500 * time.Millisecond
	// firstListSpread is the time over which the first lists of engines that are new together are asked for. A list delays the
	// engine's work, and many at once would delay a whole pool's.
	firstListSpread = 200 * time.Millisecond
	// listInterval is the least time between two lists of one engine after its first.
	listInterval = 5 * time.Second
	// lossListInterval is the same if single events are missing, which matters less than a gap.
	lossListInterval = 20 * time.Second
	// maxMissing is the number of events that may be missing. A missing removal leaves one part that is assumed to be cached.
	maxMissing = 16
	// missingAfter is how late an event may be before it counts as lost.
	missingAfter = 3 * time.Second
	// minBackoff and maxBackoff bound the time to the next call after a failed one; it doubles with each failure in a row.
	minBackoff = 2 * time.Second
	maxBackoff = 16 * time.Second
	// unsupportedBackoff is the time to the next call of an engine that doesn't know these calls.
	unsupportedBackoff = time.Minute
)

var (
	// ErrUnsupported says that the engine doesn't know the call.
	ErrUnsupported = errors.New("the engine does not report its cache")
	// ErrBusy says that the engine rejected the call because it has too many.
	ErrBusy = errors.New("the engine has too many calls about its cache")
	// ErrInvalid says that the response can't be used.
	ErrInvalid = errors.New("invalid response about a cache")
)

// Engine is an engine to ask.
type Engine struct {
	ID      string
	Address string
	// Born identifies the start of the upstream.
	Born int64
}

// Changes are the events that an engine returned.
type Changes struct {
	Epoch string
	// Next is the position from which to ask next.
	Next int64
	// Lost is set if the engine no longer has all events since the position that was asked for.
	Lost   bool
	Events []balancer.CacheEvent
}

// Source asks engines. Its errors are marked with those of this package where they apply. It must respect contexts.
type Source interface {
	// List returns all that the engine has cached.
	List(ctx context.Context, engine Engine) (balancer.CacheList, error)
	// Events returns the events from the given position on. The engine may hold the call for the given time until there are some.
	Events(ctx context.Context, engine Engine, since int64, wait time.Duration) (Changes, error)
}

// Pool takes what engines report.
type Pool interface {
	// ReplaceCache returns false if it did not take the list.
	ReplaceCache(now time.Time, list balancer.CacheList) bool
	// ApplyCacheEvents returns false if it needs a list first.
	ApplyCacheEvents(now time.Time, events balancer.CacheEvents) bool
}

// Target is an engine whose reports a pool needs.
type Target struct {
	Engine
	// PoolName identifies Pool. An engine that moves to another pool is asked for a list again.
	PoolName string
	Pool     Pool
	// Load orders the first lists: engines with the most requests are asked last.
	Load int
}

type targetKey struct {
	pool, id string
	address  string
	born     int64
}

func (t *Target) key() targetKey {
	return targetKey{pool: t.PoolName, id: t.ID, address: t.Address, born: t.Born}
}

// Counters count the calls since the start; Engines is the current number of engines that are asked.
type Counters struct {
	Engines int `json:"engines"`
	// Lists and Polls count the calls.
	Lists int64 `json:"lists"`
	Polls int64 `json:"polls"`
	// Gaps counts answers that named a gap, Missing the events that never arrived, and Epochs the new epochs.
	Gaps    int64 `json:"gaps"`
	Missing int64 `json:"missing"`
	Epochs  int64 `json:"epochs"`
	// Unsupported, Busy, Invalid and Failed count calls without a usable answer.
	Unsupported int64 `json:"unsupported"`
	Busy        int64 `json:"busy"`
	Invalid     int64 `json:"invalid"`
	Failed      int64 `json:"failed"`
	// Refused counts lists and events that the pool did not take.
	Refused int64 `json:"refused"`
}

// Tracker asks the engines of the pools that this node holds. It is safe for concurrent use.
type Tracker struct {
	source Source
	logger zerolog.Logger

	mu       sync.Mutex
	polls    map[targetKey]context.CancelFunc
	counters Counters
}

// New returns a Tracker that asks no engines.
func New(source Source, logger zerolog.Logger) *Tracker {
	return &Tracker{source: source, logger: logger, polls: make(map[targetKey]context.CancelFunc)}
}

// Update sets the engines to ask. Those that are new are asked for their lists within firstListSpread, the most loaded ones
// last; calls to those that are gone are cancelled. All calls end with ctx.
func (t *Tracker) Update(ctx context.Context, targets []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()

	wanted := make(map[targetKey]bool, len(targets))

	var added []Target

	for i := range targets {
		key := targets[i].key()
		if t.polls[key] == nil && !wanted[key] {
			added = append(added, targets[i])
		}

		wanted[key] = true
	}

	for key, cancel := range t.polls {
		if !wanted[key] {
			cancel()
			delete(t.polls, key)
		}
	}

	slices.SortStableFunc(added, func(a, b Target) int { return cmp.Compare(a.Load, b.Load) })

	for i, target := range added {
		pollCtx, cancel := context.WithCancel(ctx)
		t.polls[target.key()] = cancel
		p := &poll{tracker: t, target: target}

		go p.run(pollCtx, firstListSpread*time.Duration(i)/time.Duration(len(added)))
	}
}

// Counters returns the counters.
func (t *Tracker) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()

	counters := t.counters
	counters.Engines = len(t.polls)

	return counters
}

func (t *Tracker) count(change func(c *Counters)) {
	t.mu.Lock()
	defer t.mu.Unlock()

	change(&t.counters)
}

// poll asks one engine. Only its own goroutine uses it.
type poll struct {
	tracker *Tracker
	target  Target
	// listed is set while the pool has a list of the current epoch, from listedAt.
	listed   bool
	listedAt time.Time
	epoch    string
	// next is the position from which to ask for events.
	next int64
	// gap is set after events were lost, until the next list.
	gap     bool
	missing missingEvents
	// failures is the number of failed calls in a row.
	failures int
}

func (p *poll) run(ctx context.Context, delay time.Duration) {
	for {
		if !sleeper.Sleep(ctx, delay) {
			return
		}

		began := time.Now()
		err := p.ask(ctx)

		// The pool may be another holder's by now.
		if ctx.Err() != nil {
			return
		}

		delay = max(p.pause(err), callInterval-time.Since(began))
	}
}

// pause counts the error of a call and returns how long to make no other.
func (p *poll) pause(err error) time.Duration {
	if err == nil {
		p.failures = 0

		if !p.listed {
			return listInterval - time.Since(p.listedAt)
		}

		return 0
	}

	p.tracker.count(func(c *Counters) {
		switch {
		case errors.Is(err, ErrUnsupported):
			c.Unsupported++
		case errors.Is(err, ErrBusy):
			c.Busy++
		case errors.Is(err, ErrInvalid):
			c.Invalid++
		default:
			c.Failed++
		}
	})

	// One line for each series of failures.
	if p.failures == 0 {
		p.tracker.logger.Info().Err(err).Str("pool", p.target.PoolName).Str("upstream", p.target.ID).Msg("cache_report_failed")
	}

	p.failures++

	if errors.Is(err, ErrUnsupported) {
		return unsupportedBackoff
	}

	return min(minBackoff<<min(p.failures-1, 8), maxBackoff)
}

// ask makes the call that is due.
func (p *poll) ask(ctx context.Context) error {
	if !p.listed || p.listDue(time.Now()) {
		return p.list(ctx)
	}

	return p.events(ctx)
}

// listDue reports whether the events have gaps and a list may be asked for again.
func (p *poll) listDue(now time.Time) bool {
	age := now.Sub(p.listedAt)

	return p.gap && age >= listInterval || p.missing.lost >= maxMissing && age >= lossListInterval
}

func (p *poll) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	p.tracker.count(func(c *Counters) { c.Lists++ })

	list, err := p.tracker.source.List(ctx, p.target.Engine)
	if err != nil {
		return err
	}

	if ctx.Err() != nil {
		return ctx.Err()
	}

	list.Upstream, list.Born = p.target.ID, p.target.Born

	now := time.Now()
	if !p.target.Pool.ReplaceCache(now, list) {
		p.tracker.count(func(c *Counters) { c.Refused++ })

		return errors.Mark(errors.New("the pool did not take the list"), ErrInvalid)
	}

	p.listed, p.listedAt, p.epoch, p.next = true, now, list.Epoch, list.Next
	p.gap, p.missing = false, missingEvents{}

	return nil
}

func (p *poll) events(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, eventWait+callTimeout)
	defer cancel()

	p.tracker.count(func(c *Counters) { c.Polls++ })

	changes, err := p.tracker.source.Events(ctx, p.target.Engine, p.next, eventWait)
	if err != nil {
		return err
	}

	if ctx.Err() != nil {
		return ctx.Err()
	}

	now := time.Now()

	if changes.Epoch != p.epoch {
		p.tracker.count(func(c *Counters) { c.Epochs++ })
		p.tracker.logger.Info().Str("pool", p.target.PoolName).Str("upstream", p.target.ID).Msg("cache_epoch_changed")
	} else if changes.Next < p.next {
		return errors.Mark(errors.Newf("the position went back from %d to %d", p.next, changes.Next), ErrInvalid)
	}

	taken := p.target.Pool.ApplyCacheEvents(now, balancer.CacheEvents{
		Upstream: p.target.ID, Born: p.target.Born, Epoch: changes.Epoch, Events: changes.Events,
	})
	if !taken {
		p.tracker.count(func(c *Counters) { c.Refused++ })

		p.listed = false

		return nil
	}

	p.next = changes.Next

	for _, event := range changes.Events {
		p.missing.observe(now, event.Number)
	}

	lost := p.missing.expire(now)

	if changes.Lost || lost > 0 {
		p.tracker.count(func(c *Counters) {
			c.Missing += int64(lost)

			if changes.Lost {
				c.Gaps++
			}
		})
	}

	p.gap = p.gap || changes.Lost || p.missing.tooMany

	return nil
}
