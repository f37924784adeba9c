package fencer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/internal/storer"
)

const (
	// lastPart is the part of a lease, one in so many, in which its holder no longer acts. It
	// covers clocks that run at different speeds and the way of an act to where it takes effect.
	lastPart = 5
	// RenewalsPerLease is how often a lease is renewed in its length.
	RenewalsPerLease = 3
)

// Term is the time in which a process acts under one fencing number. It is safe for concurrent use.
type Term struct {
	// Number is higher than that of any earlier term.
	Number int64
	// LeaseValue is the value of the lease's key.
	LeaseValue []byte
	// IsFirst says that nobody ever took a term before.
	IsFirst bool
	// IsContinuation says that this process also held the term before, and nobody held one between.
	IsContinuation bool
	// PreviousLease is the length of the lease of the term before; 0 if there was none.
	PreviousLease time.Duration

	fencer *Fencer
	lease  int64
	length time.Duration

	mu sync.Mutex
	// until is when the term ends by the fencer's clock.
	until time.Duration
	ended bool
}

// extend counts the lease from before the call that began or renewed it was sent: the store
// began to count later, so that its end of the lease is never before this one.
func (t *Term) extend(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.until = sent + t.length - t.length/lastPart
}

// End makes the term end now.
func (t *Term) End() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.ended = true
}

// Valid says whether an act may leave now.
//
// A process that was paused wakes in the middle of its work and does not know it. Without a look
// right before each act it would carry out what it had decided before the pause, under a lease that
// another node may hold by now.
func (t *Term) Valid() bool {
	return t.Remaining() > 0
}

// Remaining is the time for which the term is valid; 0 or less when it isn't.
func (t *Term) Remaining() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.ended {
		return 0
	}

	return t.until - t.fencer.options.Now()
}

// Renew keeps the lease until the context ends or the lease is gone. A lease that the store still had when a renewal
// arrived has never ended, so the term is valid once more even if it wasn't meanwhile.
func (t *Term) Renew(ctx context.Context) {
	for sleeper.Sleep(ctx, t.length/RenewalsPerLease) && !t.Ended() {
		sent := t.fencer.options.Now()

		switch err := t.keepAlive(ctx); {
		case err == nil:
			t.extend(sent)
		case errors.Is(err, storer.ErrLeaseNotFound):
			t.End()
		}
	}
}

// Ended says that the term is over for good: it was ended, or its lease is gone.
func (t *Term) Ended() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.ended
}

func (t *Term) keepAlive(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, min(t.fencer.options.CallTimeout, t.length/RenewalsPerLease))
	defer cancel()

	_, err := t.fencer.options.Store.KeepAlive(call, t.lease)

	return err
}

// Release ends the term and gives its lease back, also where ctx has ended. If that fails, the lease ends by itself.
func (t *Term) Release(ctx context.Context) {
	t.End()

	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.fencer.options.CallTimeout)
	defer cancel()

	_ = t.fencer.options.Store.Revoke(call, t.lease)
}
