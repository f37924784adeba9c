package orderer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/fencer"
	"quincepath.example/quincepath/internal/storer"
)

const keyPrefix = "/quincepath/orderer/"

// maxExactJSONInteger limits the fencing numbers that are accepted from engines: JSON numbers are exact up to this value.
const maxExactJSONInteger = int64(1) << 53

// term is a period in which this node sends orders under one fencing number.
type term struct {
	*fencer.Term

	// previousLoads are loads of an earlier orderer that may still be pending.
	previousLoads []loadRecord
	// ordersAllowedAt is when orders may be sent to engines that ignore fencing numbers.
	ordersAllowedAt time.Time
}

func servicePrefix(service string) string {
	return keyPrefix + service + "/"
}

// acquireTerm starts a term. It returns fencer.ErrLeaseHeld while another node holds the lease.
func (o *Orderer) acquireTerm(ctx context.Context, bounds configurer.Orders) (*term, error) {
	acquired, err := o.fencer.Acquire(ctx, bounds.Lease, o.highestSeenFencing)
	if err != nil {
		return nil, err
	}

	t := &term{Term: acquired}

	t.previousLoads, err = o.readPreviousLoads(ctx)
	if err != nil {
		t.Release(ctx)

		return nil, err
	}

	// The lease key doesn't exist any more, but a store that lost leases, or whose clock jumped, may have deleted it
	// early. The wait therefore covers a whole lease as the earlier orderer measures it.
	t.ordersAllowedAt = time.Now().Add(max(t.PreviousLease, bounds.Lease) + bounds.LongestPause)

	return t, nil
}

func (o *Orderer) get(ctx context.Context, key string) (storer.KeyValue, error) {
	callCtx, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()

	found, _, err := o.options.Store.Get(callCtx, key)

	return found, errors.Wrapf(err, "read %s", key)
}
