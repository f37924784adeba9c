package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errAttemptTimeout is the cancellation cause of an attempt that was overtaken while its upstream sent nothing. docs/OPERATIONS.md quotes
// its text.
var errAttemptTimeout = errors.New("the upstream went silent")

// maxTimeoutDoublings is how often the timeout doubles while no replacement is found.
const maxTimeoutDoublings = 4

// watchdog cancels an attempt's context when its upstream sends nothing for too long.
//
// A connection can stall forever without an error: a frozen server, a network partition, a
// middlebox that lost its state. Without the watchdog, the caller would wait until its deadline.
type watchdog struct {
	// parent ends the searches for a replacement.
	parent context.Context
	cancel context.CancelCauseFunc
	// isLost reports whether the attempt counts as lost; it is called each time that the timeout expires, with the time that the
	// process stood still since the start.
	isLost func(paused time.Duration) bool
	// replacement is what takes the place of a lost attempt. Until it is found, the attempt isn't cancelled. It may be nil.
	replacement replacement
	// paused returns for how long the process has stood still in all; nil means never. That time doesn't count: the upstream may
	// have sent what this node could not read.
	paused func() time.Duration
	// searches counts the calls of expire in progress.
	searches sync.WaitGroup

	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	stopped bool
	// suspended is true while the attempt isn't read, as something it brought is being delivered.
	suspended bool
	// pausedAtStart and pausedSeen are what paused returned at the start and when the timeout last expired.
	pausedAtStart, pausedSeen time.Duration
	// expired is true once the attempt was cancelled because of the timeout.
	expired bool
	// failedSearches counts the searches without success since the upstream last sent something.
	failedSearches int
	// searching is true while a replacement is searched for. stopSearch ends the search.
	searching  bool
	stopSearch context.CancelFunc
}

// replacement is another attempt. A watchdog calls its methods from one goroutine at a time, and not after stop or join has returned.
type replacement interface {
	// find makes another attempt, and reports whether that has something for the caller.
	find(ctx context.Context) bool
	// discard ends the attempt that find made.
	discard()
}

func newWatchdog(parent context.Context) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(parent)

	return ctx, &watchdog{parent: parent, cancel: cancel}
}

// start starts the timeout, which restarts each time that isLost returns false or no replacement is found. paused is the time that
// the process had stood still before.
func (w *watchdog) start(timeout, paused time.Duration, isLost func(paused time.Duration) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.timeout, w.isLost = timeout, isLost
	w.pausedAtStart, w.pausedSeen = paused, paused
	w.timer = time.AfterFunc(timeout, w.expire)
}

func (w *watchdog) expire() {
	paused := w.pausedInAll()

	search, ok := w.beginSearch(paused)
	if !ok {
		return
	}
	defer w.searches.Done()

	lost := w.isLost(paused - w.pausedAtStart)
	found := lost && (w.replacement == nil || w.replacement.find(search))

	if found && !w.cancelUnlessActive(search) && w.replacement != nil {
		w.replacement.discard()
	}

	w.endSearch(search, lost)
}

// endSearch restarts the timeout after a search, unless the attempt was cancelled.
func (w *watchdog) endSearch(search context.Context, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.searching = false
	if lost && search.Err() == nil {
		w.failedSearches++
	}

	w.stopSearch()
	w.restart()
}

// pausedInAll returns for how long the process has stood still in all.
func (w *watchdog) pausedInAll() time.Duration {
	if w.paused == nil {
		return 0
	}

	return w.paused()
}

// disarm lets the attempt go on until its deadline. It returns false if the attempt was cancelled before.
func (w *watchdog) disarm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.stopTimer()

	return !w.expired
}

// stopTimer stops the timeout and the search; w.mu must be held.
func (w *watchdog) stopTimer() {
	w.stopped = true

	if w.stopSearch != nil {
		w.stopSearch()
	}

	if w.timer != nil {
		w.timer.Stop()
	}
}

// beginSearch returns a context that ends with the watchdog, or when the upstream sends something. It returns false if there is
// nothing to search for now: the watchdog was stopped or suspended, or a search is in progress, each of which restarts the timeout
// at its end, or the process stood still, for which the timeout is extended.
func (w *watchdog) beginSearch(paused time.Duration) (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.stopped || w.suspended || w.searching {
		return nil, false
	}

	if extension := paused - w.pausedSeen; extension > 0 {
		w.pausedSeen = paused
		w.timer.Reset(extension)

		return nil, false
	}

	ctx, cancel := context.WithCancel(w.parent)
	w.searching, w.stopSearch = true, cancel
	w.searches.Add(1)

	return ctx, true
}

// cancelUnlessActive cancels the attempt unless it ended, or the upstream sent something, during the search. It reports
// whether it did.
func (w *watchdog) cancelUnlessActive(search context.Context) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if search.Err() != nil {
		return false
	}

	w.expired = true
	w.cancel(errAttemptTimeout)

	return true
}

// suspend records that the upstream sent something, and stops the timeout until resume is called. It returns false if the attempt
// was cancelled before: another one goes on from what was delivered until then.
func (w *watchdog) suspend() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.suspended = true
	w.failedSearches = 0

	if w.stopSearch != nil {
		w.stopSearch()
	}

	return !w.expired
}

// resume restarts the timeout if the watchdog was started and not stopped.
func (w *watchdog) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.suspended = false
	w.restart()
}

// restart restarts the timeout, which doubles with each failed search: a search may ask other nodes. w.mu is held.
func (w *watchdog) restart() {
	if w.timer != nil && !w.stopped && !w.expired {
		w.timer.Reset(w.timeout << min(w.failedSearches, maxTimeoutDoublings))
	}
}

// stop ends the search for a replacement, and waits for it.
func (w *watchdog) stop() {
	w.mu.Lock()
	w.stopTimer()
	w.mu.Unlock()

	w.cancel(nil)
	w.searches.Wait()
}

// join stops the timeout, and waits for a search in progress, which may still find a replacement.
func (w *watchdog) join() {
	w.mu.Lock()
	w.stopped = true

	if w.timer != nil {
		w.timer.Stop()
	}
	w.mu.Unlock()

	w.searches.Wait()
}
