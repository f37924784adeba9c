package gateway

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/gateway/budgeter"
)

const (
	// beatInterval is the time between two signs to the budget that the process runs.
	beatInterval = 250 * time.Millisecond
	// retriesInterval is the time between two lines of a service's retry budget.
	retriesInterval = time.Second
)

// watchRetries tells the budget that the process runs, and logs the budget of each service that was drawn on, until ctx ends.
func (n *Node) watchRetries(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()

	logged := time.Now()
	drawn := make(map[string]int64)

	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		n.budget.MarkRunning()

		if now := time.Now(); now.Sub(logged) >= retriesInterval {
			logged = now
			n.logRetries(drawn)
		}
	}
}

// logRetries logs the budget of each service that was drawn on since its last line.
func (n *Node) logRetries(drawn map[string]int64) {
	for _, u := range n.budget.Usage() {
		draws := u.ExtraAttempts + u.Refused + u.Unused
		if draws == drawn[u.Service] {
			continue
		}

		drawn[u.Service] = draws
		n.logUsage(u)
	}
}

func (n *Node) logUsage(u budgeter.Usage) {
	n.logger.Info().
		Str("service", u.Service).
		Int64("firsts", u.Requests).
		Int64("extras", u.ExtraAttempts).
		Int64("refused", u.Refused).
		Int64("unused", u.Unused).
		Float64("borrowed", u.Borrowed).
		Float64("lent", u.Lent).
		Float64("window_firsts", u.WindowRequests).
		Float64("window_extras", u.WindowExtraAttempts).
		Float64("bound", u.Bound).
		Float64("left", u.Remaining).
		Float64("part", u.Share).
		Msg("retry_budget")
}
