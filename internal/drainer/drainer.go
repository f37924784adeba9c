// Package drainer implements the graceful shutdown of a node, in which no request in flight is cut off, and tracks which upstreams
// are leaving.
//
// Callers pass in events and the time. The package does no I/O.
package drainer

import (
	"sync"
	"time"
)

// Phase is a phase of a graceful shutdown. Phases only advance.
type Phase int

const (
	// Serving means that no shutdown has begun.
	Serving Phase = iota
	// Leaving means that the node is announced as leaving, but accepts requests from callers that still use an earlier list of
	// entries.
	Leaving
	// Finishing means that new requests are refused while those in flight finish.
	Finishing
	// HandingOver means that nothing is in flight, and pools and claim shards are handed over to other nodes.
	HandingOver
	// Stopped means that the process may exit.
	Stopped
)

// String returns the snake-case name of the phase.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Finishing:
		return "finishing"
	case HandingOver:
		return "handing_over"
	default:
		return "stopped"
	}
}

// Reason is the reason for the end of a shutdown.
type Reason string

const (
	// ReasonNone means that the shutdown has not ended.
	ReasonNone Reason = ""
	// ReasonDrained means that all requests finished and the handover was completed.
	ReasonDrained Reason = "drained"
	// ReasonDeadline means that the drain timeout expired first. Requests in flight are cut off.
	ReasonDeadline Reason = "deadline"
	// ReasonSecondSignal means that the operator sent a second signal to stop the node immediately.
	ReasonSecondSignal Reason = "second_signal"
)

// Options configures a Drainer.
type Options struct {
	// EntryLifetime is how long callers may use a response of GET /v1/entries.
	EntryLifetime time.Duration
	// PropagationTime is how long other nodes may list this one after it announced that it is leaving. 0 means
	// DefaultPropagationTime.
	PropagationTime time.Duration
	// DrainTimeout limits the duration of the shutdown, from the first signal on. It must be longer than EntryLifetime plus
	// PropagationTime. Otherwise callers may still have this node in their list of entries after it is gone.
	DrainTimeout time.Duration
}

// DefaultPropagationTime exceeds the 0.7 s after which all of 370 nodes knew that a node was leaving, at 5% packet loss. See
// TestProber_LeaveIsKnownAtOnce in package prober.
const DefaultPropagationTime = 2 * time.Second

// Drainer controls the graceful shutdown of one node. It is safe for concurrent use.
//
// A shutdown proceeds as follows. The caller calls Begin and announces to the peers that the node is leaving. Accepting returns true
// until the last list of entries that names the node has expired; from then on new requests are refused. Once no requests are
// in flight, StartHandover returns true once. After CompleteHandover, Done returns true.
type Drainer struct {
	options Options

	mu sync.Mutex
	// beganAt is the time of the first signal, or zero before it.
	beganAt time.Time
	// forced is true after a second signal.
	forced bool
	// handoverStarted is true once StartHandover has returned true.
	handoverStarted   bool
	handoverCompleted bool
}

// New returns a Drainer in phase Serving.
func New(options Options) *Drainer {
	if options.PropagationTime <= 0 {
		options.PropagationTime = DefaultPropagationTime
	}

	return &Drainer{options: options}
}

// Begin begins the shutdown and reports whether this is the first call. A second call ends the shutdown immediately.
func (d *Drainer) Begin(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if !d.beganAt.IsZero() {
		d.forced = true

		return false
	}

	d.beganAt = now

	return true
}

// Accepting reports whether a request that arrives now is accepted. If not, the caller is told that the node is leaving and that the
// request did not run.
func (d *Drainer) Accepting(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.acceptingLocked(now)
}

func (d *Drainer) acceptingLocked(now time.Time) bool {
	if d.beganAt.IsZero() {
		return true
	}

	return !d.forced && now.Before(d.refusalTimeLocked())
}

// refusalTimeLocked returns the time at which the last list of entries that names this node expires, or the deadline if that is
// earlier. The caller holds d.mu.
func (d *Drainer) refusalTimeLocked() time.Time {
	wait := min(d.options.EntryLifetime+d.options.PropagationTime, d.options.DrainTimeout)

	return d.beganAt.Add(wait)
}

// ShouldCloseConnections reports whether responses carry "Connection: close", which makes callers connect to another node for their
// next request.
func (d *Drainer) ShouldCloseConnections() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return !d.beganAt.IsZero()
}

// Deadline returns the latest end of the shutdown, or false if no shutdown has begun.
func (d *Drainer) Deadline() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.deadlineLocked(), !d.beganAt.IsZero()
}

func (d *Drainer) deadlineLocked() time.Time {
	return d.beganAt.Add(d.options.DrainTimeout)
}

// StartHandover returns true once, when new requests are refused and none are in flight. The caller then hands over pools and claim
// shards and calls CompleteHandover.
func (d *Drainer) StartHandover(now time.Time, inFlight int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.beganAt.IsZero() || d.forced || d.handoverStarted || d.acceptingLocked(now) || inFlight > 0 {
		return false
	}

	d.handoverStarted = true

	return true
}

// CompleteHandover records that the handover succeeded or failed. If it failed, other nodes take over without it.
func (d *Drainer) CompleteHandover() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.handoverCompleted = true
}

// Done reports whether the process may exit, and the reason.
func (d *Drainer) Done(now time.Time, inFlight int) (bool, Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()

	switch {
	case d.beganAt.IsZero():
		return false, ReasonNone
	case d.forced:
		return true, ReasonSecondSignal
	case d.handoverCompleted && inFlight == 0:
		return true, ReasonDrained
	case !now.Before(d.deadlineLocked()):
		return true, ReasonDeadline
	default:
		return false, ReasonNone
	}
}

// Phase returns the current phase, for logs and operators.
func (d *Drainer) Phase(now time.Time) Phase {
	d.mu.Lock()
	defer d.mu.Unlock()

	switch {
	case d.beganAt.IsZero():
		return Serving
	case d.forced || d.handoverCompleted || !now.Before(d.deadlineLocked()):
		return Stopped
	case d.handoverStarted:
		return HandingOver
	case d.acceptingLocked(now):
		return Leaving
	default:
		return Finishing
	}
}
