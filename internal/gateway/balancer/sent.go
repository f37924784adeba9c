package balancer

import "time"

// sent is one request at a server.
type sent struct {
	work Request
	// server is where it runs.
	server *server
	at     time.Time
	// until is when the request is over even if nobody says so: its node may be gone.
	until time.Time
	// reading is the prompt work that the server still had to do for it, in tokens.
	reading float64
	// ahead is the prompt work that waited at the server when it came.
	ahead float64
	// readBefore is the prompt work that the server had read when the first event came, of all that it was given.
	readBefore float64
	// expected is the predicted time to the first event in milliseconds, at the speed of that moment.
	expected float64
	speed    float64
	// overtaken counts requests of no higher rank that were sent later and answered before.
	overtaken int
	// answering says that the first event came.
	answering bool
	// sensitivity is how much its stream suffers from prompts read beside it, 0 to 1.
	sensitivity float64
}

// overdue is how much longer than expected the request has waited for its first event, in milliseconds; negative before.
func (r *sent) overdue(now time.Time) float64 {
	return milliseconds(now.Sub(r.at)) - overdueFactor*r.expected - overdueSlack
}
