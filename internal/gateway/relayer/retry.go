package relayer

import (
	"context"

	"quincepath.example/quincepath/pkg/classifier"
)

// mayRepeat reports whether a request that may have run may be run again.
func (r *Relayer) mayRepeat(ctx context.Context, request *request) bool {
	return request.mayBeFollowed() && ctx.Err() == nil && !r.mayCrashUpstreams(request)
}

// shouldRetry reports whether the request is sent again, and acquires a permit from the retry budget for it.
func (r *Relayer) shouldRetry(ctx context.Context, out *callerResponse, result attemptResult) bool {
	request := out.request

	if ctx.Err() != nil || request.progress.read().sends >= maxSends {
		return false
	}

	if result == attemptUnknown && !r.mayRepeat(ctx, request) {
		return false
	}

	if !r.acquireRetryPermit(ctx, request) {
		return false
	}

	r.options.Meter.Retried(request.route.Name, result.String())

	return true
}

// acquireRetryPermit acquires a permit for another attempt from the retry budget. If no attempt may have reached an
// upstream, none is needed, since the request has cost the upstreams nothing so far.
func (r *Relayer) acquireRetryPermit(ctx context.Context, request *request) bool {
	if request.progress.read().possibleArrivals == 0 {
		return true
	}

	charge, ok := r.options.RetryBudget.Acquire(ctx, request.service)
	if !ok {
		r.options.Meter.Refused(request.route.Name, classifier.RetryBudgetSpent)
		r.options.Logger.Warn().Str("request_id", request.id).Str("service", request.service).Msg("retry_budget_spent")

		return false
	}

	request.retryPermit = charge

	return true
}

// renewRetryPermit acquires a new permit if the attempt's permit was borrowed and expired while the request waited for
// an upstream.
func (r *Relayer) renewRetryPermit(ctx context.Context, request *request) bool {
	if request.retryPermit.Usable() {
		return true
	}

	request.retryPermit.Cancel()

	return r.acquireRetryPermit(ctx, request)
}

// mayCrashUpstreams reports whether the request is better not sent to another upstream after one failed.
func (r *Relayer) mayCrashUpstreams(request *request) bool {
	return request.isTrial() || r.options.Quarantine.IsSuspected(request.traits.Parts, request.progress.read().brokeAt)
}
