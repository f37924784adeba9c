// Package recorder keeps the answers of requests in memory while they arrive,
// so that callers can follow them from any position and come back to them
// after a broken connection.
package recorder

import (
	"context"
	"sync"
)

// Event is one piece of an answer.
type Event struct {
	// ID is the event id that a caller names to resume after this event; empty for events that can't be resumed after.
	ID string
	// Data is the payload.
	Data string
}

// EventBuffer collects the events of one request. One goroutine appends, any number follow.
type EventBuffer struct {
	mu sync.Mutex
	// events only grows; an index once handed out stays valid.
	events []Event
	// tokens counts the events with an ID.
	tokens int
	// ended is set once, after the last event.
	ended bool
	// err is the cause of a failed end; nil for a whole answer.
	err error
	// grown is closed and replaced whenever events or ended change and somebody waits.
	grown chan struct{}
	// waiting is true when somebody waits on grown: without it each event would make a channel for nobody.
	waiting bool
}

// NewEventBuffer returns an empty answer.
func NewEventBuffer() *EventBuffer {
	return &EventBuffer{grown: make(chan struct{})}
}

// Append adds events to the answer. It must not be called after End.
func (a *EventBuffer) Append(events ...Event) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.events = append(a.events, events...)

	for i := range events {
		if events[i].ID != "" {
			a.tokens++
		}
	}

	a.wake()
}

// End marks the answer as complete, or as failed when err is not nil. Only the first call counts.
func (a *EventBuffer) End(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.ended {
		return
	}

	a.ended = true
	a.err = err
	a.wake()
}

// EventsFrom returns the events from index from on. It waits until there is at
// least one, the answer has ended, or ctx ends. The last result is true when
// no event will follow those returned; the error is then that of End.
func (a *EventBuffer) EventsFrom(ctx context.Context, from int) ([]Event, bool, error) {
	for {
		a.mu.Lock()
		if len(a.events) > from || a.ended {
			events, ended, err := a.events[min(from, len(a.events)):], a.ended, a.err
			a.mu.Unlock()

			return events, ended, err
		}

		a.waiting = true
		grown := a.grown
		a.mu.Unlock()

		select {
		case <-grown:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// IndexAfter returns the index of the first event after the one with the given id.
func (a *EventBuffer) IndexAfter(id string) (int, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if id == "" {
		return 0, true
	}

	for i := range a.events {
		if a.events[i].ID == id {
			return i + 1, true
		}
	}

	return 0, false
}

// Last returns the latest event, or an empty one before the first.
func (a *EventBuffer) Last() Event {
	a.mu.Lock()
	defer a.mu.Unlock()

	if len(a.events) == 0 {
		return Event{}
	}

	return a.events[len(a.events)-1]
}

// Tokens returns the number of events that can be resumed after, so far.
func (a *EventBuffer) Tokens() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.tokens
}

// wake lets those who wait look again; the lock is held.
func (a *EventBuffer) wake() {
	if !a.waiting {
		return
	}

	a.waiting = false
	close(a.grown)
	a.grown = make(chan struct{})
}
