package scheduler

import (
	"time"
)

// waiter is one queued request.
type waiter struct {
	request Request
	class   *class
	// tier is the effective tier: the class's own, less the periods by which the request moved up.
	tier int
	// order counts submissions; it breaks ties.
	order uint64
	// queued is when the wait began, at this holder or an earlier one.
	queued time.Time
	// moveUpAt, refuseAt and preemptAt are zero when they never come.
	moveUpAt  time.Time
	refuseAt  time.Time
	preemptAt time.Time

	lane           *lane
	previous, next *waiter
	// wake is the earliest of the three times; place is the index in the heap, -1 when not in it.
	wake  time.Time
	place int
}

func (w *waiter) updateWake() {
	w.wake = earliest(earliest(w.moveUpAt, w.refuseAt), w.preemptAt)
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}

	return a
}

// lane holds the waiting requests of one organisation in one tier, oldest first.
type lane struct {
	organisation string
	weight       int
	// deficit is the cost that the organisation may still use in this round.
	deficit float64
	// visited is true once the present round has added to the deficit.
	visited     bool
	length      int
	first, last *waiter
	// left and right are neighbours in the ring of active lanes; nil when the lane is empty.
	left, right *lane
}

// push adds a waiter at the end. One that resumes an answer goes to the front:
// tokens that the caller already has would be wasted if it gave up now.
func (l *lane) push(w *waiter) {
	if w.request.Progress > 0 && l.first != nil {
		l.pushFront(w)

		return
	}

	w.lane = l
	w.previous = l.last
	w.next = nil

	if l.last == nil {
		l.first = w
	} else {
		l.last.next = w
	}

	l.last = w
	l.length++
}

func (l *lane) pushFront(w *waiter) {
	w.lane = l
	w.previous = nil
	w.next = l.first
	l.first.previous = w
	l.first = w
	l.length++
}

func (l *lane) remove(w *waiter) {
	if w.previous == nil {
		l.first = w.next
	} else {
		w.previous.next = w.next
	}

	if w.next == nil {
		l.last = w.previous
	} else {
		w.next.previous = w.previous
	}

	w.lane, w.previous, w.next = nil, nil, nil
	l.length--
}

// ring shares one tier among its organisations by deficit round robin.
type ring struct {
	lanes map[string]*lane
	// current is the lane whose turn it is; nil when no request waits.
	current *lane
	active  int
	waiting int
	weights int
}

func newRing() *ring {
	return &ring{lanes: make(map[string]*lane)}
}

func (r *ring) push(w *waiter, weight int) {
	l := r.lanes[w.request.Organisation]
	if l == nil {
		l = &lane{organisation: w.request.Organisation}
		r.lanes[w.request.Organisation] = l
	}

	if l.length == 0 {
		l.weight = max(weight, 1)
		r.link(l)
	}

	l.push(w)

	r.waiting++
}

func (r *ring) link(l *lane) {
	l.deficit = 0
	l.visited = false
	r.active++
	r.weights += l.weight

	if r.current == nil {
		l.left, l.right = l, l
		r.current = l

		return
	}

	l.left, l.right = r.current.left, r.current
	l.left.right, l.right.left = l, l
}

func (r *ring) remove(w *waiter) {
	l := w.lane
	l.remove(w)

	r.waiting--

	if l.length == 0 {
		r.unlink(l)
	}
}

func (r *ring) unlink(l *lane) {
	r.active--
	r.weights -= l.weight

	if l.right == l {
		r.current = nil
	} else {
		l.left.right, l.right.left = l.right, l.left

		if r.current == l {
			r.current = l.right
		}
	}

	l.left, l.right = nil, nil
}

// maxRounds bounds the search for a lane whose deficit suffices. A lane's debt
// is at most two quanta, so that three additions after a spent turn always suffice.
const maxRounds = 5

// pick returns the request whose turn it is among those that match, or nil.
// The caller takes it out with take. The quantum is at least the cost of any request.
func (r *ring) pick(quantum float64, match func(*waiter) bool) *waiter {
	l := r.current

	for range maxRounds * r.active {
		if w := l.firstMatch(match); w != nil {
			if l.turn(quantum) >= w.class.cost {
				r.current = l

				return w
			}

			l.visited = false
		}

		l = l.right
	}

	return nil
}

// turn adds the quantum of this round once and returns the deficit.
func (l *lane) turn(quantum float64) float64 {
	if !l.visited {
		l.visited = true
		l.deficit += quantum * float64(l.weight)
	}

	return l.deficit
}

func (l *lane) firstMatch(match func(*waiter) bool) *waiter {
	for w := l.first; w != nil; w = w.next {
		if match(w) {
			return w
		}
	}

	return nil
}

// take removes a picked request and charges its organisation.
func (r *ring) take(w *waiter) {
	w.lane.deficit -= w.class.cost
	r.remove(w)
}

// correct charges the difference between the true and the estimated cost of a
// finished request. Debt is bounded, so that one long answer doesn't shut its organisation out.
func (r *ring) correct(organisation string, difference, quantum float64) {
	l := r.lanes[organisation]
	if l == nil || l.length == 0 {
		return
	}

	bound := quantum * float64(l.weight)
	l.deficit = min(max(l.deficit-difference, -2*bound), 2*bound)
}

// newest returns the request that was submitted last, or nil. Requests that
// moved up into the ring are older than those it was made for and come last.
func (r *ring) newest() *waiter {
	var found *waiter

	l := r.current
	for range r.active {
		if w := l.newest(); found == nil || w.order > found.order {
			found = w
		}

		l = l.right
	}

	return found
}

func (l *lane) newest() *waiter {
	for w := l.last; w != nil; w = w.previous {
		if w.tier == w.class.settings.Tier {
			return w
		}
	}

	return l.last
}

// ahead estimates how many requests of the ring are served before w under round robin.
func (r *ring) ahead(w *waiter) int {
	position := w.lane.position(w)

	return min(r.waiting-1, position*r.weights/w.lane.weight)
}

// position counts the requests of the lane before w.
func (l *lane) position(w *waiter) int {
	if w == l.last {
		return l.length - 1
	}

	position := 0
	for before := w.previous; before != nil; before = before.previous {
		position++
	}

	return position
}

// all lists the active lanes, the current one first.
func (r *ring) all() []*lane {
	lanes := make([]*lane, 0, r.active)

	l := r.current
	for range r.active {
		lanes = append(lanes, l)
		l = l.right
	}

	return lanes
}
