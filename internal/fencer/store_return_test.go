package fencer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"quincepath.example/quincepath/internal/fencer"
	"quincepath.example/quincepath/internal/standin/keeper"
)

const lease = 3 * time.Second

// candidate is a process that competes for terms, with a clock of its own.
type candidate struct {
	*fencer.Fencer
	now time.Duration
}

func newCandidate(store *keeper.Store, name string) *candidate {
	c := &candidate{}
	c.Fencer = fencer.New(fencer.Options{
		Store: keeper.NewLocal(store, nil), Node: name, Incarnation: name, CallTimeout: time.Second, ConfirmRenewals: true,
		Now: func() time.Duration { return c.now },
	})

	return c
}

func (c *candidate) acquire(t *testing.T) *fencer.Term {
	t.Helper()

	term, err := c.Acquire(t.Context(), lease, 0)
	assert.NilError(t, err)

	return term
}

// Guards against a fencing number that a process uses again though it has read it, since the store lost it and names no era.
func TestNumbersThatWereReadAreNotUsedAgain(t *testing.T) {
	store := keeper.NewStore(keeper.StoreOptions{})
	one, other := newCandidate(store, "one"), newCandidate(store, "other")
	loss := store.TakeCopy()

	lost := one.acquire(t)
	assert.Assert(t, lost.IsFirst)

	_, err := other.Acquire(t.Context(), lease, 0)
	assert.ErrorIs(t, err, fencer.ErrLeaseHeld)

	store.Restore(loss, false)

	// The lost lease may still be in use.
	_, err = other.Acquire(t.Context(), lease, 0)
	assert.ErrorIs(t, err, fencer.ErrLeaseHeld)

	other.now += lease
	next := other.acquire(t)
	assert.Equal(t, next.Number, lost.Number+1)
	assert.Assert(t, !next.IsFirst)
}

// Guards against a term that counts as the continuation of an earlier one of its process, though the store has lost one in between.
func TestLostTermEndsAContinuation(t *testing.T) {
	store := keeper.NewStore(keeper.StoreOptions{})
	one, other := newCandidate(store, "one"), newCandidate(store, "other")

	one.acquire(t).Release(t.Context())

	continued := one.acquire(t)
	assert.Assert(t, continued.IsContinuation)
	continued.Release(t.Context())

	loss := store.TakeCopy()
	lost := other.acquire(t)
	_, err := one.Acquire(t.Context(), lease, 0)
	assert.ErrorIs(t, err, fencer.ErrLeaseHeld)

	store.Restore(loss, false)
	one.now += lease
	_, err = one.Acquire(t.Context(), lease, 0)
	assert.ErrorIs(t, err, fencer.ErrLeaseHeld)

	one.now += lease
	next := one.acquire(t)
	assert.Equal(t, next.Number, lost.Number+1)
	assert.Assert(t, !next.IsContinuation)
}

// Guards against a term that counts as the continuation of one whose number another process had, too.
func TestNumberOfAnotherEndsAContinuation(t *testing.T) {
	one := newCandidate(keeper.NewStore(keeper.StoreOptions{}), "one")

	former := one.acquire(t)
	former.Release(t.Context())

	next, err := one.Acquire(t.Context(), lease, former.Number)
	assert.NilError(t, err)
	assert.Assert(t, !next.IsContinuation)
}

// Guards against a holder that goes on by, or gives up, a lease that the store has granted to another one since it returned.
func TestLeaseThatWasGrantedAgainIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keeper.NewStore(keeper.StoreOptions{})
		loss := store.TakeCopy()
		one, other := newCandidate(store, "one"), newCandidate(store, "other")

		lost := one.acquire(t)

		store.Restore(loss, false)

		next := other.acquire(t)

		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()

		// Returns as the term has ended.
		lost.Renew(ctx)
		assert.Assert(t, lost.Ended())
		assert.NilError(t, ctx.Err())

		lost.Release(t.Context())

		held, _, err := keeper.NewLocal(store, nil).Get(t.Context(), fencer.LeaseKey(""))
		assert.NilError(t, err)
		assert.DeepEqual(t, held.Value, next.LeaseValue)
	})
}
