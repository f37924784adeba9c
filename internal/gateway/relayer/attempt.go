package relayer

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/forwarder"
	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/dialer"
)

// verdict is what is known after one attempt.
type verdict int

const (
	// done attempts were answered, or their caller is gone.
	done verdict = iota
	// unsent requests never left this node.
	unsent
	// notRun requests were refused by the upstream.
	notRun
	// unsure requests may have run.
	unsure
)

// String returns the snake-case name of the verdict.
func (v verdict) String() string {
	switch v {
	case done:
		return "done"
	case unsent:
		return "unsent"
	case notRun:
		return "not_run"
	default:
		return "unsure"
	}
}

// attempt sends the request to one upstream.
func (r *Relayer) attempt(ctx context.Context, a *answer, choice balancer.Choice) verdict {
	request := a.request
	id := request.workID()
	outcome := balancer.Abandoned

	defer func() { r.options.Chooser.RecordEnd(id, outcome) }()

	request.sends++

	if request.sends > 1 {
		r.options.Logger.Info().Str("request_id", request.id).Str("route", request.route.Name).Str("service", request.service).
			Str("upstream", choice.Upstream).Int("send", request.sends).Bool("extra", request.arrivals > 0).
			Float64("borrowed", request.extra.Borrowed()).Msg("request_retried")
	}

	ctx, watch := newWatch(ctx)
	defer watch.stop()

	sent := time.Now()

	if request.route.Repeatable() {
		timeout := request.attemptTimeout()
		watch.arm(timeout, func() bool {
			return request.route.Kind == cataloguer.Idempotent ||
				r.vitals.lost(choice.Upstream, sent, time.Now(), request.work.Priority, timeout)
		})
	}

	target := dialer.Upstream{ID: choice.Upstream, Address: choice.Address}
	response, err := r.options.Dialer.Exchange(ctx, target, r.outgoing(request, choice))
	request.settleExtra(err)

	if err != nil {
		return r.failed(ctx, request, choice, sent, err, &outcome)
	}
	defer response.Close()

	if response.StatusCode == http.StatusMisdirectedRequest {
		outcome = balancer.Replaced
		r.logAttempt(request, choice, "upstream_replaced", nil)

		return notRun
	}

	r.heed(request, choice, response)

	if response.Header.Get(r.options.Headers.NotRun) != "" {
		outcome = balancer.Rejected
		r.logAttempt(request, choice, "refused_by_upstream", errors.Newf("status %d", response.StatusCode))

		return notRun
	}

	r.countRun(request, sent)
	r.vitals.seen(choice.Upstream, time.Now())

	return r.deliver(ctx, a, choice, sent, response, watch, &outcome)
}

// heed notes what the upstream's answer says of its wish for requests.
func (r *Relayer) heed(request *request, choice balancer.Choice, response *dialer.Response) {
	now := time.Now()

	if leaving := response.Header.Get(r.options.Headers.Leaving); leaving != "" && leaving != "0" {
		// The others learn it from those that decide; this node may not send there by anyone's decision.
		if r.avoider.leave(request.service, choice.Upstream, r.bornAt(choice.Upstream)) {
			r.options.Logger.Info().Str("upstream", choice.Upstream).Str("service", request.service).Msg("upstream_leaving")
			r.options.Chooser.MarkLeaving(request.workID())
		}
	}

	if rest, ok := forwarder.RestOf(response.Response, now); ok {
		r.avoider.rest(request.service, choice.Upstream, r.bornAt(choice.Upstream), now.Add(rest))
		r.options.Logger.Info().Str("upstream", choice.Upstream).Str("service", request.service).Dur("rest_ms", rest).Msg("upstream_resting")
	}
}

// bornAt is when the upstream was started, as it is listed; 0 if that isn't known.
func (r *Relayer) bornAt(upstream string) int64 {
	listed := r.options.Catalog.State().Registry.Upstreams

	i := slices.IndexFunc(listed, func(u cataloguer.Upstream) bool { return u.ID == upstream })
	if i < 0 {
		return 0
	}

	return listed[i].Born
}

