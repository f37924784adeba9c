package balancer

import "time"

// runningRequest is one request at a server.
type runningRequest struct {
	request Request
	// server is where it runs.
	server *server
	sentAt time.Time
	// expiresAt is when the request is over even if nobody says so: its node may be gone.
	expiresAt time.Time
	// prefillTokens is the prompt work that the server still had to do for it, in tokens.
	prefillTokens float64
	// backlogAhead is the prompt work that waited at the server when it came.
	backlogAhead float64
	// prefilledAtFirst is the prompt work that the server had read when the first event came, of all that it was given.
	prefilledAtFirst float64
	// expectedMS is the predicted time to the first event in milliseconds, at the speed of that moment.
	expectedMS float64
	slowdown   float64
	// overtaken counts requests of no higher rank that were sent later and answered before.
	overtaken int
	// answering says that the first event came.
	answering bool
	// sensitivity is how much its stream suffers from prompts read beside it, 0 to 1.
	sensitivity float64
}

// overdueMS is how much longer than expected the request has waited for its first event, in milliseconds; negative before.
func (r *runningRequest) overdueMS(now time.Time) float64 {
	return milliseconds(now.Sub(r.sentAt)) - overdueFactor*r.expectedMS - overdueSlackMS
}
