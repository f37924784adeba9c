package relayer

import (
	"context"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/quarantiner"
)

// interruption is an exchange that failed while the upstream may have been running the request.
type interruption struct {
	run    quarantiner.Run
	target dialer.Upstream
}

// recordEnd records the outcome of the request's current attempt.
func (r *Relayer) recordEnd(id string, request *request, outcome balancer.Outcome) {
	broken := request.interruption
	request.interruption = nil

	switch {
	case broken == nil:
		r.options.Chooser.RecordEnd(id, outcome)
	case r.options.Dialer.Detour == nil:
		r.judge(context.Background(), id, broken)
	default:
		// The request's next attempt doesn't wait for the check, which has a time limit of its own.
		go r.judge(context.Background(), id, broken)
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