// failed judges an exchange without an answer.
func (r *Relayer) failed(ctx context.Context, request *request, choice balancer.Choice, sent time.Time, err error, outcome *balancer.Outcome) verdict {
	if errors.Is(err, dialer.ErrNotSent) {
		// That this node has no connection left says nothing of the upstream.
		if ctx.Err() == nil && !errors.Is(err, dialer.ErrTooManyConnections) {
			*outcome = balancer.Unreachable
		}

		r.logAttempt(request, choice, "not_sent", err)

		return unsent
	}

	r.countRun(request, sent)
	r.judgeBreak(ctx, request, choice, outcome, false)
	r.logAttempt(request, choice, "no_answer", causeOf(ctx, err))

	return unsure
}

// countRun counts an attempt that may have run; an organisation's usage counts each request once. A stream begins to run with
// its first event, which is on its way when the answer begins; anything else when it is sent.
func (r *Relayer) countRun(request *request, sent time.Time) {
	request.runs++

	switch {
	case request.runs > 1:
	case request.route.Kind == cataloguer.Stream:
		r.options.Usage.Count(request.organisation, 0)
	default:
		r.options.Usage.Count(request.organisation, time.Since(sent))
	}
}

// judgeBreak judges an exchange that broke while the upstream may have run the request.
func (r *Relayer) judgeBreak(ctx context.Context, request *request, choice balancer.Choice, outcome *balancer.Outcome, answering bool) {
	if !blamesUpstream(ctx) {
		return
	}

	*outcome = balancer.Failed
	r.options.Quarantine.Broke(request.key, choice.Upstream, choice.Address, answering)
}

// load returns the load that an upstream told in its answer, nil if it told none.
func (r *Relayer) load(response *dialer.Response) *balancer.Load {
	running, rest, found := strings.Cut(response.Header.Get(r.options.Headers.Load), ",")
	if !found {
		return nil
	}

	waiting, _, _ := strings.Cut(rest, ",")

	return &balancer.Load{Running: number(running), Waiting: number(waiting)}
}

// blamesUpstream says whether an attempt that failed is the upstream's fault: a caller that left or
// whose time is over says nothing of it.
func blamesUpstream(ctx context.Context) bool {
	return ctx.Err() == nil || errors.Is(context.Cause(ctx), errSilent)
}

// causeOf tells why an attempt ended: a cancelled context shows on the connection as a mere timeout.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}

	return err
}

// outgoing returns the request as this upstream gets it.
func (r *Relayer) outgoing(request *request, choice balancer.Choice) *dialer.Request {
	names := &r.options.Headers
	header := request.header.Clone()

	header[names.ExpectUpstream] = []string{choice.Upstream}
	left := max(time.Until(request.limit).Milliseconds(), 1)
	header[names.Deadline] = []string{strconv.FormatInt(left, 10)}

	if request.organisation != "" {
		header[names.Organisation] = []string{request.organisation}
	}

	if request.work.PromptTokens > 0 {
		header[names.Priority] = []string{strconv.Itoa(request.rank)}
	}

	if request.lastEvent != "" {
		header[names.LastEventID] = []string{request.lastEvent}
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

func (r *Relayer) logAttempt(request *request, choice balancer.Choice, result string, err error) {
	r.options.FailedAttempts.Add(result, 1)
	r.options.Logger.Info().
		Str("request_id", request.id).
		Stringer("request_key", request.key).
		Str("route", request.route.Name).
		Str("upstream", choice.Upstream).
		Int("send", request.sends).
		Int("runs", request.runs).
		Dur("age_ms", time.Since(request.arrived)).
		Str("result", result).
		AnErr("reason", err).
		Msg("attempt_failed")
}
