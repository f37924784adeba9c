package server

import (
	"context"
	"time"

	"quincepath.example/quincepath/internal/dispatcher"
	"quincepath.example/quincepath/internal/limiter"
	"quincepath.example/quincepath/internal/sleeper"
	"quincepath.example/quincepath/pkg/classifier"
)

// limitInterval is how often due reports on limits are sent; a quarter of the limiter's period.
const limitInterval = 250 * time.Millisecond

// leaseRounds is for how many of these rounds a request waits for the node's lease
// of a limit: one period, after which a refused caller would come back.
const leaseRounds = 4

// limits holds organisations to their limits, as this node's part of the fleet.
type limits struct {
	local *limiter.Limiter
	owner *limiter.Owner
}

func newLimits(tree *settingsHolder, id *identity) *limits {
	source := limiter.SnapshotFunc(tree.Snapshot)

	return &limits{
		local: limiter.New(limiter.Options{}, source, id.node, id.seed()),
		owner: limiter.NewOwner(time.Now(), limiter.Options{}, source, id.node),
	}
}

// setNodes tells both sides which nodes live; known also counts those that may come back.
func (l *limits) setNodes(live []string, known int) {
	now := time.Now()

	l.local.SetNodes(now, live, known)
	l.owner.SetNodes(now, live, known)
}

// awaitLease returns when the node has a lease for the request, when none is to be had, or when the caller leaves.
func (l *limits) awaitLease(caller context.Context, request dispatcher.Request) {
	for range leaseRounds {
		awaits := l.local.ShouldWaitForLease(time.Now(), request.Service.Name, request.Organisation.Name, request.Class.Name)
		if !awaits || !sleeper.Sleep(caller, limitInterval) {
			return
		}
	}
}

// admit returns nil, or why the organisation may not send the request now.
func (l *limits) admit(request dispatcher.Request) *classifier.Error {
	refusal, ok := l.local.Admit(time.Now(), request.Service.Name, request.Organisation.Name, request.Class.Name)
	if ok {
		return nil
	}

	if refusal.ByClass {
		return classifier.New(refusal.Code, "organisation %q has reached its limit of class %q", request.Organisation.Name, request.Class.Name).After(refusal.RetryAfter)
	}

	return classifier.New(refusal.Code, "organisation %q has reached its limit", request.Organisation.Name).After(refusal.RetryAfter)
}

func (l *limits) done(request dispatcher.Request, tokens int) {
	l.local.Done(time.Now(), request.Service.Name, request.Organisation.Name, request.Class.Name, tokens)
}

// exchangeLimits reports demands to the owners of limits until ctx ends.
func (n *Node) exchangeLimits(ctx context.Context) {
	ticker := time.NewTicker(limitInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}

		n.limits.owner.Sweep(time.Now())
		n.limits.setNodes(n.members.Live(), n.members.known())

		if err := n.limits.local.Exchange(ctx, n.messages, n.limits.owner); err != nil {
			n.logger.Debug().Err(err).Msg("limit_report_failed")
		}
	}
}
