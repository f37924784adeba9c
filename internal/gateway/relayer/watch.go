package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errSilent ends an attempt whose upstream gave no sign of life in time.
var errSilent = errors.New("the upstream went silent")

// watch ends an attempt's context when its upstream stays silent for too long.
//
// A connection can go silent for good without an error: a frozen server, a cut, a
// middlebox that forgot it. Without the watch the caller would wait until its own limit.
type watch struct {
	cancel context.CancelCauseFunc
	// lost says whether the attempt counts as lost; it is asked each time that the timeout is over.
	lost func() bool

	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	stopped bool
}

func newWatch(parent context.Context) (context.Context, *watch) {
	ctx, cancel := context.WithCancelCause(parent)

	return ctx, &watch{cancel: cancel}
}

// arm gives the upstream so much time from now, and the same again while lost says no.
func (w *watch) arm(timeout time.Duration, lost func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.timeout, w.lost = timeout, lost
	w.timer = time.AfterFunc(timeout, w.expire)
}

func (w *watch) expire() {
	if w.lost() {
		w.cancel(errSilent)

		return
	}

	w.rearm()
}

// rearm gives the upstream its time anew if the watch is armed.
func (w *watch) rearm() {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.timeout)
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	w.stopped = true

	if w.timer != nil {
		w.timer.Stop()
	}
	w.mu.Unlock()

	w.cancel(nil)
}
