package relayer

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/budgeter"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/internal/quarantiner"
)

// attemptResult is what is known about the request after an attempt.
type attemptResult int

const (
	// attemptDone means that the caller got the response or is gone.
	attemptDone attemptResult = iota
	// attemptNotSent means that the request never left this node.
	attemptNotSent
	// attemptNotRun means that the upstream refused the request without running it.
	attemptNotRun
	// attemptUnknown means that the upstream may have run the request.
	attemptUnknown
)

// String returns the name that is used as the reason of a retry in the metrics.
func (v attemptResult) String() string {
	switch v {
	case attemptDone:
		return "done"
	case attemptNotSent:
		return "unsent"
	case attemptNotRun:
		return "not_run"
	default:
		return "unsure"
	}
}

// attempt is one exchange of a request with an upstream. Until it is open, or has ended, it belongs to the goroutine that opens
// it, then to that of the request.
type attempt struct {
	request *request
	// id identifies the attempt among those of all nodes.
	id     string
	choice balancer.Choice
	// permit covers the attempt in the retry budget; nil if none is needed.
	permit *budgeter.Permit
	// replaces is true if the attempt was sent while another one was silent.
	replaces bool
	// usageFrom is when the request began to run if this attempt is the first that is known to have run it.
	usageFrom time.Time
	// ctx ends the exchange. outer is its parent, which also ends if the attempt isn't needed any more.
	ctx, outer context.Context
	// cancel ends outer. unbind makes that independent of the search in which the attempt was sent, and returns false if the search
	// had ended before. Both are nil unless replaces is set.
	cancel context.CancelFunc
	unbind func() bool
	watch  *watchdog
	// next is the search for the attempt that takes the place of this one if it is silent.
	next *nextAttempt

	// sentAt is when the attempt was sent, pausedBefore for how long the process had stood still until then.
	sentAt       time.Time
	pausedBefore time.Duration
	// heardAt is when its upstream last sent something for the request.
	heardAt time.Time
	// lastEventID is the ID of the last event that the caller has, or had when the attempt was sent; started is true if the caller
	// has events of the stream.
	lastEventID string
	started     bool

	// open is true once the response has begun with something for the caller: the first event, the end of a stream that the caller
	// has whole, or a body.
	open     bool
	response *dialer.Response
	// events reads a stream; nil for other responses. firstEvent is nil if the stream ended before it.
	events     *eventReader
	firstEvent []byte
	gaps       gapTracker
	survival   survivalTimer
	// buffered is a body, or the beginning of one that is too long to be buffered; memory is what it takes.
	buffered *bufferedResponse
	tooLong  bool
	memory   memoryReservation

	outcome balancer.Outcome
	// interruption is set by an attempt that broke off; nil otherwise.
	interruption *interruption
}

// newAttempt returns an attempt that is about to be sent to the chosen upstream. outer ends it; ctx is the request's, which also
// covers the attempts that follow.
func (r *Relayer) newAttempt(ctx, outer context.Context, request *request, choice balancer.Choice, id string, excluded []string) *attempt {
	a := &attempt{request: request, id: id, choice: choice, outer: outer, outcome: balancer.Abandoned, memory: r.newMemoryReservation()}
	a.ctx, a.watch = newWatchdog(outer)
	a.next = &nextAttempt{relayer: r, ctx: ctx, request: request, silent: a, excluded: append(slices.Clone(excluded), choice.Upstream)}
	a.watch.replacement, a.watch.paused = a.next, r.options.Paused

	return a
}

// run sends an attempt, unless that was done, and relays the response. If it returns another result than attemptDone, request.next
// is the attempt that was sent in its place, if there is one.
func (r *Relayer) run(out *callerResponse, a *attempt) (result attemptResult) {
	defer func() {
		next := r.end(a, result)
		if result == attemptDone {
			return
		}

		out.request.next, out.request.excluded = next, a.next.excluded

		if a.next.fallback != nil {
			out.buffered = a.next.fallback
		}

		if a.buffered != nil {
			out.buffered = a.buffered
		}
	}()

	if a.open {
		r.options.FailedAttempts.Add("replacement_took_over", 1)
	} else if result := r.openResponse(a); !a.open {
		return result
	}

	return r.deliver(out, a)
}

