// Package fencer takes terms: spans of time in which one process acts alone, under a fencing number that only grows.
//
// A term stands on a lease of the platform's store. Its holder counts the lease from before the call that began or renewed
// it, by a clock that counts suspensions where one is given, and gives up a part of it at the end. A holder asks Valid right
// before each act. The number lies under a key that is never deleted, so that no two terms share one, whatever becomes of
// their holders.
package fencer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

// ErrLeaseHeld means that another holder's lease lasts.
var ErrLeaseHeld = errors.New("another node holds the lease")

// Store is the part of the platform's key-value service that terms need. Its errors are those of package storer.
type Store interface {
	Get(ctx context.Context, key string) (storer.KeyValue, int64, error)
	// Txn is called here with compares of modification revisions, of a creation with 0, and with puts only. A store that is
	// used for terms alone needs to support no others.
	Txn(ctx context.Context, t storer.Txn) (storer.TxnResult, error)
	Grant(ctx context.Context, length time.Duration) (int64, error)
	KeepAlive(ctx context.Context, lease int64) (time.Duration, error)
	Revoke(ctx context.Context, lease int64) error
}

// Options are the parts of a Fencer. All but Now are required.
type Options struct {
	Store Store
	// Prefix is that of the keys of the number and of the lease; it ends with a slash.
	Prefix string
	// Node and Incarnation name this run of this node; no two runs share both.
	Node        string
	Incarnation string
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration
	// Now is a clock that nobody sets. If it counts suspensions, a term ends in time also for a holder that was suspended;
	// if not, whoever acts after the holder has to wait out the longest suspension. Nil is the process's monotonic clock.
	Now func() time.Duration
}

// Fencer takes terms for one process. Its methods are not safe for concurrent use; its terms are.
type Fencer struct {
	options Options
	// takes counts attempts to take a number.
	takes int
	// last names the last attempt that succeeded.
	last string
}

// New returns a Fencer that has made no call.
func New(options Options) *Fencer {
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}

	return &Fencer{options: options}
}

// record is the value of both keys.
type record struct {
	Number int64 `json:"number"`
	// Take names this one attempt to take a number.
	Take    string `json:"take"`
	LeaseMS int64  `json:"lease_ms"`
}

// NumberKey is the key of the last number that was taken.
func NumberKey(prefix string) string {
	return prefix + "number"
}

// LeaseKey is the key that exists while a term lasts.
func LeaseKey(prefix string) string {
	return prefix + "lease"
}

// Acquire begins a term of the given length under a number above floor. It returns ErrLeaseHeld while another holder's lease lasts.
func (f *Fencer) Acquire(ctx context.Context, length time.Duration, floor int64) (*Term, error) {
	last, previous, err := f.lastNumber(ctx)
	if err != nil {
		return nil, err
	}

	sent := f.options.Now()

	lease, err := f.grant(ctx, length)
	if err != nil {
		return nil, err
	}

	f.takes++

	next := record{
		Number:  max(previous.Number, floor) + 1,
		Take:    fmt.Sprintf("%s.%s.%d", f.options.Node, f.options.Incarnation, f.takes),
		LeaseMS: length.Milliseconds(),
	}

	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode the fencing number")
	}

	t := &Term{
		Number: next.Number, LeaseValue: value, fencer: f, lease: lease, length: length,
		IsFirst:        previous.Number == 0,
		IsContinuation: previous.Take != "" && previous.Take == f.last,
		PreviousLease:  time.Duration(previous.LeaseMS) * time.Millisecond,
	}
	t.extend(sent)

	if err := f.write(ctx, last, next, t); err != nil {
		t.Release(ctx)

		return nil, err
	}

	f.last = next.Take

	return t, nil
}

// lastNumber returns what the number key holds, or ErrLeaseHeld.
func (f *Fencer) lastNumber(ctx context.Context) (storer.KeyValue, record, error) {
	var previous record

	held, err := f.get(ctx, LeaseKey(f.options.Prefix))
	if err != nil {
		return held, previous, err
	}

	if held.Version > 0 {
		return held, previous, ErrLeaseHeld
	}

	last, err := f.get(ctx, NumberKey(f.options.Prefix))
	if err != nil || last.Version == 0 {
		return last, previous, err
	}

	// A number that can't be read must not become 0: it would be used again.
	err = json.Unmarshal(last.Value, &previous)

	return last, previous, errors.Wrap(err, "decode the fencing number")
}

// write takes the number if nobody took one since it was read and nobody holds the lease.
func (f *Fencer) write(ctx context.Context, last storer.KeyValue, next record, t *Term) error {
	number, lease := NumberKey(f.options.Prefix), LeaseKey(f.options.Prefix)

	call, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()

	result, err := f.options.Store.Txn(call, storer.Txn{
		Compares: []storer.Compare{
			{Key: number, Target: storer.TargetMod, Number: last.ModRevision},
			{Key: lease, Target: storer.TargetCreate, Number: 0},
		},
		Success: []storer.Op{
			{Kind: storer.OpPut, Key: number, Value: t.LeaseValue},
			{Kind: storer.OpPut, Key: lease, Value: t.LeaseValue, Lease: t.lease},
		},
	})

	switch {
	case errors.Is(err, storer.ErrUnknown):
		return f.readBack(ctx, next)
	case err != nil:
		return err
	case !result.Succeeded:
		return ErrLeaseHeld
	}

	return nil
}

// readBack settles a take whose reply was lost. A take that is applied after this look counts
// as lost: its number is then never used, and its lease is revoked or ends by itself.
func (f *Fencer) readBack(ctx context.Context, next record) error {
	held, err := f.get(ctx, LeaseKey(f.options.Prefix))
	if err != nil {
		return err
	}

	var found record
	if held.Version > 0 {
		if err := json.Unmarshal(held.Value, &found); err != nil {
			return errors.Wrap(err, "decode the lease")
		}
	}

	if found.Take != next.Take {
		return errors.New("the fencing number was not taken")
	}

	return nil
}

func (f *Fencer) get(ctx context.Context, key string) (storer.KeyValue, error) {
	call, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()

	found, _, err := f.options.Store.Get(call, key)

	return found, err
}

func (f *Fencer) grant(ctx context.Context, length time.Duration) (int64, error) {
	call, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()

	return f.options.Store.Grant(call, length)
}
