// Package coalescer lets calls that come at the same time share one read of the platform's store.
package coalescer

import (
	"context"
	"sync"
	"time"
)

// Coalescer shares reads of a T. It is safe for concurrent use.
type Coalescer[T any] struct {
	read func(ctx context.Context) (T, error)
	// timeout limits a read, pause is the time between two.
	timeout, pause time.Duration

	mu sync.Mutex
	// waiting are the calls for which the next read begins; running is true while there are reads.
	waiting []chan result[T]
	running bool
}

type result[T any] struct {
	value T
	err   error
}

// New returns a Coalescer of the given reads, each of which is ended after the timeout.
func New[T any](read func(ctx context.Context) (T, error), timeout, pause time.Duration) *Coalescer[T] {
	return &Coalescer[T]{read: read, timeout: timeout, pause: pause}
}

// Get returns the result of a read that began after the call. Calls that come during a read share the next one, and the value.
func (c *Coalescer[T]) Get(ctx context.Context) (T, error) {
	answer := make(chan result[T], 1)

	c.mu.Lock()
	c.waiting = append(c.waiting, answer)

	if !c.running {
		c.running = true

		go c.run()
	}
	c.mu.Unlock()

	select {
	case got := <-answer:
		return got.value, got.err
	case <-ctx.Done():
		var none T

		return none, ctx.Err()
	}
}

// run reads while calls wait.
func (c *Coalescer[T]) run() {
	for {
		c.mu.Lock()
		waiting := c.waiting
		c.waiting = nil
		c.running = len(waiting) > 0
		c.mu.Unlock()

		if len(waiting) == 0 {
			return
		}

		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		value, err := c.read(ctx)

		cancel()

		for _, answer := range waiting {
			answer <- result[T]{value: value, err: err}
		}

		time.Sleep(c.pause)
	}
}
