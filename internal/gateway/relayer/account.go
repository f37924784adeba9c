package relayer

import (
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/meter"
	"quincepath.example/quincepath/pkg/classifier"
)

// account is what is told of a request when it has ended.
type account struct {
	code classifier.Code
	// queued is the time in which the request waited for upstreams.
	queued time.Duration
	// first is the time from arrival to the first byte for the caller; 0 before it.
	first time.Duration
	// pace follows the events that went to the caller.
	pace pace
	// choice is the last upstream.
	choice balancer.Choice
}

// attained says whether the answer was whole and on time.
func (c *account) attained(request *request) bool {
	onTime := c.first <= request.route.Target || request.route.Target == 0
	steady := c.pace.longest <= request.route.GapLimit || request.route.GapLimit == 0

	return c.code == classifier.OK && onTime && steady
}

// settle counts an ended request, and logs it if it was late: refusals and failures have lines of their own.
func (r *Relayer) settle(a *answer) {
	request, account := a.request, &a.account
	attained := account.attained(request)
	duration := time.Since(request.arrived)

	r.options.Meter.Ended(meter.Sample{
		Class:      request.route.Name,
		Code:       account.code,
		FirstToken: account.first,
		Duration:   duration,
		Target:     request.route.Target,
		Attained:   attained,
	})

	if account.code != classifier.OK || attained {
		return
	}

	r.late.Info().
		Str("request_id", request.id).
		Str("route", request.route.Name).
		Str("upstream", account.choice.Upstream).
		Int("rank", request.rank).
		Int("sends", request.sends).
		Dur("queued_ms", account.queued).
		Float64("expected_ms", account.choice.ExpectedWaitMS).
		Dur("first_ms", account.first).
		Dur("target_ms", request.route.Target).
		Dur("worst_gap_ms", account.pace.longest).
		Dur("gap_limit_ms", request.route.GapLimit).
		Dur("took_ms", duration).
		Msg("request_late")
}
