package relayer

import (
	"context"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/budgeter"
	"quincepath.example/quincepath/internal/quarantiner"
)

// nextAttempt sends an attempt in place of one whose upstream is silent. The silent one goes on until the other one has something
// for the caller: a sound upstream may go on after a second or so, and what has been sent elsewhere may still be refused or lost.
//
// It implements replacement. The goroutine of the request may only use it once the watchdog has stopped.
type nextAttempt struct {
	relayer *Relayer
	// ctx is that of the request.
	ctx     context.Context
	request *request
	silent  *attempt
	// excluded are the upstreams that must not get the attempt.
	excluded []string

	// found is the attempt that is open; nil if there is none.
	found *attempt
	// fallback is the error response of an attempt, in case that nothing better comes; nil if there is none.
	fallback *bufferedResponse
}

// find implements replacement.
func (n *nextAttempt) find(search context.Context) bool {
	a := n.reserve(search)
	if a == nil {
		return false
	}

	r := n.relayer
	r.options.FailedAttempts.Add("replacement_sent", 1)
	r.options.Meter.Retried(n.request.route.Name, attemptUnknown.String())

	result := r.openResponse(a)
	if a.open && a.unbind() {
		n.found = a

		return true
	}

	if a.open {
		n.abandon(a)

		return false
	}

	if search.Err() == nil {
		r.options.FailedAttempts.Add("replacement_failed", 1)
	}

	n.found = r.end(a, result)
	n.excluded = a.next.excluded

	for _, failed := range []*bufferedResponse{a.next.fallback, a.buffered} {
		if failed != nil {
			n.fallback = failed
		}
	}

	return n.found != nil
}

// reserve returns an attempt for which everything that it needs is reserved, or nil.
func (n *nextAttempt) reserve(search context.Context) *attempt {
	r, request := n.relayer, n.request

	if !n.mayBeSent() {
		return nil
	}

	permit, ok := r.options.RetryBudget.Acquire(search, request.service)
	if !ok {
		r.options.FailedAttempts.Add("silence_without_budget", 1)

		return nil
	}

	id := request.newAttemptID()
	poolRequest, _ := r.poolRequest(request, id, n.excluded)

	choice, ok := r.options.Chooser.Choose(search, request.service, poolRequest)
	if !ok {
		permit.Cancel()
		r.options.FailedAttempts.Add("silence_without_upstream", 1)

		return nil
	}

	if !r.mayUse(request, choice) {
		r.options.FailedAttempts.Add("choice_declined", 1)

		return n.giveBack(id, permit)
	}

	// What the request may do can change in the queue for an upstream.
	if search.Err() != nil || !n.mayBeSent() {
		return n.giveBack(id, permit)
	}

	// A borrowed permit may have expired there.
	if !permit.Usable() {
		permit.Cancel()

		permit, ok = r.options.RetryBudget.Acquire(search, request.service)
		if !ok {
			r.options.FailedAttempts.Add("silence_without_budget", 1)

			return n.giveBack(id, nil)
		}
	}

	if n.isQuarantined() {
		r.options.FailedAttempts.Add("silence_quarantined", 1)

		return n.giveBack(id, permit)
	}

	return n.newAttempt(search, choice, id, permit)
}

// mayBeSent reports whether the request may be sent again while the silent attempt goes on.
func (n *nextAttempt) mayBeSent() bool {
	return n.request.mayBeFollowed() && !n.relayer.mayCrashUpstreams(n.request)
}

// isQuarantined reports whether the request must not be sent again. One that would be a trial now must run at one upstream only.
func (n *nextAttempt) isQuarantined() bool {
	quarantine := n.relayer.options.Quarantine

	verdict, mayRun := quarantine.Check(n.request.traits, quarantiner.Key{})
	if !mayRun {
		return true
	}

	if verdict.Trial == (quarantiner.Key{}) {
		return false
	}

	quarantine.ReturnTrial(verdict.Trial)

	return true
}

// giveBack releases what was reserved for an attempt that isn't sent.
func (n *nextAttempt) giveBack(id string, permit *budgeter.Permit) *attempt {
	permit.Cancel()
	n.relayer.options.Chooser.RecordEnd(id, balancer.Abandoned)

	return nil
}

// newAttempt returns an attempt that ends with the search until it is unbound.
func (n *nextAttempt) newAttempt(search context.Context, choice balancer.Choice, id string, permit *budgeter.Permit) *attempt {
	outer, cancel := context.WithCancel(n.ctx)

	a := n.relayer.newAttempt(n.ctx, outer, n.request, choice, id, n.excluded)
	a.permit, a.replaces, a.usageFrom = permit, true, n.silent.usageFrom
	a.cancel, a.unbind = cancel, context.AfterFunc(search, cancel)

	return a
}

// abandon ends an attempt that is open and not needed.
func (n *nextAttempt) abandon(a *attempt) {
	if n.ctx.Err() == nil {
		n.relayer.options.FailedAttempts.Add("replacement_unneeded", 1)
	}

	a.cancel()
	n.relayer.end(a, attemptDone)
}

// discard implements replacement.
func (n *nextAttempt) discard() {
	if a := n.take(); a != nil {
		n.abandon(a)
	}
}

// take returns the attempt that was found, if there is one, and leaves its end to the caller.
func (n *nextAttempt) take() *attempt {
	a := n.found
	n.found = nil

	return a
}
