package fencer

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/internal/storer"
)

const (
	// safetyMarginDivisor sets the safety margin at the end of a lease, in which its holder no longer acts, to one part in
	// so many of the lease. The margin covers clock drift and the time until an action takes effect.
	safetyMarginDivisor = 5
	// RenewalsPerLease is the number of renewals during the length of a lease.
	RenewalsPerLease = 3
)

// Term is a period in which a process acts under one fencing number. It is safe for concurrent use.
type Term struct {
	// Number is higher than the number of any earlier term.
	Number int64
	// LeaseValue is the value of the lease key.
	LeaseValue []byte
	// IsFirst reports that there was no earlier term.
	IsFirst bool
	// IsContinuation reports that this process also held the directly preceding term.
	IsContinuation bool
	// PreviousLease is the lease length of the preceding term; 0 if there was none.
	PreviousLease time.Duration
	// Guard is true in the store until the next term begins or the store returns from a copy without this one. A write that depends
	// on it can't arrive beside those of a later holder.
	Guard storer.Compare
	// Era is the era of the store in which the term began. Guard means nothing in another one.
	Era int64

	fencer *Fencer
	lease  int64
	length time.Duration

	mu sync.Mutex
	// expiresAt is when the term ends by the fencer's clock.
	expiresAt time.Duration
	ended     bool
	// isLost is true once the store has no lease of this term. It may have granted its ID to another holder since.
	isLost bool
}

// extend measures the lease from when the call that granted or renewed it was sent. The store starts its measurement later,
// so the lease never expires there before the term ends here.
func (t *Term) extend(sentAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expiresAt = sentAt + t.length - t.length/safetyMarginDivisor
}

// End ends the term immediately.
func (t *Term) End() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.ended = true
}

// Valid reports whether the holder may act now.
//
// A process can't tell that it was paused. Without a check right before each action, it would carry out a decision made
// before the pause, while another node may hold the lease.
func (t *Term) Valid() bool {
	return t.Remaining() > 0
}

// Remaining returns how long the term is still valid; 0 or less if it isn't valid.
func (t *Term) Remaining() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.ended {
		return 0
	}

	return t.expiresAt - t.fencer.options.Now()
}

// Renew renews the lease until ctx is done or the term has ended. A successful renewal proves that the lease never expired
// in the store, so it makes the term valid again even if it was not valid in between.
func (t *Term) Renew(ctx context.Context) {
	for sleeper.Sleep(ctx, t.length/RenewalsPerLease) && !t.Ended() {
		sentAt := t.fencer.options.Now()

		switch err := t.keepAlive(ctx); {
		case err == nil:
			t.extend(sentAt)
		case errors.Is(err, storer.ErrLeaseNotFound):
			t.lose()
		}
	}
}

// lose ends the term since its lease is gone.
func (t *Term) lose() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.ended, t.isLost = true, true
}

// Ended reports whether the term has ended for good, because End was called or the lease is gone.
func (t *Term) Ended() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.ended
}

func (t *Term) keepAlive(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, min(t.fencer.options.CallTimeout, t.length/RenewalsPerLease))
	defer cancel()

	store := t.fencer.options.Store

	_, err := store.KeepAlive(callCtx, t.lease)
	if err != nil || !t.fencer.options.ConfirmRenewals || t.Era > 0 {
		return err
	}

	held, _, err := store.Get(callCtx, LeaseKey(t.fencer.options.Prefix))
	if err == nil && !bytes.Equal(held.Value, t.LeaseValue) {
		err = storer.ErrLeaseNotFound
	}

	return err
}

// Release ends the term and revokes its lease, even if ctx is done. If the revocation fails, the lease expires.
func (t *Term) Release(ctx context.Context) {
	t.mu.Lock()
	t.ended = true
	isLost := t.isLost
	t.mu.Unlock()

	if isLost {
		return
	}

	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.fencer.options.CallTimeout)
	defer cancel()

	_ = t.fencer.options.Store.Revoke(callCtx, t.lease)
}
