package balancer

import "time"

// runningRequest is a request that was sent to a server.
type runningRequest struct {
	request Request
	// server is where the request runs.
	server *server
	sentAt time.Time
	// expiresAt is when the request ends even if that is not reported, as its node may have stopped.
	expiresAt time.Time
	// prefillTokens is the number of prompt tokens that the server had to read for the request.
	prefillTokens float64
	// work is the work of the request, in prompt tokens; 0 unless Options.WorkAdmission is set.
	work float64
	// generatedTokens is the number of tokens that a complete stream had; 0 before its end.
	generatedTokens int
	// backlogAhead is the prompt backlog at the server when the request was sent, in tokens.
	backlogAhead float64
	// prefilledAtFirst is the number of all sent prompt tokens that the server had read when the first event arrived.
	prefilledAtFirst float64
	// expectedMS is the predicted time to the first event, at the slowdown of that moment.
	expectedMS float64
	slowdown   float64
	// overtaken counts later requests of the same or a less urgent priority that were answered first.
	overtaken int
	// answering is set once the first event arrived.
	answering bool
	// ended is set once the request no longer runs.
	ended bool
	// sensitivity is how much prefill on the same engine disturbs the stream, from 0 to 1.
	sensitivity float64
	// firstAt is when the first event arrived.
	firstAt time.Time
	// peakBacklog is the largest prompt backlog at the server during the stream, in tokens.
	peakBacklog float64
}

// overdueMS returns how much longer than expected the request has waited for its first event; negative if it is in time.
func (r *runningRequest) overdueMS(now time.Time) float64 {
	return milliseconds(now.Sub(r.sentAt)) - overdueFactor*r.expectedMS - overdueSlackMS
}
