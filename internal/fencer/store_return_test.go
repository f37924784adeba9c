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
