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

// highestLeap bounds numbers taken over from engines: JSON numbers are exact up to here.
const highestLeap = int64(1) << 53

// term is the time in which this node orders under one fencing number.
type term struct {
	*fencer.Term

	// former are loads that an earlier orderer may have left under way.
	former []loadRecord
	// settled is when engines that ignore the number may be ordered.
	settled time.Time
}

func servicePrefix(service string) string {
	return keyPrefix + service + "/"
}

// take begins a term. It returns fencer.ErrLeaseHeld while another node's lease lasts.
func (o *Orderer) take(ctx context.Context, bounds configurer.Orders) (*term, error) {
	taken, err := o.fencer.Acquire(ctx, bounds.Lease, o.seenFencing)
	if err != nil {
		return nil, err
	}

	t := &term{Term: taken}

	t.former, err = o.formerLoads(ctx)
	if err != nil {
		t.Release(ctx)

		return nil, err
	}

	// The lease key is gone, but a store that lost leases, or whose clock leapt, may have
	// dropped it early: the earlier orderer's own count is what has to run out.
	t.settled = time.Now().Add(max(t.PreviousLease, bounds.Lease) + bounds.LongestPause)

	return t, nil
}

func (o *Orderer) get(ctx context.Context, key string) (storer.KeyValue, error) {
	call, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()

	found, _, err := o.options.Store.Get(call, key)

	return found, errors.Wrapf(err, "read %s", key)
}
