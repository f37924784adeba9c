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

// attempt sends the request to the chosen upstream and relays the response.
func (r *Relayer) attempt(ctx context.Context, out *callerResponse, choice balancer.Choice) attemptResult {
	request := out.request
	id := request.attemptID
	outcome := balancer.Abandoned

	defer func() { r.recordEnd(id, request, outcome) }()

	request.sends++

	if request.sends > 1 {
		r.options.Logger.Info().Str("request_id", request.id).Str("route", request.route.Name).Str("service", request.service).
			Str("upstream", choice.Upstream).Int("send", request.sends).Bool("extra", request.possibleArrivals > 0).
			Float64("borrowed", request.retryPermit.Borrowed()).Msg("request_retried")
	}

	r.recordResume(out, choice)

	ctx, watch := newWatchdog(ctx)
	next := &nextAttempt{relayer: r, request: request, excluded: append(slices.Clone(request.excluded), choice.Upstream)}
	watch.replacement = next

	defer func() {
		watch.stop()

		if next.found {
			request.next = next
		}
	}()

	sent := time.Now()
	request.sentAt = sent

	if request.mayBeFollowed() && !r.mayCrashUpstreams(request) {
		timeout := request.attemptTimeout()
		watch.start(timeout, func() bool {
			return request.route.Kind == cataloguer.Idempotent ||
				r.activity.isLost(choice.Upstream, sent, time.Now(), request.poolRequest.Priority, timeout)
		})
	}

	target := dialer.Upstream{ID: choice.Upstream, Address: choice.Address}
	response, err := r.options.Dialer.Exchange(ctx, target, r.upstreamRequest(request, choice))
	request.settleRetryPermit(err)

	if err != nil {
		return r.handleExchangeError(ctx, request, choice, sent, err, &outcome)
	}
	defer response.Close()

	if response.StatusCode == http.StatusMisdirectedRequest {
		outcome = balancer.Replaced
		r.logFailedAttempt(request, choice, "upstream_replaced", nil)

		return attemptNotRun
	}

	r.recordLoad(request, response)
	r.recordAvailability(request, choice, response)
	r.recordRateLimit(request, choice, response)
	r.recordBrittle(request, choice, response)

	if response.Header.Get(r.options.Headers.NotRun) != "" {
		outcome = balancer.Rejected
		r.logFailedAttempt(request, choice, "refused_by_upstream", errors.Newf("status %d", response.StatusCode))

		return attemptNotRun
	}

	r.countRun(request, sent)
	r.recordActivity(choice.Upstream, time.Now())

	return r.deliver(ctx, out, choice, sent, response, watch, &outcome)
}

// recordActivity records that an upstream sent data.
func (r *Relayer) recordActivity(upstream string, now time.Time) {
	r.activity.recordActivity(upstream, now)
	r.options.Quarantine.Alive(upstream)
}

// recordAvailability records whether the upstream's response announces a shutdown or asks for a pause.
func (r *Relayer) recordAvailability(request *request, choice balancer.Choice, response *dialer.Response) {
	now := time.Now()

	if leaving := response.Header.Get(r.options.Headers.Leaving); leaving != "" && leaving != "0" {
		// Other nodes learn of it from the pool's holders; this node must decline any choice of the upstream.
		if r.avoidList.markLeaving(request.service, choice.Upstream, r.bornAt(choice.Upstream)) {
			r.options.Logger.Info().Str("upstream", choice.Upstream).Str("service", request.service).Msg("upstream_leaving")
			r.options.Chooser.MarkLeaving(request.attemptID)
		}
	}

	if rest, ok := forwarder.ParseRetryAfter(response.Response, now); ok {
		r.avoidList.markResting(request.service, choice.Upstream, r.bornAt(choice.Upstream), now.Add(rest))
		r.options.Chooser.MarkResting(request.attemptID, rest)
		r.options.Logger.Info().Str("upstream", choice.Upstream).Str("service", request.service).Dur("rest_ms", rest).Msg("upstream_resting")
	}
}

// bornAt returns the listed start time of the upstream in Unix milliseconds, or 0 if it isn't known.
func (r *Relayer) bornAt(upstream string) int64 {
	listed, _ := r.options.Catalog.State().Registry.Upstreams.Get(upstream)

	return listed.Born
}

// handleExchangeError classifies an exchange that got no response.
func (r *Relayer) handleExchangeError(ctx context.Context, request *request, choice balancer.Choice, sent time.Time, err error, outcome *balancer.Outcome) attemptResult {
	if errors.Is(err, dialer.ErrNotSent) {
		// A connection limit of this node says nothing about the upstream, nor does a path that leads to none.
		if ctx.Err() == nil && !errors.Is(err, dialer.ErrTooManyConnections) && !errors.Is(err, dialer.ErrPathLost) {
			*outcome = balancer.Unreachable
			r.options.Quarantine.Unreachable(choice.Upstream)
		}

		r.logFailedAttempt(request, choice, "not_sent", err)

		return attemptNotSent
	}

	r.countRun(request, sent)
	r.recordInterruption(ctx, request, choice, outcome, false)
	r.logFailedAttempt(request, choice, "no_answer", causeOf(ctx, err))

	return attemptUnknown
}

