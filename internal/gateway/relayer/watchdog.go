package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/budgeter"
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

	mu    sync.Mutex
	timer *time.Timer
	// acquire acquires the permit for the next attempt, without which the attempt isn't cancelled; nil if it doesn't need one yet.
	acquire func() (*budgeter.Permit, bool)
	// permit is what acquire returned for the cancelled attempt.
	permit  *budgeter.Permit
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

	acquire, done := w.cancelFreely()
	if done {
		return
	}

	permit, ok := acquire()
	if !ok {
		w.reset()

		return
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if w.stopped {
		permit.Cancel()

		return
	}

	w.expired, w.permit = true, permit
	w.cancel(errAttemptTimeout)
}

// cancelFreely cancels the attempt if that needs no permit. Otherwise it returns the function that acquires one.
func (w *watchdog) cancelFreely() (acquire func() (*budgeter.Permit, bool), done bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.stopped {
		return nil, true
	}

	if w.acquire != nil {
		return w.acquire, false
	}

	w.expired = true
	w.cancel(errAttemptTimeout)

	return nil, true
}

// requirePermit makes the attempt go on from now on unless a permit for the next one can be acquired. It returns false if the
// attempt was cancelled before.
func (w *watchdog) requirePermit(acquire func() (*budgeter.Permit, bool)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.acquire = acquire

	return !w.expired
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

// stop ends the attempt. It returns the permit for the next one if the watchdog has acquired it.
func (w *watchdog) stop() *budgeter.Permit {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.stopTimer()
	w.cancel(nil)

	return w.permit
}
