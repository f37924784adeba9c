package relayer

import (
	"math"
	"net/http"
	"strconv"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/dialer"
)

// recordRateLimit records whether the upstream's response names a rate limit.
func (r *Relayer) recordRateLimit(request *request, choice balancer.Choice, response *dialer.Response) {
	names := &r.options.Headers

	// A spoiled response, or one that no upstream signed, doesn't end a limit.
	if len(response.Header.Values(names.RateLimit)) == 0 &&
		(response.Header.Get(names.Signature) == "" || !r.isAuthentic(request, response)) {
		return
	}

	rate, named, ok := parseRateLimit(response.Header, names.RateLimit)
	if !ok {
		return
	}

	limit, changed := r.options.Chooser.RecordRateLimit(request.attemptID(), rate, named)
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

// parseRateLimit returns the number of requests per second that an upstream accepts from all nodes together, and whether
// its response names one. ok is false if the value can't be read.
func parseRateLimit(header http.Header, name string) (rate float64, named, ok bool) {
	text := header.Get(name)
	if text == "" {
		return 0, false, true
	}

	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, true, false
	}

	return rate, true, true
}
