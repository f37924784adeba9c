package limiter

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/pkg/classifier"
)

// MethodReport is the name of the only message between limiters.
const MethodReport = "limit.report"

// Caller sends a message to a node and waits for its answer.
type Caller interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

type reportParams struct {
	Demands []Demand `json:"demands"`
}

type reportResult struct {
	Shares []Share `json:"shares"`
}

// HandleReport answers MethodReport from another node.
func (o *Owner) HandleReport(_ context.Context, from string, params json.RawMessage) (any, error) {
	var report reportParams

	if err := json.Unmarshal(params, &report); err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidRequest, "a limit report can't be read")
	}

	return reportResult{Shares: o.reportAll(from, report.Demands)}, nil
}

func (o *Owner) reportAll(from string, demands []Demand) []Share {
	now := time.Now()
	shares := make([]Share, 0, len(demands))

	for _, demand := range demands {
		if share, ok := o.Report(now, from, demand); ok {
			shares = append(shares, share)
		}
	}

	return shares
}

// Exchange sends all due reports and applies the answers. It is to be called
// every quarter of Options.Period; each call ends within that time, so that one
// silent owner doesn't delay the others. The error is for the log: the limiter
// itself allows for owners that don't answer.
func (l *Limiter) Exchange(ctx context.Context, caller Caller, local *Owner) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.Period/roundsPerPeriod)
	defer cancel()

	var (
		group    sync.WaitGroup
		mu       sync.Mutex
		failures error
	)

	for owner, demands := range l.Reports(time.Now()) {
		if owner == l.self {
			l.Apply(time.Now(), local.reportAll(l.self, demands))

			continue
		}

		group.Go(func() {
			var result reportResult

			err := caller.Call(ctx, owner, MethodReport, reportParams{Demands: demands}, &result)
			if err == nil {
				l.Apply(time.Now(), result.Shares)

				return
			}

			mu.Lock()
			defer mu.Unlock()

			failures = errors.CombineErrors(failures, errors.Wrapf(err, "report limits to %s", owner))
		})
	}

	group.Wait()

	return failures
}
