package relayer

import (
	"time"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/meter"
	"quincepath.example/quincepath/pkg/classifier"
)

// requestStats are the figures that are reported when a request ends.
type requestStats struct {
	code classifier.Code
	// queueTime is the total time that the request waited for an upstream.
	queueTime time.Duration
	// timeToFirstByte is the time from arrival until the response header is sent to the caller; 0 before.
	timeToFirstByte time.Duration
	// gaps tracks the events sent to the caller.
	gaps gapTracker
	// choice is the last chosen upstream.
	choice balancer.Choice
}

// attained reports whether the response was complete and met its latency target and gap limit.
func (s *requestStats) attained(request *request) bool {
	onTime := s.timeToFirstByte <= request.route.Target || request.route.Target == 0
	steady := s.gaps.longest <= request.route.GapLimit || request.route.GapLimit == 0

	return s.code == classifier.OK && onTime && steady
}

// recordCompletion counts an ended request, and logs it if it was late. Refusals and failures are logged elsewhere.
func (r *Relayer) recordCompletion(out *callerResponse) {
	request, stats := out.request, &out.stats
	attained := stats.attained(request)
	duration := time.Since(request.arrived)

	r.options.Meter.RequestEnded(meter.Sample{
		Class:      request.route.Name,
		Code:       stats.code,
		FirstToken: stats.timeToFirstByte,
		Duration:   duration,
		Target:     request.route.Target,
		Attained:   attained,
	})

	if stats.code != classifier.OK || attained {
		return
	}

	r.lateLogger.Info().
		Str("request_id", request.id).
		Str("route", request.route.Name).
		Str("upstream", stats.choice.Upstream).
		Int("rank", request.engineRank).
		Int("sends", request.progress.read().sends).
		Dur("queued_ms", stats.queueTime).
		Float64("expected_ms", stats.choice.ExpectedWaitMS).
		Dur("first_ms", stats.timeToFirstByte).
		Dur("target_ms", request.route.Target).
		Dur("worst_gap_ms", stats.gaps.longest).
		Dur("gap_limit_ms", request.route.GapLimit).
		Dur("took_ms", duration).
		Msg("request_late")
}
