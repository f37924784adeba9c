package scheduler

import (
	"time"

	"quincepath.example/quincepath/pkg/classifier"
)

// Stats are the counters of a pool since it was made.
type Stats struct {
	// Queued is the number of requests that wait now, by class.
	Queued map[string]int
	// InFlight is the number of granted slots, by server.
	InFlight map[string]int
	// Limit is the learned number of requests at once, by server.
	Limit map[string]int
	// Granted counts by class, Refused by code.
	Granted map[string]int
	Refused map[classifier.Code]int
	// Cancelled counts requests that their entry took back or that ended with it.
	Cancelled int
	// Preempted counts slots taken back for tier 1.
	Preempted int
	// Oversubscribed counts grants above a learned limit that engine priority allowed.
	Oversubscribed int
	// TokensLost counts tokens that an engine has to read again because of preemption.
	TokensLost int
	// Reclaimed counts grants freed because their entry didn't know them.
	Reclaimed int
	// SlotTime is the time that slots were in use, by server; divided by time
	// and limit it is the server's busy share.
	SlotTime map[string]time.Duration
	// LongestWait is the longest time in the queue until a grant, by class.
	LongestWait map[string]time.Duration
}