// countRun counts an attempt that may have run. The organisation's usage counts each request once, with its start time:
// a stream starts running with its first event, which is being sent when the response starts; any other request when it
// is sent.
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

// recordInterruption records an exchange that failed while the upstream may have been running the request, unless the
// upstream is not at fault.
func (r *Relayer) recordInterruption(ctx context.Context, request *request, choice balancer.Choice, outcome *balancer.Outcome, responseStarted bool) {
	if !isUpstreamFault(ctx) {
		return
	}

	if errors.Is(context.Cause(ctx), errAttemptTimeout) {
		request.silences++
	}

	*outcome = balancer.Failed
	request.brokeAt = append(request.brokeAt, time.Now())
	request.interruption = &interruption{
		run:    request.run(choice, responseStarted),
		target: dialer.Upstream{ID: choice.Upstream, Address: choice.Address},
	}
}

// reportedLoad returns the load that the upstream reports in its response, or nil if it reports none that can be read.
func (r *Relayer) reportedLoad(response *dialer.Response) *balancer.Load {
	text := response.Header.Get(r.options.Headers.Load)
	if text == "" {
		return nil
	}

	load, result := parseLoad(text)
	if result != loadRead {
		r.options.FailedAttempts.Add(result, 1)
	}

	return load
}

// recordLoad records the load that the upstream reports in a response other than a stream, whose load is recorded with its
// first event.
func (r *Relayer) recordLoad(request *request, response *dialer.Response) {
	if isEventStream(request, response) {
		return
	}

	if load := r.reportedLoad(response); load != nil {
		r.options.Chooser.RecordLoad(request.attemptID, *load)
	}
}

const (
	// maxReportedRequests is the largest number of requests or slots that a server can report, maxWorkTime the longest time that
	// work can take, in percent of the usual time. Larger figures are errors.
	maxReportedRequests = 1 << 16
	maxWorkTime         = 10_000
	// maxLoadFigures is the number of figures in the header.
	maxLoadFigures = 4
)

// The results of parseLoad are the names of the counters, except loadRead.
const (
	loadRead       = ""
	loadUnreadable = "load_unreadable"
	// loadFigureInvalid means that the requests could be read, but not the slots or how long work takes.
	loadFigureInvalid = "load_figure_invalid"
)

// parseLoad parses the load that an upstream reports, separated by commas: the requests that run and that wait there, its
// slots, and how long work takes in percent of the usual time. The last two may be missing. If one of them is invalid, or more
// figures follow, neither is used. The load is nil if the requests can't be read.
func parseLoad(text string) (load *balancer.Load, result string) {
	// One more than allowed is enough to tell that there are too many.
	figures := strings.SplitN(text, ",", maxLoadFigures+1)

	running, waiting := parseFigure(figures, 0), parseFigure(figures, 1)
	if running < 0 || waiting < 0 {
		return nil, loadUnreadable
	}

	load = &balancer.Load{Running: running, Waiting: waiting}

	switch len(figures) {
	case 2:
		return load, loadRead
	case 3, maxLoadFigures:
	default:
		return load, loadFigureInvalid
	}

	slots, workTime := parseFigure(figures, 2), 0.0
	if slots < 1 {
		return load, loadFigureInvalid
	}

	if len(figures) == maxLoadFigures {
		var err error

		workTime, err = strconv.ParseFloat(strings.TrimSpace(figures[3]), 64)
		if err != nil || !(workTime > 0 && workTime <= maxWorkTime) { // Also true for NaN.
			return load, loadFigureInvalid
		}
	}

	load.Slots, load.WorkTime = slots, workTime

	return load, loadRead
}

// parseFigure returns the figure with the given index, or -1 if it is no valid count.
func parseFigure(figures []string, i int) int {
	if i >= len(figures) {
		return -1
	}

	count, err := strconv.Atoi(strings.TrimSpace(figures[i]))
	if err != nil || count < 0 || count > maxReportedRequests {
		return -1
	}

	return count
}

// isUpstreamFault reports whether a failed attempt is the upstream's fault: a caller that disconnected or
// whose deadline has passed says nothing about the upstream.
func isUpstreamFault(ctx context.Context) bool {
	return ctx.Err() == nil || errors.Is(context.Cause(ctx), errAttemptTimeout)
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
func (r *Relayer) upstreamRequest(request *request, choice balancer.Choice) *dialer.Request {
	names := &r.options.Headers
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

	if request.lastEventID != "" {
		header[names.LastEventID] = []string{request.lastEventID}
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

func (r *Relayer) logFailedAttempt(request *request, choice balancer.Choice, result string, err error) {
	r.options.FailedAttempts.Add(result, 1)
	r.options.Logger.Info().
		Str("request_id", request.id).
		Stringer("request_key", request.traits.Content).
		Strs("prompt_parts", loggedPartIDs(request.traits.Parts)).
		Str("route", request.route.Name).
		Str("upstream", choice.Upstream).
		Str("software_version", r.softwareVersion(choice.Upstream)).
		Str("last_event", request.lastEventID).
		Int("send", request.sends).
		Int("runs", request.runs).
		Dur("age_ms", time.Since(request.arrived)).
		Dur("caller_wait_ms", request.callerWait).
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
