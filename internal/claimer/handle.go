package claimer

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

var errEnded = errors.New("the claim is already ended")

// Handle is the right to run one request once. Exactly one of Finish and Void
// is called; until then callers that ask again hear that the run is in progress.
type Handle struct {
	claimer *Claimer
	shard   *shard
	id      string
	key     string
	ended   atomic.Bool
}

// Finish records the result of a request that was or may have been sent; for
// the latter with Ran as RanUnknown. It returns when the record is written. When ctx ends
// first it returns an error and the writing goes on until it succeeds, the
// window has passed or the node ends. UnknownRequest means that the window has
// passed and the claim is forgotten. The record takes nothing back from the
// caller, who may be answered before.
func (h *Handle) Finish(ctx context.Context, result Result) error {
	o := newOperation(kindDone, h.id)
	kept := result.limited(h.claimer.options.AnswerBytes)
	o.result = &kept

	return h.end(ctx, o)
}

// Void gives the claim up, so that the key is free again. It must only be called
// when no byte of the request can have left, or when the upstream said that it
// did not run it. Its error and ctx are those of Finish.
func (h *Handle) Void(ctx context.Context) error {
	return h.end(ctx, newOperation(kindVoid, h.id))
}

func (h *Handle) end(ctx context.Context, o *operation) error {
	if h.ended.Swap(true) {
		return errEnded
	}

	c := h.claimer

	o.key = h.key
	if a, forwarded := c.forwardEnd(ctx, h.shard, o); forwarded {
		c.setOpen(h.id, false)

		return a.err()
	}

	h.shard.submit(o)

	return h.shard.wait(ctx, o).err()
}
