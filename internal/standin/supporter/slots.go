// Package supporter holds what the stand-in servers share: slots with a queue by
// priority, delayed load figures, a bounded list of runs, a gate and a listener.
package supporter

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Load is the state of the slots at one time.
type Load struct {
	Running    int       `json:"running"`
	Waiting    int       `json:"waiting"`
	Slots      int       `json:"slots"`
	MeasuredAt time.Time `json:"measured_at"`
}

// Ticket is one claim to a slot. Its fields are guarded by the lock of its Slots.
type Ticket struct {
	priority int
	// sequence is the order of arrival.
	sequence uint64
	// held is true while the ticket has a place.
	held bool
	// granted is closed when the ticket gets a place; one that is put back gets another channel.
	granted chan struct{}
	// index is the position in the queue's heap; -1 outside of it.
	index int
}

func (t *Ticket) before(u *Ticket) bool {
	if t.priority != u.priority {
		return t.priority < u.priority
	}
	return t.sequence < u.sequence
}

// Slots is a fixed number of places, given by priority (lower first), then arrival.
// Running never has more than size tickets, and nobody waits while a place is free.
type Slots struct {
	size    int
	preempt bool

	mu sync.Mutex
	// sequence is that of the last ticket.
	sequence uint64
	running  map[*Ticket]struct{}
	waiting  queue
	history  *history
}

// NewSlots returns size free places. With preempt, a ticket that arrives at full places
// takes the place of a running one of lower priority, which goes back to the queue.
// Load shows the state as it was lag ago.
func NewSlots(size int, preempt bool, lag time.Duration) *Slots {
	size = max(size, 1)
	return &Slots{
		size:    size,
		preempt: preempt,
		running: make(map[*Ticket]struct{}, size),
		history: newHistory(lag, size),
	}
}

// Enter queues a claim. The caller must end it by Leave.
func (s *Slots) Enter(priority int) *Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	t := &Ticket{priority: priority, sequence: s.sequence, granted: make(chan struct{})}
	heap.Push(&s.waiting, t)
	if s.preempt && len(s.running) == s.size {
		s.putBack(t)
	}
	s.fill()
	return t
}

// Await returns once the ticket holds a place, or with the context's error.
// It blocks again when the ticket has been put back since.
func (s *Slots) Await(ctx context.Context, t *Ticket) error {
	for {
		s.mu.Lock()
		held, granted := t.held, t.granted
		s.mu.Unlock()
		if held {
			return ctx.Err()
		}
		select {
		case <-granted:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Leave gives the place or the position in the queue up; the next in the queue gets the place.
func (s *Slots) Leave(t *Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.held {
		t.held = false
		delete(s.running, t)
	} else if t.index >= 0 {
		heap.Remove(&s.waiting, t.index)
	}
	s.fill()
}

// Running returns the number of places in use now.
func (s *Slots) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// Load returns the state as it was the lag ago, never the present one unless the lag is zero.
func (s *Slots) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.at(time.Now())
}

func (s *Slots) putBack(t *Ticket) {
	var last *Ticket
	for r := range s.running {
		if last == nil || last.before(r) {
			last = r
		}
	}
	if last.priority <= t.priority {
		return
	}
	delete(s.running, last)
	last.held = false
	last.granted = make(chan struct{})
	heap.Push(&s.waiting, last)
}

func (s *Slots) fill() {
	for len(s.running) < s.size && len(s.waiting) > 0 {
		t := heap.Pop(&s.waiting).(*Ticket)
		t.held = true
		s.running[t] = struct{}{}
		close(t.granted)
	}
	s.history.add(time.Now(), len(s.running), len(s.waiting))
}

// queue implements heap.Interface; the first is the next to get a place.
type queue []*Ticket

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(v any) {
	t := v.(*Ticket)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	n := len(*q) - 1
	t := (*q)[n]
	(*q)[n] = nil
	*q = (*q)[:n]
	t.index = -1
	return t
}
