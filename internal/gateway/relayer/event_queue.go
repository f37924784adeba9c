package relayer

import (
	"io"
	"sync"
)

// maxQueuedBytes is how many bytes of one stream are kept for a caller who reads slowly. It holds a whole answer of a chat.
const maxQueuedBytes = 64 << 10

// eventQueue keeps the events of a stream that the caller has not taken yet, and writes them in order. Without it, a caller
// who reads slowly would keep the node from reading the upstream's answer, and the upstream would break it off.
//
// It keeps at most maxQueuedBytes, and as much as fits into the memory for bodies of all requests. Beyond that, push waits
// for the caller, and so does the upstream.
type eventQueue struct {
	writer io.Writer
	// flush passes what was written on to the caller.
	flush  func() error
	memory memoryReservation
	// done is closed when the queue writes nothing more.
	done chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	// events are those that were not written yet, of the given number of bytes.
	events [][]byte
	bytes  int
	closed bool
	// err is why the caller can't be written to.
	err error
}

// newEventQueue returns a queue that writes until it is closed.
func newEventQueue(writer io.Writer, flush func() error, memory memoryReservation) *eventQueue {
	q := &eventQueue{writer: writer, flush: flush, memory: memory, done: make(chan struct{})}
	q.changed = sync.NewCond(&q.mu)

	go q.run()

	return q
}

// push adds an event, which must not be modified afterwards. It returns an error if the caller can't be written to.
func (q *eventQueue) push(event []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()

	// A queue without events takes one that exceeds the limits, so that each stream goes on.
	for q.err == nil && len(q.events) > 0 && (q.bytes+len(event) > maxQueuedBytes || !q.memory.reserve(int64(len(event)))) {
		q.changed.Wait()
	}

	if q.err != nil {
		return q.err
	}

	if len(q.events) == 0 {
		// This event may lie outside the memory's limit.
		_ = q.memory.reserve(int64(len(event)))
	}

	q.events = append(q.events, event)
	q.bytes += len(event)
	q.changed.Broadcast()

	return nil
}

// close waits until the caller has taken all events or can't be written to.
func (q *eventQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.changed.Broadcast()
	q.mu.Unlock()

	<-q.done
}

// run writes events until the queue is closed and empty, or a write fails.
func (q *eventQueue) run() {
	defer close(q.done)
	defer q.memory.release()

	for {
		event, ok := q.next()
		if !ok {
			return
		}

		_, err := q.writer.Write(event)
		if err == nil {
			err = q.flush()
		}

		q.remove(len(event), err)
	}
}

// next waits for the next event to write, which stays in the queue. It returns false if there will be none.
func (q *eventQueue) next() ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for q.err == nil && len(q.events) == 0 && !q.closed {
		q.changed.Wait()
	}

	if q.err != nil || len(q.events) == 0 {
		return nil, false
	}

	return q.events[0], true
}

// remove removes the first event after it was written.
func (q *eventQueue) remove(bytes int, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.events = q.events[1:]
	q.bytes -= bytes
	q.err = err

	// An event that lay outside the memory's limit was not reserved.
	q.memory.releaseSome(int64(bytes))
	q.changed.Broadcast()
}
