// Package drainer decides how a node stops without cutting a request, and which
// upstreams are leaving.
//
// It is plain code over events and time and does no input or output.
package drainer

import (
	"sync"
	"time"
)

// Phase is a step of a planned stop. Phases never go back.
type Phase int

const (
	// Serving is the ordinary state.
	Serving Phase = iota
	// Leaving means that the node is announced as leaving but takes requests of callers that kept an old answer.
	Leaving
	// Finishing means that new requests are refused and those in flight finish.
	Finishing
	// HandingOver means that nothing is in flight and pools and claim shards go to other nodes.
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

// Reason says why a stop has ended.
type Reason string

const (
	// ReasonNone means that the stop has not ended.
	ReasonNone Reason = ""
	// ReasonDrained means that nothing was cut and all was handed over.
	ReasonDrained Reason = "drained"
	// ReasonDeadline means that the drain timeout ran out first; what was in flight is cut.
	ReasonDeadline Reason = "deadline"
	// ReasonSecondSignal means that the operator asked again and wants an end at once.
	ReasonSecondSignal Reason = "second_signal"
)

// Options are the fixed parameters of a Drainer.
type Options struct {
	// EntryLifetime is how long callers keep an answer of GET /v1/entries.
	EntryLifetime time.Duration
	// PropagationTime is how long other nodes may still name this one after it announced its leaving; 0 means DefaultPropagation.
	PropagationTime time.Duration
	// DrainTimeout bounds the whole stop from the first signal on.
	// It must exceed EntryLifetime plus Propagation, or kept answers lead to a node that is gone.
	DrainTimeout time.Duration
}

// DefaultPropagationTime is above the time after which all of 370 nodes knew of a leaving
// at 5% loss (0.7 s measured, see TestProber_LeaveIsKnownAtOnce of package prober).
const DefaultPropagationTime = 2 * time.Second

// Drainer is the planned stop of one node. It is safe for concurrent use.
//
// Order of a stop: Begin, then announce to the peers; Accepting until the
// longest kept answer has run out; then refuse new requests; when Done's count
// in flight is zero, HandOver is due once; after HandedOver the stop is done.
type Drainer struct {
	options Options

	mu sync.Mutex
	// began is the time of the first signal; zero while serving.
	began time.Time
	// forced says that a second signal came.
	forced bool
	// handingOver says that HandOverDue has answered true; it stays so.
	handingOver bool
	handedOver  bool
}

// New returns the stop of a node that serves.
func New(options Options) *Drainer {
	if options.PropagationTime <= 0 {
		options.PropagationTime = DefaultPropagationTime
	}

	return &Drainer{options: options}
}

// Begin starts the stop and reports whether it was the first call. The second call ends the stop at once.
func (d *Drainer) Begin(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if !d.began.IsZero() {
		d.forced = true

		return false
	}

	d.began = now

	return true
}

// Accepting says whether a request that arrives now is served. If not, the answer is "node leaving, not run".
func (d *Drainer) Accepting(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.accepting(now)
}

func (d *Drainer) accepting(now time.Time) bool {
	if d.began.IsZero() {
		return true
	}

	return !d.forced && now.Before(d.refuseAt())
}

// refuseAt is when the last answer that names this node has run out, or the deadline.
func (d *Drainer) refuseAt() time.Time {
	wait := min(d.options.EntryLifetime+d.options.PropagationTime, d.options.DrainTimeout)

	return d.began.Add(wait)
}

// ShouldCloseConnections says whether answers carry "Connection: close", so that
// callers connect to another node for their next request.
func (d *Drainer) ShouldCloseConnections() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return !d.began.IsZero()
}

// Deadline returns when the stop ends at the latest; false while serving.
func (d *Drainer) Deadline() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.deadline(), !d.began.IsZero()
}

func (d *Drainer) deadline() time.Time {
	return d.began.Add(d.options.DrainTimeout)
}

// StartHandover answers true once: when new requests are refused and none is in flight.
// The caller then hands over pools and claim shards and calls HandedOver.
func (d *Drainer) StartHandover(now time.Time, inFlight int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.began.IsZero() || d.forced || d.handingOver || d.accepting(now) || inFlight > 0 {
		return false
	}

	d.handingOver = true

	return true
}

// CompleteHandover records that nothing is held any more, or that it could not be handed over;
// other nodes then take it by their own means.
func (d *Drainer) CompleteHandover() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.handedOver = true
}

// Done says whether the process may exit, and why.
func (d *Drainer) Done(now time.Time, inFlight int) (bool, Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()

	switch {
	case d.began.IsZero():
		return false, ReasonNone
	case d.forced:
		return true, ReasonSecondSignal
	case d.handedOver && inFlight == 0:
		return true, ReasonDrained
	case !now.Before(d.deadline()):
		return true, ReasonDeadline
	default:
		return false, ReasonNone
	}
}

// Phase returns the step of the stop for logs and operators.
func (d *Drainer) Phase(now time.Time) Phase {
	d.mu.Lock()
	defer d.mu.Unlock()

	switch {
	case d.began.IsZero():
		return Serving
	case d.forced || d.handedOver || !now.Before(d.deadline()):
		return Stopped
	case d.handingOver:
		return HandingOver
	case d.accepting(now):
		return Leaving
	default:
		return Finishing
	}
}
