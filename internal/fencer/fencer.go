// Package fencer acquires terms: periods in which one process acts exclusively, under a monotonically increasing fencing number.
//
// A term is backed by a lease in the platform's store. The holder measures the lease from before the call that granted or
// renewed it, preferably by a clock that includes suspensions, and stops acting a safety margin before its end. A holder
// checks Valid right before each action. The number is stored under a key that is never deleted, so that no two terms have
// the same number, whatever happens to their holders.
package fencer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

// ErrLeaseHeld means that another holder has an unexpired lease.
var ErrLeaseHeld = errors.New("another node holds the lease")

// Store is the part of the platform's key-value service that terms require. It returns the errors of package storer.
type Store interface {
	// Get returns the key and the revision of the store; 0 if that isn't known.
	Get(ctx context.Context, key string) (storer.KeyValue, int64, error)
	// Txn is called only with puts and with compares of a modification revision, or of a creation revision with 0. A store
	// that is used for terms alone need not support anything else.
	Txn(ctx context.Context, t storer.Txn) (storer.TxnResult, error)
	Grant(ctx context.Context, length time.Duration) (int64, error)
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	Revoke(ctx context.Context, lease int64) error
}

// Options configures a Fencer. All fields but Now and ConfirmRenewals are required.
type Options struct {
	Store Store
	// Prefix is the prefix of the number key and the lease key; it ends with a slash.
	Prefix string
	// Node and Incarnation identify this run of this node; no two runs have both in common.
	Node        string
	Incarnation string
	// CallTimeout is the timeout of one call to the store.
	CallTimeout time.Duration
	// Now returns the time of a monotonic clock. If the clock includes suspensions, a term ends in time also for a holder
	// that was suspended; otherwise the next holder has to wait for the longest possible suspension. By default it is the
	// process's monotonic clock.
	Now func() time.Duration
	// ConfirmRenewals makes each renewal confirm by a read that the lease is still the term's. A store that returns from an older copy and
	// names no eras may have granted its ID to another holder.
	ConfirmRenewals bool
}

// Fencer acquires terms for one process. Its methods are not safe for concurrent use; its terms are.
type Fencer struct {
	options Options
	// attempts counts the attempts to claim a number.
	attempts int
	// lastAttempt identifies the last attempt that succeeded.
	lastAttempt string
	// era is the era of the store as this process last read it, seen first at eraSince. sawReturn says that it saw another one before.
	era       int64
	eraSince  time.Duration
	sawReturn bool
	// revision is the highest revision that the store named in this era.
	revision int64
	// highest is the highest number that this process read or claimed. isBehind is true while the store has a lower one.
	highest  int64
	isBehind bool
	// resetAt is when this process last noticed that the store returned without naming another era; valid if sawReset is true.
	resetAt  time.Duration
	sawReset bool
}

// New returns a Fencer. It makes no calls to the store.
func New(options Options) *Fencer {
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}

	return &Fencer{options: options}
}

// leaseRecord is the value of both the number key and the lease key.
type leaseRecord struct {
	Number int64 `json:"number"`
	// Attempt identifies the attempt that claimed the number.
	Attempt string `json:"take"`
	LeaseMS int64  `json:"lease_ms"`
	// Era is the era of the store in which the number was claimed.
	Era int64 `json:"era,omitempty"`
}

// numbersPerEra is the distance between the first numbers of two eras of the store. A store that returns from an older copy has lost the
// latest numbers, and all that it grants from then on must be higher than those.
const numbersPerEra = 1 << 32

// firstEra is the era of a store that never returned from a copy.
const firstEra = 1

// NumberKey returns the key of the last number that was claimed.
func NumberKey(prefix string) string {
	return prefix + "number"
}

// LeaseKey returns the key that exists while a lease is held.
func LeaseKey(prefix string) string {
	return prefix + "lease"
}

// Acquire starts a term with a lease of the given length and a number above floor, which others are known to have used. It returns
// ErrLeaseHeld while another holder has an unexpired lease, or may have one that the store has lost.
func (f *Fencer) Acquire(ctx context.Context, length time.Duration, floor int64) (*Term, error) {
	stored, previous, err := f.readNumber(ctx)
	if err != nil {
		return nil, err
	}

	if f.mayBeHeld(previous, length) {
		return nil, ErrLeaseHeld
	}

	sentAt := f.options.Now()

	lease, err := f.grant(ctx, length)
	if err != nil {
		return nil, err
	}

	f.attempts++

	next := leaseRecord{
		Number:  max(previous.Number, f.highest, floor, stored.Era*numbersPerEra) + 1,
		Era:     stored.Era,
		Attempt: fmt.Sprintf("%s.%s.%d", f.options.Node, f.options.Incarnation, f.attempts),
		LeaseMS: length.Milliseconds(),
	}

	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode the fencing number")
	}

	// A number that is known, though the store has lost it, is of an earlier term, which may have been another process's.
	t := &Term{
		Number: next.Number, LeaseValue: value, fencer: f, lease: lease, length: length,
		IsFirst:        max(previous.Number, f.highest, floor) == 0,
		IsContinuation: previous.Attempt != "" && previous.Attempt == f.lastAttempt && previous.Number >= f.highest && previous.Number > floor,
		PreviousLease:  time.Duration(previous.LeaseMS) * time.Millisecond,
		Era:            stored.Era,
	}
	t.extend(sentAt)

	revision, err := f.claimNumber(ctx, stored, next, t)
	if err != nil {
		t.Release(ctx)

		return nil, err
	}

	t.Guard = storer.Compare{Key: NumberKey(f.options.Prefix), Target: storer.TargetMod, Number: revision}

	f.lastAttempt = next.Attempt
	f.observeNumber(next.Number)

	return t, nil
}

