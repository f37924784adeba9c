package server

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/administrator"
	"quincepath.example/quincepath/internal/configurer"
	"quincepath.example/quincepath/internal/meter"
	"quincepath.example/quincepath/pkg/classifier"
)

// methodRequestStatus asks another node for what it knows of a request.
const methodRequestStatus = "request.status"

// requestStatusParams are the parameters of methodRequestStatus.
type requestStatusParams struct {
	RequestID string `json:"request_id"`
}

// listenOperators answers operators until the node has drained.
func (n *Node) listenOperators(ctx context.Context) error {
	if n.settings.Node.AdminListen == "" {
		return nil
	}

	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", n.settings.Node.AdminListen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}

	server, err := administrator.New(administrator.Options{
		KeyHashes: n.settings.Operators.KeyHashes,
		Status:    n,
		Tree:      n.operatorTree(),
		Requests:  n,
		Variables: meter.Handler(n.meter, n.parts()),
		Logger:    n.logger,
		TLS:       n.serverTLS(),
	})
	if err != nil {
		return err
	}

	go func() {
		if err := server.Run(n.work, listener); err != nil {
			n.logger.Error().Err(err).Msg("operator_listener_failed")
		}
	}()

	return nil
}

// parts are the counters of the node beside those of requests.
func (n *Node) parts() map[string]meter.CounterFunc {
	parts := map[string]meter.CounterFunc{
		"ejections":   func() any { return n.ejector.Counts() },
		"limits":      func() any { return n.limits.local.RefusalCounts() },
		"membership":  func() any { return n.members.prober.Counters() },
		"messages":    func() any { return n.messages.Traffic() },
		"quarantine":  func() any { return n.quarantine.Counters() },
		"rate_limits": func() any { return n.rateLimits.Table().Counters() },
		"retries":     func() any { return n.retrier.Counts() },
		"tree":        func() any { return n.distributor.Counters() },
	}

	if n.claims != nil {
		parts["claims"] = func() any { return n.claims.Stats() }
	}

	if n.heartbeats != nil {
		parts["heartbeats"] = func() any { return n.heartbeats.Counters() }
	}

	if n.router != nil {
		parts["slots"] = func() any { return n.router.Report() }
	}

	return parts
}

func (n *Node) operatorTree() administrator.Tree {
	if n.editor == nil {
		return administrator.NewFixedTree(n.tree)
	}

	return administrator.NewStoredTree(n.editor, n.tree)
}

func (n *Node) serverTLS() *tls.Config {
	if n.certificates == nil {
		return nil
	}

	return n.certificates.ServerConfig()
}

// NodeStatus implements administrator.Status.
func (n *Node) NodeStatus() administrator.NodeStatus {
	return administrator.NodeStatus{
		Node:          n.settings.Node.Name,
		Region:        n.settings.Node.Region,
		FailureDomain: n.settings.Node.FailureDomain,
		StartedAt:     n.started,
		Revision:      n.tree.Snapshot().Revision,
		Leaving:       n.drain.ShouldCloseConnections(),
		Peers:         n.peerStatuses(),
		InFlight:      n.runs.count(),
		MaxInFlight:   n.settings.Node.MaxInFlight,
	}
}

// UpstreamStatuses implements administrator.Status.
func (n *Node) UpstreamStatuses() []administrator.UpstreamStatus {
	var statuses []administrator.UpstreamStatus

	for _, service := range n.tree.Snapshot().Services {
		for _, upstream := range service.Upstreams {
			statuses = append(statuses, n.upstreamStatus(service, upstream))
		}
	}

	slices.SortFunc(statuses, func(a, b administrator.UpstreamStatus) int {
		return strings.Compare(a.Service+"/"+a.Upstream, b.Service+"/"+b.Upstream)
	})

	return statuses
}

func (n *Node) upstreamStatus(service configurer.Service, upstream configurer.Upstream) administrator.UpstreamStatus {
	row := n.upstreams.row(upstream.Address)
	status := administrator.UpstreamStatus{
		Service:       service.Name,
		Upstream:      upstream.Name,
		Address:       upstream.Address,
		FailureDomain: upstream.FailureDomain,
		State:         "serving",
		InFlight:      row.inFlight,
		ReportedLoad:  row.load,
		ReportAge:     -1,
	}

	if !row.reportedAt.IsZero() {
		status.ReportAge = time.Since(row.reportedAt).Seconds()
	}

	switch {
	case upstream.Leaving:
		status.State = "leaving"
	case row.failedPolls >= unreachablePolls:
		status.State = "unreachable"
	}

	return status
}

// Request implements administrator.Requests: it asks the node that the id names.
func (n *Node) Request(ctx context.Context, id string) (administrator.RequestStatus, error) {
	owner, _, ok := requestOwner(id)
	if !ok {
		return administrator.RequestStatus{}, classifier.New(classifier.UnknownRequest, "%q is not a request id", id)
	}

	if owner == n.identity.node {
		return n.ownRequest(id)
	}

	var status administrator.RequestStatus

	err := n.messages.Call(ctx, owner, methodRequestStatus, requestStatusParams{RequestID: id}, &status)

	return status, err
}

func (n *Node) ownRequest(id string) (administrator.RequestStatus, error) {
	run, ok := n.runs.find(id)
	if !ok {
		return administrator.RequestStatus{}, classifier.New(classifier.UnknownRequest, "node %q no longer holds the request", n.identity.node)
	}

	return run.status(), nil
}

// handleRequestStatus answers another node's question about a request of this one.
func (n *Node) handleRequestStatus(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var asked requestStatusParams
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, errors.Wrap(err, "decode parameters")
	}

	return n.ownRequest(asked.RequestID)
}
