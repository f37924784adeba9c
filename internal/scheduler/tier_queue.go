package scheduler

import (
	"time"
)

// waiter is one queued request.
type waiter struct {
	request Request
	class   *class
	// tier is the effective tier: the tier of the class, minus the number of times that the request moved
	// up.
	tier int
	// sequence is the submission number; it breaks ties.
	sequence uint64
	// queuedAt is when the wait began, at this holder or an earlier one.
	queuedAt time.Time
	// moveUpAt, refuseAt and preemptAt are zero when no such event is due.
	moveUpAt  time.Time
	refuseAt  time.Time
	preemptAt time.Time

	queue          *organisationQueue
	previous, next *waiter
	// wakeAt is the earliest of the three times; heapIndex is the index in the timer heap, -1 when not in
	// it.
	wakeAt    time.Time
	heapIndex int
}

func (w *waiter) updateWakeAt() {
	w.wakeAt = earliest(earliest(w.moveUpAt, w.refuseAt), w.preemptAt)
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}

	return a
}

// organisationQueue holds the waiting requests of one organisation in one tier, oldest first.
type organisationQueue struct {
	organisation string
	weight       int
	// deficit is the cost that the organisation may still use in this round.
	deficit float64
	// quantumAdded is true once the quantum of the current round was added to the deficit.
	quantumAdded bool
	length       int
	first, last  *waiter
	// previousActive and nextActive are the neighbours in the ring of non-empty queues; nil when the queue
	// is empty.
	previousActive, nextActive *organisationQueue
}

// push adds a waiter at the end. One that resumes an answer goes to the front: the tokens that the
// caller already has would be wasted if it gave up now.
func (q *organisationQueue) push(w *waiter) {
	if w.request.Progress > 0 && q.first != nil {
		q.pushFront(w)

		return
	}

	w.queue = q
	w.previous = q.last
	w.next = nil

	if q.last == nil {
		q.first = w
	} else {
		q.last.next = w
	}

	q.last = w
	q.length++
}

func (q *organisationQueue) pushFront(w *waiter) {
	w.queue = q
	w.previous = nil
	w.next = q.first
	q.first.previous = w
	q.first = w
	q.length++
}

func (q *organisationQueue) unlinkWaiter(w *waiter) {
	if w.previous == nil {
		q.first = w.next
	} else {
		w.previous.next = w.next
	}

	if w.next == nil {
		q.last = w.previous
	} else {
		w.next.previous = w.previous
	}

	w.queue, w.previous, w.next = nil, nil, nil
	q.length--
}

// tierQueue shares one tier among its organisations by deficit round robin.
type tierQueue struct {
	byOrganisation map[string]*organisationQueue
	// current is the queue whose turn it is; nil when no request is waiting.
	current     *organisationQueue
	active      int
	waiting     int
	totalWeight int
}

func newTierQueue() *tierQueue {
	return &tierQueue{byOrganisation: make(map[string]*organisationQueue)}
}

func (t *tierQueue) push(w *waiter, weight int) {
	q := t.byOrganisation[w.request.Organisation]
	if q == nil {
		q = &organisationQueue{organisation: w.request.Organisation}
		t.byOrganisation[w.request.Organisation] = q
	}

	if q.length == 0 {
		q.weight = max(weight, 1)
		t.activate(q)
	}

	q.push(w)

	t.waiting++
}

func (t *tierQueue) activate(q *organisationQueue) {
	q.deficit = 0
	q.quantumAdded = false
	t.active++
	t.totalWeight += q.weight

	if t.current == nil {
		q.previousActive, q.nextActive = q, q
		t.current = q

		return
	}

	q.previousActive, q.nextActive = t.current.previousActive, t.current
	q.previousActive.nextActive, q.nextActive.previousActive = q, q
}

func (t *tierQueue) remove(w *waiter) {
	q := w.queue
	q.unlinkWaiter(w)

	t.waiting--

	if q.length == 0 {
		t.deactivate(q)
	}
}

func (t *tierQueue) deactivate(q *organisationQueue) {
	t.active--
	t.totalWeight -= q.weight

	if q.nextActive == q {
		t.current = nil
	} else {
		q.previousActive.nextActive, q.nextActive.previousActive = q.nextActive, q.previousActive

		if t.current == q {
			t.current = q.nextActive
		}
	}

	q.previousActive, q.nextActive = nil, nil
}

// maxPickRounds bounds the search for a queue with a sufficient deficit. The debt of a queue is at
// most two quanta, so three additions after a used-up turn always suffice.
const maxPickRounds = 5

// pick returns the next request among those that match, or nil. The caller removes it with take. The
// quantum must be at least the cost of any request.
func (t *tierQueue) pick(quantum float64, match func(*waiter) bool) *waiter {
	q := t.current

	for range maxPickRounds * t.active {
		if w := q.firstMatch(match); w != nil {
			if q.addQuantum(quantum) >= w.class.cost {
				t.current = q

				return w
			}

			q.quantumAdded = false
		}

		q = q.nextActive
	}

	return nil
}

// addQuantum adds the quantum once per round and returns the deficit.
func (q *organisationQueue) addQuantum(quantum float64) float64 {
	if !q.quantumAdded {
		q.quantumAdded = true
		q.deficit += quantum * float64(q.weight)
	}

	return q.deficit
}

func (q *organisationQueue) firstMatch(match func(*waiter) bool) *waiter {
	for w := q.first; w != nil; w = w.next {
		if match(w) {
			return w
		}
	}

	return nil
}

// take removes a picked request and charges its organisation.
func (t *tierQueue) take(w *waiter) {
	w.queue.deficit -= w.class.cost
	t.remove(w)
}

// adjustDeficit charges the difference between the actual and the estimated cost of a finished
// request. The deficit is bounded, so that one long answer doesn't block its organisation.
func (t *tierQueue) adjustDeficit(organisation string, difference, quantum float64) {
	q := t.byOrganisation[organisation]
	if q == nil || q.length == 0 {
		return
	}

	bound := quantum * float64(q.weight)
	q.deficit = min(max(q.deficit-difference, -2*bound), 2*bound)
}

// newest returns the request that was submitted last, or nil. Requests that moved up from a lower tier
// are older and considered last.
func (t *tierQueue) newest() *waiter {
	var found *waiter

	q := t.current
	for range t.active {
		if w := q.newest(); found == nil || w.sequence > found.sequence {
			found = w
		}

		q = q.nextActive
	}

	return found
}

func (q *organisationQueue) newest() *waiter {
	for w := q.last; w != nil; w = w.previous {
		if w.tier == w.class.settings.Tier {
			return w
		}
	}

	return q.last
}

// estimateAhead estimates how many requests of the tier are served before w under round robin.
func (t *tierQueue) estimateAhead(w *waiter) int {
	position := w.queue.position(w)

	return min(t.waiting-1, position*t.totalWeight/w.queue.weight)
}

// position returns the number of requests before w in the queue.
func (q *organisationQueue) position(w *waiter) int {
	if w == q.last {
		return q.length - 1
	}

	position := 0
	for before := w.previous; before != nil; before = before.previous {
		position++
	}

	return position
}

// activeQueues returns the non-empty queues, the current one first.
func (t *tierQueue) activeQueues() []*organisationQueue {
	queues := make([]*organisationQueue, 0, t.active)

	q := t.current
	for range t.active {
		queues = append(queues, q)
		q = q.nextActive
	}

	return queues
}