// EraSince returns the era of the store as this process last read it, and when it first did; 0 if the store names none.
func (f *Fencer) EraSince() (int64, time.Duration) {
	return f.era, f.eraSince
}

// observePosition records the era and the revision at which the store was read; the revision is 0 if it isn't known. Where the store names
// no era, reads are linearizable and made one after the other, so a lower revision means that it returned from an older copy.
func (f *Fencer) observePosition(era, revision int64) {
	switch {
	case era != f.era:
		f.sawReturn = f.era > 0
		f.era, f.eraSince, f.revision = era, f.options.Now(), revision
	case revision > 0 && revision < f.revision:
		f.noteReset()
		f.revision = revision
	default:
		f.revision = max(f.revision, revision)
	}
}

// observeNumber records a number that was read or claimed.
func (f *Fencer) observeNumber(number int64) {
	switch {
	case number >= f.highest:
		f.highest, f.isBehind = number, false
	case !f.isBehind:
		f.isBehind = true
		f.noteReset()
	}
}

func (f *Fencer) noteReset() {
	// A store that names its eras tells of returns by these; what it reads behind is stale.
	if f.era == 0 {
		f.resetAt, f.sawReset = f.options.Now(), true
	}
}

// mayBeHeld reports whether another holder may have a lease that the store lost when it returned from an older copy. Such a lease ends
// at most its length after this process first noticed the return. length is that of leases if the previous one isn't known.
func (f *Fencer) mayBeHeld(previous leaseRecord, length time.Duration) bool {
	now := f.options.Now()
	wasHeld := f.sawReturn || previous.Number > 0 || f.era > firstEra
	longest := max(length, time.Duration(previous.LeaseMS)*time.Millisecond)

	return f.era > 0 && previous.Era != f.era && wasHeld && now-f.eraSince < longest || f.sawReset && now-f.resetAt < longest
}

// readNumber returns the stored fencing number, or ErrLeaseHeld.
func (f *Fencer) readNumber(ctx context.Context) (storer.KeyValue, leaseRecord, error) {
	var previous leaseRecord

	held, err := f.get(ctx, LeaseKey(f.options.Prefix))
	if err != nil {
		return held, previous, err
	}

	if held.Version > 0 {
		// A holder of another release may write what can't be decoded; the lease is held all the same.
		if json.Unmarshal(held.Value, &previous) == nil {
			f.observeNumber(previous.Number)
		}

		return held, previous, ErrLeaseHeld
	}

	stored, err := f.get(ctx, NumberKey(f.options.Prefix))
	if err != nil {
		return stored, previous, err
	}

	if stored.Version > 0 {
		// An unreadable number must not be treated as 0, since numbers would be reused.
		if err := json.Unmarshal(stored.Value, &previous); err != nil {
			return stored, previous, errors.Wrap(err, "decode the fencing number")
		}
	}

	f.observeNumber(previous.Number)

	return stored, previous, nil
}

// claimNumber writes the number and the lease key if the number is unchanged since it was read and no lease is held. It returns the
// revision of the write.
func (f *Fencer) claimNumber(ctx context.Context, stored storer.KeyValue, next leaseRecord, t *Term) (int64, error) {
	number, lease := NumberKey(f.options.Prefix), LeaseKey(f.options.Prefix)

	callCtx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()

	result, err := f.options.Store.Txn(callCtx, storer.Txn{
		Era: stored.Era,
		Compares: []storer.Compare{
			{Key: number, Target: storer.TargetMod, Number: stored.ModRevision},
			{Key: lease, Target: storer.TargetCreate, Number: 0},
		},
		Success: []storer.Op{
			{Kind: storer.OpPut, Key: number, Value: t.LeaseValue},
			{Kind: storer.OpPut, Key: lease, Value: t.LeaseValue, Lease: t.lease},
		},
	})

	switch {
	case errors.Is(err, storer.ErrUnknown):
		return f.confirmClaim(ctx, next)
	case err != nil:
		return 0, err
	case !result.Succeeded:
		return 0, ErrLeaseHeld
	}

	return result.Revision, nil
}

// confirmClaim reads whether a claim was applied whose reply was lost, and returns its revision. A claim that is applied after this
// read counts as failed: its number is never used, and its lease is revoked or expires.
func (f *Fencer) confirmClaim(ctx context.Context, next leaseRecord) (int64, error) {
	held, err := f.get(ctx, LeaseKey(f.options.Prefix))
	if err != nil {
		return 0, err
	}

	var found leaseRecord
	if held.Version > 0 {
		if err := json.Unmarshal(held.Value, &found); err != nil {
			return 0, errors.Wrap(err, "decode the lease")
		}
	}

	if found.Attempt != next.Attempt {
		return 0, errors.New("the fencing number was not claimed")
	}

	return held.ModRevision, nil
}

func (f *Fencer) get(ctx context.Context, key string) (storer.KeyValue, error) {
	callCtx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()

	found, revision, err := f.options.Store.Get(callCtx, key)
	if err == nil {
		f.observePosition(found.Era, revision)
	}

	return found, err
}

func (f *Fencer) grant(ctx context.Context, length time.Duration) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()

	return f.options.Store.Grant(callCtx, length)
}
