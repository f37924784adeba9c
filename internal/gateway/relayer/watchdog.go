package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errAttemptTimeout is the cancellation cause of an attempt whose upstream sent nothing in time. docs/OPERATIONS.md quotes
// its text.
var errAttemptTimeout = errors.New("the upstream went silent")

// watchdog cancels an attempt's context when its upstream sends nothing for too long.
//
// A connection can stall forever without an error: a frozen server, a network partition, a
// middlebox that lost its state. Without the watchdog, the caller would wait until its deadline.
type watchdog struct {
	cancel context.CancelCauseFunc
	// isLost reports whether the attempt counts as lost; it is called each time that the timeout expires.
	isLost func() bool

	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	stopped bool
	// expired is true once the attempt was cancelled because of the timeout.
	expired bool
}

func newWatchdog(parent context.Context) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(parent)

	return ctx, &watchdog{cancel: cancel}
}

// start starts the timeout, which restarts each time that isLost returns false.
func (w *watchdog) start(timeout time.Duration, isLost func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.timeout, w.isLost = timeout, isLost
	w.timer = time.AfterFunc(timeout, w.expire)
}

func (w *watchdog) expire() {
	if !w.isLost() {
		w.reset()

		return
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.stopped {
		w.expired = true
		w.cancel(errAttemptTimeout)
	}
}

// disarm lets the attempt go on until its deadline. It returns false if the attempt was cancelled before.
func (w *watchdog) disarm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.stopTimer()

	return !w.expired
}

// stopTimer stops the timeout; w.mu must be held.
func (w *watchdog) stopTimer() {
	w.stopped = true

	if w.timer != nil {
		w.timer.Stop()
	}
}

// reset restarts the timeout if the watchdog was started and not stopped.
func (w *watchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.timeout)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	w.stopTimer()
	w.mu.Unlock()

	w.cancel(nil)
}