// end ends an attempt, and records that. It returns the attempt that was sent in its place and is open, unless the result is
// attemptDone: that one is ended too then.
func (r *Relayer) end(a *attempt, result attemptResult) *attempt {
	if a.response != nil {
		a.response.Close()
	}

	a.memory.release()

	if a.events != nil {
		a.events.memory.release()
	}

	if result == attemptDone {
		a.watch.stop()
		a.next.discard()
	}

	a.watch.cancel(nil)
	r.recordEnd(a)

	// An attempt that is under way in place of this one is not given up with it.
	a.watch.join()

	if a.cancel != nil {
		a.cancel()
	}

	return a.next.take()
}

// openResponse sends the request and reads until there is something for the caller. If it returns without opening the attempt, the
// result says what is known about the request.
func (r *Relayer) openResponse(a *attempt) attemptResult {
	request := a.request
	r.recordSend(a)

	// Whether another attempt is left is known only when it is needed: one that is under way may be refused.
	if request.route.Repeatable() {
		r.startWatchdog(a)
	}

	target := dialer.Upstream{ID: a.choice.Upstream, Address: a.choice.Address}
	response, err := r.options.Dialer.Exchange(a.ctx, target, r.upstreamRequest(a))
	request.progress.settle(a.permit, err)

	if err != nil {
		return r.handleExchangeError(a, err)
	}

	a.response = response

	if response.StatusCode == http.StatusMisdirectedRequest {
		request.progress.recordNotRun()
		a.outcome = balancer.Replaced
		r.logFailedAttempt(a, "upstream_replaced", nil)

		return attemptNotRun
	}

	r.recordLoad(a)
	r.recordAvailability(a)
	r.recordRateLimit(a)
	r.recordBrittle(a)

	if response.Header.Get(r.options.Headers.NotRun) != "" {
		request.progress.recordNotRun()
		a.outcome = balancer.Rejected
		r.logFailedAttempt(a, "refused_by_upstream", errors.Newf("status %d", response.StatusCode))

		return attemptNotRun
	}

	r.countRun(a)
	a.heardAt = time.Now()
	r.recordActivity(a.choice.Upstream, a.heardAt)

	return r.openBody(a)
}

// recordSend counts and logs that an attempt is being sent.
func (r *Relayer) recordSend(a *attempt) {
	request := a.request
	counts := request.progress.beginSend()
	a.lastEventID, a.started = counts.lastEventID, counts.started

	if counts.sends > 1 {
		r.options.Logger.Info().Str("request_id", request.id).Str("route", request.route.Name).Str("service", request.service).
			Str("upstream", a.choice.Upstream).Int("send", counts.sends).Bool("extra", a.permit != nil || counts.possibleArrivals > 0).
			Float64("borrowed", a.permit.Borrowed()).Bool("silent", a.replaces).Msg("request_retried")
	}

	r.recordResume(a, counts.sends)

	a.pausedBefore = a.watch.pausedInAll()
	a.sentAt = time.Now()
	a.heardAt = a.sentAt

	if a.usageFrom.IsZero() {
		a.usageFrom = a.sentAt
	}
}

// startWatchdog makes another attempt replace this one if its upstream is silent.
func (r *Relayer) startWatchdog(a *attempt) {
	request, upstream, sent := a.request, a.choice.Upstream, a.sentAt
	timeout := request.attemptTimeout()

	a.watch.start(timeout, a.pausedBefore, func(paused time.Duration) bool {
		return request.route.Kind == cataloguer.Idempotent ||
			r.activity.isLost(upstream, sent, time.Now().Add(-paused), request.poolRequest.Priority, timeout)
	})
}

// handleExchangeError classifies an exchange that got no response.
func (r *Relayer) handleExchangeError(a *attempt, err error) attemptResult {
	if errors.Is(err, dialer.ErrNotSent) {
		// A connection limit of this node says nothing about the upstream, nor does a path that leads to none.
		if a.ctx.Err() == nil && !errors.Is(err, dialer.ErrTooManyConnections) && !errors.Is(err, dialer.ErrPathLost) {
			a.outcome = balancer.Unreachable
			r.options.Quarantine.Unreachable(a.choice.Upstream)
		}

		a.request.progress.recordNotRun()
		r.logFailedAttempt(a, "not_sent", err)

		return attemptNotSent
	}

	r.countRun(a)
	r.recordInterruption(a, false)
	r.logFailedAttempt(a, "no_answer", causeOf(a.ctx, err))

	return attemptUnknown
}

