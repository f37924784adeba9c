package relayer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/quarantiner"
)

// maxSoundSilence is how long a sound upstream may be silent.
const maxSoundSilence = 2 * time.Second

// interruption is an exchange that failed while the upstream may have been running the request.
type interruption struct {
	run    quarantiner.Run
	target dialer.Upstream
	// overtaken is set if the attempt was only given up since another one was faster than the end of the upstream's silence, which
	// has lasted from silentSince for less than maxSoundSilence. remaining is the rest of that time.
	overtaken   bool
	silentSince time.Time
	remaining   time.Duration
	// born is the listed start of the upstream in Unix milliseconds; 0 if it isn't known.
	born int64
}

// recordInterruption records an exchange that failed while the upstream may have been running the request, unless the
// upstream is not at fault.
func (r *Relayer) recordInterruption(a *attempt, responseStarted bool) {
	if !isUpstreamFault(a.ctx) {
		return
	}

	a.interruption = &interruption{
		run:    a.run(responseStarted),
		target: dialer.Upstream{ID: a.choice.Upstream, Address: a.choice.Address},
	}

	a.outcome = balancer.Failed

	if errors.Is(context.Cause(a.ctx), errAttemptTimeout) {
		a.outcome = balancer.Silent
		a.request.progress.recordSilence()

		if r.isOvertaken(a, a.interruption) {
			return
		}
	}

	a.request.progress.recordBreak(time.Now())
}

// isOvertaken reports whether the upstream of an attempt that is given up for its silence may still be sound.
func (r *Relayer) isOvertaken(a *attempt, broken *interruption) bool {
	now := time.Now()
	broken.silentSince = r.activity.recordSilence(a.choice.Upstream, a.heardAt, now)
	broken.remaining = maxSoundSilence - now.Sub(broken.silentSince) + a.pausedSinceSent()
	broken.overtaken = broken.remaining > 0
	broken.born = r.bornAt(a.choice.Upstream)

	return broken.overtaken
}

// recordEnd records the outcome of an attempt.
func (r *Relayer) recordEnd(a *attempt) {
	switch {
	case a.interruption == nil:
		r.options.Chooser.RecordEnd(a.id, a.outcome)
	case r.options.Dialer.Detour == nil:
		r.judge(context.Background(), a.id, a.outcome, a.interruption)
	default:
		// The request's next attempt doesn't wait for the check, which has a time limit of its own.
		go r.judge(context.Background(), a.id, a.outcome, a.interruption)
	}
}

// judgeLater tells the quarantine of an attempt that was overtaken, unless its upstream sends something within maxSoundSilence. A
// request that crashes whole machines would otherwise leave no trace. The quarantine checks whether the upstream is gone.
func (r *Relayer) judgeLater(broken *interruption) {
	time.AfterFunc(broken.remaining, func() {
		if !r.isStillListed(broken) || !r.activity.isSilent(broken.target.ID, broken.silentSince) {
			return
		}

		if !r.options.Dialer.IsPathLost(context.Background(), broken.target) {
			r.options.Quarantine.Broke(broken.run)
		}
	})
}

// isStillListed reports whether the upstream is listed as it was when the exchange ended. One that has left by plan since then can't be
// told from one that crashed.
func (r *Relayer) isStillListed(broken *interruption) bool {
	listed, ok := r.options.Catalog.State().Registry.Upstreams.Get(broken.target.ID)

	return ok && !listed.Draining && listed.Born == broken.born && listed.Address == broken.target.Address
}

// judge records the interruption of an attempt with its outcome, unless only this node's path to the upstream is at fault.
func (r *Relayer) judge(ctx context.Context, id string, outcome balancer.Outcome, broken *interruption) {
	if r.options.Dialer.IsPathLost(ctx, broken.target) {
		r.options.FailedAttempts.Add("path_lost", 1)
		r.options.Chooser.RecordEnd(id, balancer.Abandoned)

		return
	}

	switch {
	case broken.overtaken:
		r.judgeLater(broken)
	case outcome == balancer.Silent && !r.isStillListed(broken):
	default:
		r.options.Quarantine.Broke(broken.run)
	}

	r.options.Chooser.RecordEnd(id, outcome)
}
