package gateway

import (
	"context"
	"time"
)

const (
	// limitStoreInterval is the time between two looks for rate limits that the store lacks.
	limitStoreInterval = 500 * time.Millisecond
	// limitStoreTimeout limits a write of rate limits to the store.
	limitStoreTimeout = time.Second
)

// limitShare returns the part of the upstreams' rate limits that this node may use together with the nodes that it reaches.
func (n *Node) limitShare() float64 {
	return n.currentRoster().limitShare
}

// storeRateLimits writes rate limits to the store until ctx is cancelled, so that they outlast the nodes that heard of them.
func (n *Node) storeRateLimits(ctx context.Context) {
	ticker := time.NewTicker(limitStoreInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		put, remove := n.broker.UnstoredLimits()

		if len(put) > 0 {
			n.writeRateLimits(ctx, func(ctx context.Context) error { return n.store.RecordRateLimits(ctx, put) })
		}

		if len(remove) > 0 {
			n.writeRateLimits(ctx, func(ctx context.Context) error { return n.store.RemoveRateLimits(ctx, remove) })
		}
	}
}

func (n *Node) writeRateLimits(ctx context.Context, write func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, limitStoreTimeout)
	defer cancel()

	if err := write(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("rate_limits_not_stored")
	}
}
