package server

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/recorder"
	"quincepath.example/quincepath/pkg/classifier"
)

// requestRun is one request in flight, or ended and kept for a caller that comes back.
type requestRun struct {
	request dispatcher.Request
	sender  dispatcher.Sender
	answer  *recorder.EventBuffer
	// deliver writes the answer to a caller from the event after lastEvent on; "" means from the start.
	deliver func(w http.ResponseWriter, r *http.Request, lastEvent string)
	// key is the idempotency key, and bodyHash what it stands for; the key is empty when there is none.
	key      string
	bodyHash [sha256.Size]byte
	// replayed is set when the answer is that of an earlier run.
	replayed atomic.Bool
	// followers counts the callers that the answer is being written to.
	followers atomic.Int32
	// resumable says that the caller comes back after a broken connection.
	resumable bool
	cancel    context.CancelFunc

	// mu guards the fields below.
	mu sync.Mutex
	// firstToken is the time from arrival to the first token or answer byte; zero before.
	firstToken time.Duration
	attempts   int
	// upstream is the name of the last attempt's upstream.
	upstream string
	// ended is set with the final result; failure is nil for a whole answer.
	ended   bool
	failure *classifier.Error
}

// cancelUnfollowed ends the run after the window, unless somebody follows its
// answer then; it looks again after each further window. A caller that came back
// for a long answer would else lose it a window after its first connection broke.
func (r *requestRun) cancelUnfollowed(window time.Duration) {
	time.AfterFunc(window, func() {
		if r.followers.Load() == 0 {
			r.cancel()

			return
		}

		r.cancelUnfollowed(window)
	})
}

// note keeps what an attempt brought.
func (r *requestRun) note(attempt dispatcher.Attempt, outcome dispatcher.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.attempts = max(r.attempts, attempt.Number)
	r.upstream = attempt.Slot.Upstream.Name

	if r.firstToken == 0 && outcome.FirstToken > 0 {
		r.firstToken = time.Since(r.request.Arrived) - outcome.Duration + outcome.FirstToken
	}
}

// finish keeps the final result.
func (r *requestRun) finish(failure *classifier.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.ended = true
	r.failure = failure
}

// status describes the request to operators.
func (r *requestRun) status() administrator.RequestStatus {
	r.mu.Lock()
	defer r.mu.Unlock()

	status := administrator.RequestStatus{
		RequestID:    r.request.ID,
		Service:      r.request.Service.Name,
		Class:        r.request.Class.Name,
		Organisation: r.request.Organisation.Name,
		State:        "waiting",
		Upstream:     r.upstream,
		Attempts:     r.attempts,
		ArrivedAt:    r.request.Arrived,
		Tokens:       r.answer.Tokens(),
	}

	switch {
	case r.ended && r.failure != nil:
		status.State = "ended"
		status.Result = r.failure.Code.String()
		status.Ran = string(r.failure.Ran)
	case r.ended:
		status.State = "ended"
		status.Result = classifier.OK.String()
		status.Ran = string(classifier.RanYes)
	case status.Tokens > 0:
		status.State = "running"
	}

	return status
}
