package relayer

import (
	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/throttler"
)

// recordRateLimit records whether the upstream's response names a rate limit.
func (r *Relayer) recordRateLimit(request *request, choice balancer.Choice, response *dialer.Response) {
	names := &r.options.Headers

	// A spoiled response, or one that no upstream signed, doesn't end a limit.
	if len(response.Header.Values(names.RateLimit)) == 0 &&
		(response.Header.Get(names.Signature) == "" || !r.isAuthentic(request, response)) {
		return
	}

	rate, named, ok := throttler.ParseRate(response.Header.Get(names.RateLimit))
	if !ok {
		return
	}

	limit, changed := r.options.Chooser.RecordRateLimit(request.attemptID, rate, named)
	if !changed {
		return
	}

	message := "upstream_rate_limit"
	if !limit.Active() {
		message = "upstream_rate_limit_ended"
	}

	r.limitLogger.Info().Str("upstream", choice.Upstream).Str("service", request.service).
		Float64("per_second", limit.PerSecond).Int64("version", limit.Version).Msg(message)
}
