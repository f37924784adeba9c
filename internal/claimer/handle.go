package claimer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/pkg/classifier"
)

// forwardTries is how often a holder may leave an end without a reply before it is written here.
const forwardTries = 3

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
	settled := make(chan answer, 1)

	c.workers.Go(func() { settled <- c.recordEnd(h.shard, o) })

	select {
	case a := <-settled:
		return a.err()
	case <-ctx.Done():
		return classifier.Wrap(ctx.Err(), classifier.ClaimUnavailable, "the record is still being written")
	}
}

// recordEnd has a claim's end written, by the shard's holder if that answers. While
// the holder waits for the store this node doesn't try by itself: at the end of an
// outage every node would read whole shards and write to them at once, which the
// platform's rates don't allow; its count of calls would show it.
func (c *Claimer) recordEnd(s *shard, o *operation) answer {
	pause := newBackOff()

	for silent := 0; silent < forwardTries && time.Since(o.started) < c.options.Window; {
		if c.holder(s.number) == "" {
			break
		}

		a, settled, err := c.forwardEnd(s, o)
		if settled {
			c.setOpen(o.id, false)

			return a
		}

		if err != nil {
			silent++
		}

		if !sleeper.Sleep(c.ctx, pause.NextBackOff()) {
			break
		}
	}

	return s.wait(c.ctx, s.submit(o))
}
