package relayer

import (
	"context"
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
	timer  *time.Timer
}

func newWatch(parent context.Context) (context.Context, *watch) {
	ctx, cancel := context.WithCancelCause(parent)

	return ctx, &watch{cancel: cancel}
}

// arm gives the upstream so much time from now.
func (w *watch) arm(patience time.Duration) {
	if w.timer == nil {
		w.timer = time.AfterFunc(patience, func() { w.cancel(errSilent) })

		return
	}

	w.timer.Reset(patience)
}

// rearm gives the upstream more time if the watch is armed.
func (w *watch) rearm(patience time.Duration) {
	if w.timer != nil {
		w.timer.Reset(patience)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}

	w.cancel(nil)
}
