package relayer

import (
	"time"

	"quincepath.example/quincepath/internal/forwarder"
)

// recordActivity records that an upstream sent data.
func (r *Relayer) recordActivity(upstream string, now time.Time) {
	r.activity.recordActivity(upstream, now)
	r.options.Quarantine.Alive(upstream)
}

// recordAvailability records whether the upstream's response announces a shutdown or asks for a pause.
func (r *Relayer) recordAvailability(a *attempt) {
	now := time.Now()
	request, choice, response := a.request, a.choice, a.response

	if leaving := response.Header.Get(r.options.Headers.Leaving); leaving != "" && leaving != "0" {
		// Other nodes learn of it from the pool's holders; this node must decline any choice of the upstream.
		if r.avoidList.markLeaving(request.service, choice.Upstream, r.bornAt(choice.Upstream)) {
			r.options.Logger.Info().Str("upstream", choice.Upstream).Str("service", request.service).Msg("upstream_leaving")
			r.options.Chooser.MarkLeaving(a.id)
		}
	}

	if rest, ok := forwarder.ParseRetryAfter(response.Response, now); ok {
		r.avoidList.markResting(request.service, choice.Upstream, r.bornAt(choice.Upstream), now.Add(rest))
		r.options.Chooser.MarkResting(a.id, rest)
		r.options.Logger.Info().Str("upstream", choice.Upstream).Str("service", request.service).Dur("rest_ms", rest).Msg("upstream_resting")
	}
}

// bornAt returns the listed start time of the upstream in Unix milliseconds, or 0 if it isn't known.
func (r *Relayer) bornAt(upstream string) int64 {
	listed, _ := r.options.Catalog.State().Registry.Upstreams.Get(upstream)

	return listed.Born
}
