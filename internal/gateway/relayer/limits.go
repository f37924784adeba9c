package relayer

import (
	"strconv"
	"strings"

	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/throttler"
)

// recordRateLimit records whether the upstream's response names a rate limit.
func (r *Relayer) recordRateLimit(a *attempt) {
	names := &r.options.Headers
	request, choice, response := a.request, a.choice, a.response

	if !r.tells(request, response, names.RateLimit) {
		return
	}

	rate, named, ok := throttler.ParseRate(response.Header.Get(names.RateLimit))
	if !ok {
		return
	}

	limit, changed := r.options.Chooser.RecordRateLimit(a.id, rate, named)
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

// recordBrittle records whether the upstream's response says that it is brittle.
func (r *Relayer) recordBrittle(a *attempt) {
	names := &r.options.Headers
	request, choice, response := a.request, a.choice, a.response

	if !r.tells(request, response, names.Brittle) {
		return
	}

	text := strings.TrimSpace(response.Header.Get(names.Brittle))
	// A number that can't be read says nothing of how many rejections the upstream bears.
	rejections, err := strconv.Atoi(text)
	if err != nil || rejections < 0 {
		rejections = 0
	}

	if !r.options.Chooser.RecordBrittle(a.id, rejections, text != "") {
		return
	}

	message := "upstream_brittle"
	if text == "" {
		message = "upstream_brittle_ended"
	}

	r.limitLogger.Info().Str("upstream", choice.Upstream).Str("service", request.service).Int("rejections", rejections).Msg(message)
}

// tells reports whether the response tells if the named header applies to its upstream. A spoiled response, or one that no
// upstream signed, doesn't tell by lacking it.
func (r *Relayer) tells(request *request, response *dialer.Response, name string) bool {
	return len(response.Header.Values(name)) > 0 ||
		response.Header.Get(r.options.Headers.Signature) != "" && r.isAuthentic(request, response)
}