// countRun counts an attempt that may have run. The organisation's usage counts each request once, with its start time:
// a stream starts running with its first event, which is being sent when the response starts; any other request when it
// is sent.
func (r *Relayer) countRun(a *attempt) {
	request := a.request

	switch runs := request.progress.recordRun(); {
	case runs > 1:
	case request.route.Kind == cataloguer.Stream:
		r.options.Usage.Count(request.organisation, 0)
	default:
		r.options.Usage.Count(request.organisation, time.Since(a.usageFrom))
	}
}

// isUpstreamFault reports whether a failed attempt is the upstream's fault: a caller that disconnected or
// whose deadline has passed says nothing about the upstream.
func isUpstreamFault(ctx context.Context) bool {
	return ctx.Err() == nil || errors.Is(context.Cause(ctx), errAttemptTimeout)
}

// run describes the attempt to the quarantine.
func (a *attempt) run(answering bool) quarantiner.Run {
	return quarantiner.Run{
		Traits: a.request.traits, Service: a.request.service, Upstream: a.choice.Upstream, Address: a.choice.Address, SentAt: a.sentAt,
		Answering: answering,
	}
}

// pausedSinceSent returns for how long the process has stood still since the attempt was sent.
func (a *attempt) pausedSinceSent() time.Duration {
	return a.watch.pausedInAll() - a.pausedBefore
}

// isUnneeded reports whether the attempt was ended because the silent one that it was to replace went on.
func (a *attempt) isUnneeded() bool {
	return a.replaces && a.outer.Err() != nil && a.next.ctx.Err() == nil
}

// causeOf returns why an attempt failed. The context's cause takes precedence, as the connection reports a cancelled
// context only as a timeout.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}

	return err
}

// upstreamRequest returns the request with the headers for the chosen upstream.
func (r *Relayer) upstreamRequest(a *attempt) *dialer.Request {
	names := &r.options.Headers
	request, choice := a.request, a.choice
	header := request.header.Clone()

	header[names.ExpectUpstream] = []string{choice.Upstream}
	left := max(time.Until(request.deadline).Milliseconds(), 1)
	header[names.Deadline] = []string{strconv.FormatInt(left, 10)}

	if request.organisation != "" {
		header[names.Organisation] = []string{request.organisation}
	}

	if request.poolRequest.PromptTokens > 0 {
		header[names.Priority] = []string{strconv.Itoa(request.engineRank)}
	}

	if a.lastEventID != "" {
		header[names.LastEventID] = []string{a.lastEventID}
	}

	return &dialer.Request{
		Method:   request.method,
		Host:     request.host,
		URI:      request.uri,
		Header:   header,
		Body:     request.body,
		IDHeader: names.RequestID,
		ID:       request.id,
	}
}

func (r *Relayer) logFailedAttempt(a *attempt, result string, err error) {
	request, choice, counts := a.request, a.choice, a.request.progress.read()

	if a.isUnneeded() {
		result = "replacement_unneeded"
	}

	r.options.FailedAttempts.Add(result, 1)
	r.options.Logger.Info().
		Str("request_id", request.id).
		Stringer("request_key", request.traits.Content).
		Strs("prompt_parts", loggedPartIDs(request.traits.Parts)).
		Str("route", request.route.Name).
		Str("upstream", choice.Upstream).
		Str("software_version", r.softwareVersion(choice.Upstream)).
		Str("last_event", a.lastEventID).
		Int("send", counts.sends).
		Int("runs", counts.runs).
		Dur("age_ms", time.Since(request.arrived)).
		Dur("caller_wait_ms", counts.callerWait).
		Str("result", result).
		AnErr("reason", err).
		Msg("attempt_failed")
}

// maxLoggedParts limits the prompt parts in a log line: callers choose their number.
const maxLoggedParts = 8

// loggedPartIDs returns the IDs of the first of the prompt parts.
func loggedPartIDs(parts []quarantiner.Part) []string {
	var ids []string

	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}

	return ids
}
