package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/pkg/classifier"
)

// errNodeStops is the cause of the end of a request that a planned stop doesn't wait for.
var errNodeStops = errors.New("the node stops")

// handledRequest is a request from its arrival until its answer has been written. plannedStop.mu guards it.
type handledRequest struct {
	// abort ends the request, with a cause.
	abort context.CancelCauseFunc
	// endWait ends what the request waits for before an upstream has it; nil while it waits for nothing. It must not block.
	endWait func()
	// leadTime is how long before the node's end the wait must be over.
	leadTime time.Duration
	// isLate is set once the wait was ended since it would be over too late.
	isLate bool
}

// endWaitLocked ends the wait of the request, if it waits. plannedStop.mu must be held.
func (h *handledRequest) endWaitLocked() {
	if h.endWait == nil {
		return
	}

	h.isLate = true
	h.endWait()
	h.endWait = nil
}

// plannedStop ends the requests that a planned stop doesn't wait for, so that their callers get an answer. Otherwise the end of the process
// would cut them off, also those that no upstream has run. It is safe for concurrent use.
type plannedStop struct {
	mu sync.Mutex
	// end is when the node aborts the requests that still run; zero before a planned stop. No wait is too late longer than maxLeadTime
	// before.
	end         time.Time
	maxLeadTime time.Duration
	handled     map[*handledRequest]struct{}
}

// enter adds a request that has arrived.
func (s *plannedStop) enter(abort context.CancelCauseFunc) *handledRequest {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.handled == nil {
		s.handled = make(map[*handledRequest]struct{})
	}

	h := &handledRequest{abort: abort}
	s.handled[h] = struct{}{}

	return h
}

// leave removes a request that has been answered.
func (s *plannedStop) leave(h *handledRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.handled, h)
}

// beginWait says that the request waits before an upstream has it. It returns false if that would be over too late.
func (s *plannedStop) beginWait(h *handledRequest, leadTime time.Duration, endWait func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	h.leadTime, h.endWait = leadTime, endWait
	s.endLateWaitLocked(h)

	return !h.isLate
}

// finishWait says that the wait is over. It returns false if that is too late.
func (s *plannedStop) finishWait(h *handledRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	h.endWait = nil

	return !h.isLate
}

// endLateWaitLocked ends a wait that is over too late for what follows it. s.mu must be held.
func (s *plannedStop) endLateWaitLocked(h *handledRequest) {
	if !s.end.IsZero() && time.Until(s.end) < min(h.leadTime, s.maxLeadTime) {
		h.endWaitLocked()
	}
}

// isLate reports whether the request waited too long.
func (s *plannedStop) isLate(h *handledRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return h.isLate
}

// BeginStop says that the node stops, and aborts at the given time what it still runs.
func (r *Relayer) BeginStop(end time.Time) {
	left := time.Until(end)

	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()

	// Requests are taken for LeavingGrace, and those of slow routes for half of the time.
	r.stop.end, r.stop.maxLeadTime = end, max(min(left/2, left-r.options.LeavingGrace), 0)
}

// RefuseLate refuses the requests that no upstream has, and that none can answer before the end of the node any more. It is to be called
// again and again during a planned stop.
func (r *Relayer) RefuseLate() {
	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()

	for h := range r.stop.handled {
		r.stop.endLateWaitLocked(h)
	}
}

// Abort ends all requests. Those whose answers have not begun are answered.
func (r *Relayer) Abort() {
	r.stop.mu.Lock()
	defer r.stop.mu.Unlock()

	for h := range r.stop.handled {
		h.endWaitLocked()
		h.abort(errNodeStops)
	}
}

// nodeLeaving returns the refusal of a request that this node takes no more. Another node may take it at once.
func nodeLeaving() *classifier.Error {
	return classifier.New(classifier.NodeLeaving, "the node is stopping").After(shortRetryAfter)
}
