package gateway

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/gateway/budgeter"
)

const (
	// markRunningInterval is the time between two calls of MarkRunning, by which the budget detects stalls.
	markRunningInterval = 250 * time.Millisecond
	// budgetLogInterval is the minimum time between two log lines about a service's retry budget.
	budgetLogInterval = time.Second
)

// watchRetryBudgets calls MarkRunning and logs the retry budgets that were used, until ctx is cancelled.
func (n *Node) watchRetryBudgets(ctx context.Context) {
	ticker := time.NewTicker(markRunningInterval)
	defer ticker.Stop()

	loggedAt := time.Now()
	lastDraws := make(map[string]int64)

	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		n.budget.MarkRunning()

		if now := time.Now(); now.Sub(loggedAt) >= budgetLogInterval {
			loggedAt = now
			n.logRetryBudgets(lastDraws)
		}
	}
}

// logRetryBudgets logs the retry budget of each service that was used since it was last logged. lastDraws maps services
// to their number of draws at that time.
func (n *Node) logRetryBudgets(lastDraws map[string]int64) {
	for _, u := range n.budget.Usage() {
		draws := u.ExtraAttempts + u.Refused + u.Unused
		if draws == lastDraws[u.Service] {
			continue
		}

		lastDraws[u.Service] = draws
		n.logRetryBudget(u)
	}
}

func (n *Node) logRetryBudget(u budgeter.Usage) {
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
