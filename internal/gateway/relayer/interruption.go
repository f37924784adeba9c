package relayer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/quarantiner"
)

// interruption is an exchange that failed while the upstream may have been running the request.
type interruption struct {
	run    quarantiner.Run
	target dialer.Upstream
}

// recordInterruption records an exchange that failed while the upstream may have been running the request, unless the
// upstream is not at fault.
func (r *Relayer) recordInterruption(a *attempt, responseStarted bool) {
	if !isUpstreamFault(a.ctx) {
		return
	}

	if errors.Is(context.Cause(a.ctx), errAttemptTimeout) {
		a.request.progress.recordSilence()
	}

	a.request.progress.recordBreak(time.Now())
	a.outcome = balancer.Failed
	a.interruption = &interruption{
		run:    a.run(responseStarted),
		target: dialer.Upstream{ID: a.choice.Upstream, Address: a.choice.Address},
	}
}

// recordEnd records the outcome of an attempt.
func (r *Relayer) recordEnd(a *attempt) {
	switch {
	case a.interruption == nil:
		r.options.Chooser.RecordEnd(a.id, a.outcome)
	case r.options.Dialer.Detour == nil:
		r.judge(context.Background(), a.id, a.interruption)
	default:
		// The request's next attempt doesn't wait for the check, which has a time limit of its own.
		go r.judge(context.Background(), a.id, a.interruption)
	}
}

// judge records the interruption of an attempt as the upstream's failure, unless only this node's path to the upstream is at fault.
func (r *Relayer) judge(ctx context.Context, id string, broken *interruption) {
	if r.options.Dialer.IsPathLost(ctx, broken.target) {
		r.options.FailedAttempts.Add("path_lost", 1)
		r.options.Chooser.RecordEnd(id, balancer.Abandoned)

		return
	}

	r.options.Quarantine.Broke(broken.run)
	r.options.Chooser.RecordEnd(id, balancer.Failed)
}
