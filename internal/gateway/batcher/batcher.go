// Package batcher gathers messages to other nodes for a few milliseconds and sends them to each node in order.
package batcher

import (
	"context"
	"sync"
	"time"
)

const (
	// FlushInterval is how long messages are gathered, unless they may wait longer.
	FlushInterval = 4 * time.Millisecond
	// maxQueued is the number of messages that wait for one node. The oldest ones are dropped first.
	maxQueued = 4096
)

// Batcher queues messages of type T by node. It is safe for concurrent use.
type Batcher[T any] struct {
	// send sends a batch to a node. Errors are the sender's to handle: a batch is never sent again.
	send func(ctx context.Context, node string, batch []T)
	wake chan struct{}

	mu     sync.Mutex
	queues map[string]queue[T]
	// sending holds the nodes to which a batch is being sent. At most one is sent at a time, so that messages stay in order.
	sending map[string]bool
}

// queue holds the messages for one node.
type queue[T any] struct {
	messages []T
	// dueAt is when they are sent. It is set while there are messages.
	dueAt time.Time
}

// New returns a Batcher that sends batches with the given function.
func New[T any](send func(ctx context.Context, node string, batch []T)) *Batcher[T] {
	return &Batcher[T]{send: send, wake: make(chan struct{}, 1), queues: make(map[string]queue[T]), sending: make(map[string]bool)}
}

// Add queues a message for a node.
func (b *Batcher[T]) Add(node string, message T) {
	b.AddWithin(node, message, FlushInterval)
}

// AddWithin queues a message for a node, to be sent after the given time at the latest: messages to one node stay in order, and a
// more urgent one takes those before it along.
func (b *Batcher[T]) AddWithin(node string, message T, delay time.Duration) {
	dueAt := time.Now().Add(delay)

	b.mu.Lock()
	q := b.queues[node]

	sooner := len(q.messages) == 0 || dueAt.Before(q.dueAt)
	if sooner {
		q.dueAt = dueAt
	}

	q.messages = append(q.messages, message)
	if excess := len(q.messages) - maxQueued; excess > 0 {
		q.messages = q.messages[excess:]
	}

	b.queues[node] = q
	b.mu.Unlock()

	if sooner {
		b.wakeUp()
	}
}

// Hurry sends the messages for a node as soon as those added by Add.
func (b *Batcher[T]) Hurry(node string) {
	dueAt := time.Now().Add(FlushInterval)

	b.mu.Lock()
	q, ok := b.queues[node]

	sooner := ok && dueAt.Before(q.dueAt)
	if sooner {
		q.dueAt = dueAt
		b.queues[node] = q
	}
	b.mu.Unlock()

	if sooner {
		b.wakeUp()
	}
}

// Run sends queued messages until ctx ends.
func (b *Batcher[T]) Run(ctx context.Context) {
	timer := time.NewTimer(FlushInterval)
	defer timer.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		case <-timer.C:
		}

		if wait, ok := b.flush(ctx); ok {
			timer.Reset(wait)
		} else {
			timer.Stop()
		}
	}
}

func (b *Batcher[T]) wakeUp() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// flush sends the messages that are due, and returns how long until others are, or false if there are none.
func (b *Batcher[T]) flush(ctx context.Context) (time.Duration, bool) {
	now := time.Now()

	b.mu.Lock()
	defer b.mu.Unlock()

	var next time.Duration

	waiting := false

	for node, q := range b.queues {
		// The end of a batch that is being sent wakes Run up.
		if len(q.messages) == 0 || b.sending[node] {
			continue
		}

		if wait := q.dueAt.Sub(now); wait > 0 {
			if !waiting || wait < next {
				next, waiting = wait, true
			}

			continue
		}

		b.sending[node] = true
		delete(b.queues, node)

		go b.sendBatch(ctx, node, q.messages)
	}

	return next, waiting
}

func (b *Batcher[T]) sendBatch(ctx context.Context, node string, batch []T) {
	b.send(ctx, node, batch)

	b.mu.Lock()
	delete(b.sending, node)
	pending := len(b.queues[node].messages) > 0
	b.mu.Unlock()

	if pending {
		b.wakeUp()
	}
}
