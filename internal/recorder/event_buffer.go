// Package recorder buffers the answers to requests in memory as they arrive, so that callers can
// read them from any position and resume after a broken connection.
package recorder

import (
	"context"
	"sync"
)

// Event is one piece of an answer.
type Event struct {
	// ID is the event ID that a caller sends to resume after this event. It is empty if resuming after it isn't possible.
	ID string
	// Data is the payload.
	Data string
}

// EventBuffer holds the events of the answer to one request. One goroutine appends events; any number may read them.
type EventBuffer struct {
	mu sync.Mutex
	// events is append-only: an index returned to a reader stays valid.
	events []Event
	// tokens counts the events with an ID.
	tokens int
	// ended is set once, after the last event was appended.
	ended bool
	// err is the error passed to End; nil when the answer is complete.
	err error
	// changed is closed and replaced when events or ended change while a reader waits on it.
	changed chan struct{}
	// hasWaiters is true when a reader waits on changed. It saves allocating a channel for each event that no reader waits for.
	hasWaiters bool
}

// NewEventBuffer returns an empty buffer.
func NewEventBuffer() *EventBuffer {
	return &EventBuffer{changed: make(chan struct{})}
}

// Append adds events. It must not be called after End.
func (b *EventBuffer) Append(events ...Event) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.events = append(b.events, events...)

	for i := range events {
		if events[i].ID != "" {
			b.tokens++
		}
	}

	b.notifyLocked()
}

// End marks the answer as complete, or as failed if err is not nil. Calls after the first have no effect.
func (b *EventBuffer) End(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.ended {
		return
	}

	b.ended = true
	b.err = err
	b.notifyLocked()
}

// EventsFrom returns the events from index from onwards. It blocks until there is at least one, End has been
// called, or ctx is done. The bool is true when no event will follow those returned; the error is then that passed to End.
func (b *EventBuffer) EventsFrom(ctx context.Context, from int) ([]Event, bool, error) {
	for {
		b.mu.Lock()
		if len(b.events) > from || b.ended {
			events, ended, err := b.events[min(from, len(b.events)):], b.ended, b.err
			b.mu.Unlock()

			return events, ended, err
		}

		b.hasWaiters = true
		changed := b.changed
		b.mu.Unlock()

		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// IndexAfter returns the index just past the event with the given ID, 0 for an empty ID, and false for an unknown one.
func (b *EventBuffer) IndexAfter(id string) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if id == "" {
		return 0, true
	}

	for i := range b.events {
		if b.events[i].ID == id {
			return i + 1, true
		}
	}

	return 0, false
}

// Last returns the latest event, or the zero Event if there is none.
func (b *EventBuffer) Last() Event {
	b.mu.Lock()
	defer b.mu.Unlock()

	if len(b.events) == 0 {
		return Event{}
	}

	return b.events[len(b.events)-1]
}

// Tokens returns the number of events so far that have an ID.
func (b *EventBuffer) Tokens() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.tokens
}

// notifyLocked wakes all waiting readers. b.mu must be held.
func (b *EventBuffer) notifyLocked() {
	if !b.hasWaiters {
		return
	}

	b.hasWaiters = false
	close(b.changed)
	b.changed = make(chan struct{})
}
