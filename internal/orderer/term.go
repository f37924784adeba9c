package orderer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/internal/storer"
)

const (
	// lastPart is the part of a lease, one in so many, in which its holder no longer orders. It
	// covers clocks that run at different speeds and the way of an order to the engine.
	lastPart = 5
	// renewals is how often a lease is renewed in its length.
	renewals = 3
)

// term is the time in which this node orders under one fencing number. It is safe for concurrent use.
type term struct {
	number int64
	lease  int64
	length time.Duration
	// record is the value of the lease's key.
	record []byte
	// former are loads that an earlier orderer may have left under way.
	former []loadRecord
	// settled is when engines that ignore the number may be ordered.
	settled time.Time

	mu sync.Mutex
	// until is when the term ends by this process's monotonic clock.
	until time.Time
	ended bool
}

func newTerm(lease int64, length time.Duration, sent time.Time) *term {
	t := &term{lease: lease, length: length}
	t.extend(sent)

	return t
}

// extend counts the lease from before the call that began or renewed it was sent: the store
// began to count later, so that its end of the lease is never before this one.
func (t *term) extend(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.until = sent.Add(t.length - t.length/lastPart)
}

func (t *term) end() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.ended = true
}

// valid says whether an order may leave now.
//
// A process that was paused wakes in the middle of its work and does not know it. Without a look
// right before each order it would send what it had decided before the pause, under a lease that
// another node may hold by now; one would notice engines that change back and forth.
func (t *term) valid() bool {
	return t.left() > 0
}

func (t *term) left() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.ended {
		return 0
	}

	return time.Until(t.until)
}

// renew keeps the lease until the context ends, the lease is gone, or its time has run out.
func (o *Orderer) renew(ctx context.Context, t *term) {
	for sleeper.Sleep(ctx, t.length/renewals) && t.valid() {
		sent := time.Now()
		err := o.keepAlive(ctx, t)

		switch {
		case err == nil && t.valid():
			t.extend(sent)
		case errors.Is(err, storer.ErrLeaseNotFound):
			t.end()
		}
	}
}

func (o *Orderer) keepAlive(ctx context.Context, t *term) error {
	call, cancel := context.WithTimeout(ctx, min(o.options.CallTimeout, t.length/renewals))
	defer cancel()

	_, err := o.options.Store.KeepAlive(call, t.lease)

	return err
}
