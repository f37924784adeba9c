package orderer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/storer"
)

const (
	keyPrefix = "/quincepath/orderer/"
	// highestLeap bounds numbers taken over from engines: JSON numbers are exact up to here.
	highestLeap = int64(1) << 53
)

var errHeld = errors.New("another node holds the lease")

// record is the value of both keys. It is never deleted at numberKey.
type record struct {
	Number int64 `json:"number"`
	// Take names this one attempt to take a number.
	Take    string `json:"take"`
	LeaseMS int64  `json:"lease_ms"`
}

func numberKey(service string) string {
	return keyPrefix + service + "/number"
}

func leaseKey(service string) string {
	return keyPrefix + service + "/lease"
}

// take begins a term. It returns errHeld while another node's lease lasts.
func (o *Orderer) take(ctx context.Context, bounds configurer.Orders) (*term, error) {
	last, previous, err := o.lastNumber(ctx)
	if err != nil {
		return nil, err
	}

	sent := time.Now()

	lease, err := o.grant(ctx, bounds.Lease)
	if err != nil {
		return nil, err
	}

	o.takes++

	next := record{
		Number:  max(previous.Number, o.seenFencing) + 1,
		Take:    fmt.Sprintf("%s.%s.%d", o.options.Node, o.options.Incarnation, o.takes),
		LeaseMS: bounds.Lease.Milliseconds(),
	}

	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode the fencing number")
	}

	t := newTerm(lease, bounds.Lease, sent)
	t.number, t.record = next.Number, value

	if err := o.write(ctx, last, next, t); err != nil {
		o.revoke(ctx, lease)

		return nil, err
	}

	t.former, err = o.formerLoads(ctx)
	if err != nil {
		o.revoke(ctx, lease)

		return nil, err
	}

	// The lease key is gone, but a store that lost leases, or whose clock leapt, may have
	// dropped it early: the earlier orderer's own count is what has to run out.
	earlier := max(time.Duration(previous.LeaseMS)*time.Millisecond, bounds.Lease)
	t.settled = time.Now().Add(earlier + bounds.LongestPause)

	return t, nil
}

// lastNumber returns what the number key holds, or errHeld.
func (o *Orderer) lastNumber(ctx context.Context) (storer.KeyValue, record, error) {
	var previous record

	held, err := o.get(ctx, leaseKey(o.options.Service))
	if err != nil {
		return held, previous, err
	}

	if held.Version > 0 {
		return held, previous, errHeld
	}

	last, err := o.get(ctx, numberKey(o.options.Service))
	if err != nil || last.Version == 0 {
		return last, previous, err
	}

	// A number that can't be read must not become 0: it would be used again.
	err = json.Unmarshal(last.Value, &previous)

	return last, previous, errors.Wrap(err, "decode the fencing number")
}

// write takes the number if nobody took one since it was read and nobody holds the lease.
func (o *Orderer) write(ctx context.Context, last storer.KeyValue, next record, t *term) error {
	service := o.options.Service

	call, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()

	result, err := o.options.Store.Txn(call, storer.Txn{
		Compares: []storer.Compare{
			{Key: numberKey(service), Target: storer.TargetMod, Number: last.ModRevision},
			{Key: leaseKey(service), Target: storer.TargetCreate, Number: 0},
		},
		Success: []storer.Op{
			{Kind: storer.OpPut, Key: numberKey(service), Value: t.record},
			{Kind: storer.OpPut, Key: leaseKey(service), Value: t.record, Lease: t.lease},
		},
	})

	switch {
	case errors.Is(err, storer.ErrUnknown):
		return o.readBack(ctx, next)
	case err != nil:
		return err
	case !result.Succeeded:
		return errHeld
	}

	return nil
}

// readBack settles a take whose reply was lost. A take that is applied after this look counts
// as lost: its number is then never used, and its lease is revoked or ends by itself.
func (o *Orderer) readBack(ctx context.Context, next record) error {
	held, err := o.get(ctx, leaseKey(o.options.Service))
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

func (o *Orderer) get(ctx context.Context, key string) (storer.KeyValue, error) {
	call, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()

	found, _, err := o.options.Store.Get(call, key)

	return found, err
}

func (o *Orderer) grant(ctx context.Context, length time.Duration) (int64, error) {
	call, cancel := context.WithTimeout(ctx, o.options.CallTimeout)
	defer cancel()

	return o.options.Store.Grant(call, length)
}

// revoke ends a lease that is not used; if that fails, it ends by itself.
func (o *Orderer) revoke(ctx context.Context, lease int64) {
	// Also a node that stops gives its lease back.
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.options.CallTimeout)
	defer cancel()

	_ = o.options.Store.Revoke(call, lease)
}
