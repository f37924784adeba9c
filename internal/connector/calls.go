package connector

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/storer"
)

// listAttempts bounds the fresh starts of a List whose revision was compacted under it.
const listAttempts = 3

// Get returns a key and the store's revision; an absent key has Version 0.
func (c *Client) Get(ctx context.Context, key string) (storer.KeyValue, int64, error) {
	var reply wireRangeReply
	err := c.read(ctx, pathRange, wireRange{Key: []byte(key)}, &reply)
	if err != nil || len(reply.KVs) == 0 {
		return storer.KeyValue{}, reply.Header.Revision, err
	}

	return reply.KVs[0].keyValue(), reply.Header.Revision, nil
}

// List returns all keys with a prefix, in order, as they were at the revision returned.
// It reads page by page at one revision, and starts anew when that revision is compacted.
func (c *Client) List(ctx context.Context, prefix string) ([]storer.KeyValue, int64, error) {
	var err error
	for range listAttempts {
		var found []storer.KeyValue
		var revision int64
		found, revision, err = c.listOnce(ctx, prefix)
		if !errors.Is(err, storer.ErrCompacted) {
			return found, revision, err
		}
	}

	return nil, 0, err
}

func (c *Client) listOnce(ctx context.Context, prefix string) ([]storer.KeyValue, int64, error) {
	from, end := storer.PrefixRange(prefix)
	query := wireRange{Key: []byte(from), RangeEnd: []byte(end), Limit: c.options.PageSize}
	var found []storer.KeyValue
	for {
		var reply wireRangeReply
		if err := c.read(ctx, pathRange, query, &reply); err != nil {
			return nil, 0, err
		}
		found = append(found, reply.keyValues()...)
		if query.Revision == 0 {
			query.Revision = reply.Header.Revision
		}
		if !reply.More || len(reply.KVs) == 0 {
			return found, query.Revision, nil
		}
		query.Key = slices.Concat(reply.KVs[len(reply.KVs)-1].Key, []byte{0})
	}
}

// Put writes a key, with a lease unless that is 0, and returns the store's revision.
func (c *Client) Put(ctx context.Context, key string, value []byte, lease int64) (int64, error) {
	var reply wirePutReply
	body := wirePut{Key: []byte(key), Value: value, Lease: lease}
	err := c.write(ctx, pathPut, body, &reply)

	return reply.Header.Revision, err
}

// Delete removes a key and returns the number of keys removed, 0 or 1.
func (c *Client) Delete(ctx context.Context, key string) (int64, error) {
	var reply wireDeleteReply
	err := c.write(ctx, pathDelete, wireDelete{Key: []byte(key)}, &reply)

	return reply.Deleted, err
}

// Txn applies a transaction. A transaction that takes its Failure branch is no error.
func (c *Client) Txn(ctx context.Context, t storer.Txn) (storer.TxnResult, error) {
	var reply wireTxnReply
	err := c.write(ctx, pathTxn, toTxn(t), &reply)
	if err != nil {
		return storer.TxnResult{}, err
	}

	return reply.result(), nil
}

// Grant starts a lease and returns its id; the length is rounded up to whole seconds.
// After ErrUnknown a lease without keys may exist; it ends by itself.
func (c *Client) Grant(ctx context.Context, length time.Duration) (int64, error) {
	var reply wireLease
	err := c.write(ctx, pathGrant, wireLease{TTL: storer.LeaseSeconds(length)}, &reply)

	return reply.ID, err
}

// KeepAlive starts a lease's time anew and returns its length.
// ErrLeaseNotFound means that it has ended. Measure the time left from before the call.
func (c *Client) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var reply wireKeepAliveReply
	err := c.write(ctx, pathKeepAlive, wireLease{ID: lease}, &reply)
	if err != nil {
		return 0, err
	}
	if reply.Error != nil {
		return 0, storer.FromStatus(reply.Error.Code, reply.Error.Message, true)
	}
	if reply.Result.TTL <= 0 {
		return 0, storer.FromStatus(storer.StatusNotFound, "the lease has ended", true)
	}

	return time.Duration(reply.Result.TTL) * time.Second, nil
}

// Revoke ends a lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	var reply wirePutReply

	return c.write(ctx, pathRevoke, wireLease{ID: lease}, &reply)
}

// VMs returns the platform's list of VMs, which lags behind the truth.
func (c *Client) VMs(ctx context.Context) (storer.VMList, error) {
	var list storer.VMList
	err := c.call(ctx, request{method: http.MethodGet, path: pathVMs}, &list)

	return list, err
}
