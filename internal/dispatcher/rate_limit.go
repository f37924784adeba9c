package dispatcher

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/pkg/classifier"
)

// RateLimiter admits requests to upstreams that name rate limits.
type RateLimiter interface {
	// Admit reports whether a request may be sent to the upstream now, and if not, when to ask again.
	Admit(ctx context.Context, address string) (time.Duration, bool)
}

// SetRateLimiter makes the dispatcher send requests only as the limiter admits them. Call it before the first request.
func (d *Dispatcher) SetRateLimiter(limiter RateLimiter) {
	d.limiter = limiter
}

// admits reports whether an attempt may be sent to the upstream of its slot. If not, no request of this node is sent there
// until its rate limit admits one.
func (d *Dispatcher) admits(ctx context.Context, address string) bool {
	if d.limiter == nil {
		return true
	}

	wait, admitted := d.limiter.Admit(ctx, address)
	if !admitted {
		d.limitWaits.add(time.Now(), address, wait)
	}

	return admitted
}

// waitForLimits waits if the rate limits of all upstreams of the service admit nothing now. A request that would wait longer
// than its class allows gets an error that says when to come back.
func (d *Dispatcher) waitForLimits(ctx context.Context, request Request, history History) *classifier.Error {
	for {
		wait, limited := d.limitWait(request.Service)
		if !limited {
			return nil
		}

		if time.Since(request.Arrived)+wait > request.Class.MaxWait {
			failure := classifier.New(classifier.UpstreamRateLimited, "the upstreams take no more requests at this rate").After(wait)
			failure.Ran = history.RanState()

			return failure
		}

		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return acquireError(ctx, ctx.Err(), history)
		}
	}
}

// limitWait returns the time until the rate limit of the first upstream admits a request, or false if one can be tried now.
func (d *Dispatcher) limitWait(service configurer.Service) (time.Duration, bool) {
	now := time.Now()
	least, limited := time.Duration(0), false

	for _, upstream := range service.Upstreams {
		if upstream.Leaving || d.retryAfters.remaining(now, upstream.Address) > 0 {
			continue
		}

		wait := d.limitWaits.remaining(now, upstream.Address)
		if wait <= 0 {
			return 0, false
		}

		if !limited || wait < least {
			least, limited = wait, true
		}
	}

	return least, limited
}
