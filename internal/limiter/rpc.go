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
	// MethodReport is the method by which a node reports its demand to an owner of
	// limits.
	MethodReport = "limit.report"
	// MethodRequestReports is the method by which an owner requests reports from a
	// node.
	MethodRequestReports = "limit.ask"
)

// Caller sends a message to a node and waits for its reply.
type Caller interface {
	Call(ctx context.Context, peer, method string, params, result any) error
}

type reportParams struct {
	Incarnation uint64   `json:"incarnation"`
	Known       int      `json:"known"`
	Demands     []Demand `json:"demands"`
}

// reportResult contains a reply to each demand, in the same order.
type reportResult struct {
	Replies []LeaseReply `json:"shares"`
}

type requestReportsParams struct {
	Keys []Key `json:"keys"`
}

type requestReportsResult struct{}

// HandleReport handles MethodReport.
func (o *Owner) HandleReport(_ context.Context, from string, params json.RawMessage) (any, error) {
	var report reportParams

	if err := json.Unmarshal(params, &report); err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidRequest, "a limit report can't be read")
	}

	for i := range report.Demands {
		report.Demands[i].Incarnation = report.Incarnation
		report.Demands[i].KnownNodes = report.Known
	}

	return reportResult{Replies: o.reportAll(from, report.Demands)}, nil
}

func (o *Owner) reportAll(from string, demands []Demand) []LeaseReply {
	now := time.Now()
	replies := make([]LeaseReply, 0, len(demands))

	for _, demand := range demands {
		reply, _ := o.Report(now, from, demand)
		replies = append(replies, reply)
	}

	return replies
}

// HandleReportRequest handles MethodRequestReports.
func (l *Limiter) HandleReportRequest(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var request requestReportsParams

	if err := json.Unmarshal(params, &request); err != nil {
		return nil, classifier.Wrap(err, classifier.InvalidRequest, "a question about limits can't be read")
	}

	l.RequestReports(time.Now(), request.Keys)

	return requestReportsResult{}, nil
}

// applyAll applies the replies to the demands.
func (l *Limiter) applyAll(demands []Demand, replies []LeaseReply) {
	replies = replies[:min(len(replies), len(demands))]

	for i := range replies {
		replies[i].Key = demands[i].Key
	}

	l.Apply(time.Now(), replies)
}

// Exchange requests the reports that the local owner needs, sends those that are due
// and applies the replies. It should be called every quarter of Options.ReportPeriod.
// Each call returns within that time, so that an unresponsive owner doesn't delay the
// others. The error is meant for logging only, since the limiter handles owners that
// don't respond.
func (l *Limiter) Exchange(ctx context.Context, caller Caller, local *Owner) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.ReportPeriod/exchangesPerPeriod)
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

		failures = errors.CombineErrors(failures, errors.Wrapf(err, "send %s to node %s", method, peer))

		return false
	}

	for node, keys := range local.ReportRequests(time.Now()) {
		if node == l.self {
			l.RequestReports(time.Now(), keys)

			continue
		}

		group.Go(func() { call(node, MethodRequestReports, requestReportsParams{Keys: keys}, &requestReportsResult{}) })
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
				l.applyAll(demands, result.Replies)
			}
		})
	}

	group.Wait()

	return failures
}
