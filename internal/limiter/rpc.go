package limiter

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// MethodReport is the name of the message from a node to an owner of limits.
	MethodReport = "limit.report"
	// MethodRequestReports is the name of that by which an owner asks for reports.
	MethodRequestReports = "limit.ask"
)

// Caller sends a message to a node and waits for its answer.
type Caller interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

type reportParams struct {
	Incarnation uint64   `json:"incarnation"`
	Known       int      `json:"known"`
	Demands     []Demand `json:"demands"`
}

// reportResult has a share for each demand, in the same order.
type reportResult struct {
	Shares []LeaseReply `json:"shares"`
}

type askParams struct {
	Keys []Key `json:"keys"`
}

type askResult struct{}

// HandleReport answers MethodReport from another node.
func (o *Owner) HandleReport(_ context.Context, from string, params json.RawMessage) (any, error) {
	var report reportParams

	if err := json.Unmarshal(params, &report); err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidRequest, "a limit report can't be read")
	}

	for i := range report.Demands {
		report.Demands[i].Incarnation = report.Incarnation
		report.Demands[i].KnownNodes = report.Known
	}

	return reportResult{Shares: o.reportAll(from, report.Demands)}, nil
}

func (o *Owner) reportAll(from string, demands []Demand) []LeaseReply {
	now := time.Now()
	shares := make([]LeaseReply, 0, len(demands))

	for _, demand := range demands {
		share, _ := o.Report(now, from, demand)
		shares = append(shares, share)
	}

	return shares
}

// HandleReportRequest answers MethodAsk from an owner of limits.
func (l *Limiter) HandleReportRequest(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ask askParams

	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidRequest, "a question about limits can't be read")
	}

	l.RequestReports(time.Now(), ask.Keys)

	return askResult{}, nil
}

// applyAll takes the shares that answer the demands.
func (l *Limiter) applyAll(demands []Demand, shares []LeaseReply) {
	shares = shares[:min(len(shares), len(demands))]

	for i := range shares {
		shares[i].Key = demands[i].Key
	}

	l.Apply(time.Now(), shares)
}

// Exchange asks for the reports that the local owner needs, sends those that are
// due and applies the answers. It is to be called every quarter of Options.ReportPeriod;
// each call ends within that time, so that one silent owner doesn't delay the
// others. The error is for the log: the limiter itself allows for owners that
// don't answer.
func (l *Limiter) Exchange(ctx context.Context, caller Caller, local *Owner) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.ReportPeriod/roundsPerPeriod)
	defer cancel()

	var (
		group    sync.WaitGroup
		mu       sync.Mutex
		failures error
	)

	call := func(peer, method string, params, result any) bool {
		err := caller.Call(ctx, peer, method, params, result)
		if err == nil {
			return true
		}

		mu.Lock()
		defer mu.Unlock()

		failures = errors.CombineErrors(failures, errors.Wrapf(err, "%s to %s", method, peer))

		return false
	}

	for node, keys := range local.ReportRequests(time.Now()) {
		if node == l.self {
			l.RequestReports(time.Now(), keys)

			continue
		}

		group.Go(func() { call(node, MethodRequestReports, askParams{Keys: keys}, &askResult{}) })
	}

	for owner, demands := range l.DueReports(time.Now()) {
		if owner == l.self {
			l.applyAll(demands, local.reportAll(l.self, demands))

			continue
		}

		group.Go(func() {
			var result reportResult

			params := reportParams{Incarnation: demands[0].Incarnation, Known: demands[0].KnownNodes, Demands: demands}
			if call(owner, MethodReport, params, &result) {
				l.applyAll(demands, result.Shares)
			}
		})
	}

	group.Wait()

	return failures
}
