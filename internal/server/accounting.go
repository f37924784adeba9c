package server

import (
	"time"

	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/ejector"
	"quincepath.example/quincepath/internal/meter"
	"quincepath.example/quincepath/pkg/classifier"
)

// counterName is the name that the counters of a class stand under.
func counterName(request dispatcher.Request) string {
	return request.Service.Name + "/" + request.Class.Name
}

// AttemptEnded implements dispatcher.Observer: it counts and logs one attempt.
func (n *Node) AttemptEnded(request dispatcher.Request, attempt dispatcher.Attempt, outcome dispatcher.Outcome, next dispatcher.RetryDecision) {
	if run, ok := n.runs.find(request.ID); ok {
		run.note(attempt, outcome)
	}

	source := ejector.Source{Service: request.Service.Name, Upstream: attempt.Slot.Upstream.Name, Class: request.Class.Name}
	n.ejector.Observe(time.Now(), source, outcome)

	if next.Retry {
		n.meter.Retried(counterName(request), next.Reason)
	}

	n.countHedge(request, attempt, outcome)

	event := n.logger.Info()
	if outcome.Result != dispatcher.ResultDone && outcome.Result != dispatcher.ResultSuperseded {
		event = n.logger.Warn().AnErr("cause", outcome.Err)
	}

	event.Str("request_id", request.ID).
		Stringer("request_key", request.Key).
		Str("class", request.Class.Name).
		Str("organisation", request.Organisation.Name).
		Str("upstream", attempt.Slot.Upstream.Name).
		Int("attempt", attempt.Number).
		Bool("hedge", attempt.Hedge).
		Str("result", outcome.Result.String()).
		Int("tokens", outcome.Tokens).
		Dur("first_token_ms", outcome.FirstToken).
		Dur("duration_ms", outcome.Duration).
		Str("retry_reason", next.Reason).
		Msg("attempt_ended")
}

func (n *Node) countHedge(request dispatcher.Request, attempt dispatcher.Attempt, outcome dispatcher.Outcome) {
	if attempt.Hedge {
		n.meter.Hedged(counterName(request), outcome.Tokens > 0 || outcome.Result == dispatcher.ResultDone)
	}

	if outcome.Result == dispatcher.ResultSuperseded {
		n.meter.Superseded(counterName(request), outcome.DiscardedTokens)
	}
}

// requestEnded counts and logs the end of a request.
func (n *Node) requestEnded(run *requestRun, failure *classifier.Error) {
	request := run.request
	sample := run.sample(failure)

	n.meter.RequestEnded(sample)

	event := n.logger.Info()

	if failure != nil {
		n.meter.Refused(sample.Class, failure.Code)

		event = n.logger.Warn().Str("reason", failure.Reason).Str("ran", string(failure.Ran))
	}

	event.Str("request_id", request.ID).
		Stringer("request_key", request.Key).
		Str("service", request.Service.Name).
		Str("class", request.Class.Name).
		Str("organisation", request.Organisation.Name).
		Int("result_code", int(sample.Code)).
		Str("result", sample.Code.String()).
		Int("tokens", sample.Tokens).
		Dur("first_token_ms", sample.FirstToken).
		Dur("duration_ms", sample.Duration).
		Msg("request_ended")
}

// sample sums a request up for the counters.
func (r *requestRun) sample(failure *classifier.Error) meter.Sample {
	r.mu.Lock()
	defer r.mu.Unlock()

	sample := meter.Sample{
		Class:      counterName(r.request),
		Code:       classifier.OK,
		FirstToken: r.firstToken,
		Duration:   time.Since(r.request.Arrived),
		Target:     r.request.Class.Target,
	}

	if failure != nil {
		sample.Code = failure.Code
		sample.WastedTokens = r.sender.Progress()

		return sample
	}

	sample.Tokens = r.sender.Progress()
	sample.Attained = attainedTime(r.request, sample) <= sample.Target

	return sample
}

// attainedTime is what a request's target is compared with.
func attainedTime(request dispatcher.Request, sample meter.Sample) time.Duration {
	if request.Service.Kind == configurer.KindEngine {
		return sample.FirstToken
	}

	return sample.Duration
}
