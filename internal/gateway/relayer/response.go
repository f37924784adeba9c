package relayer

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/cataloguer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/pkg/classifier"
)

// maxBufferedBytes is the size from which a response body is streamed. A smaller one is read completely before any of
// it is sent, so that an interrupted response can be retried or reported as a failure.
const maxBufferedBytes = 256 << 10

const eventStreamMediaType = "text/event-stream"

// callerResponse is the response to the caller.
type callerResponse struct {
	writer  http.ResponseWriter
	request *request
	// headerSent is true once the header has been sent.
	headerSent bool
	// buffered is the last complete response of an upstream. An upstream's error response is kept in case no later
	// attempt succeeds.
	buffered *bufferedResponse
	stats    requestStats
}

type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// deliver relays the upstream's response to the caller.
func (r *Relayer) deliver(ctx context.Context, a *callerResponse, choice balancer.Choice, sent time.Time, response *dialer.Response, watch *watchdog, outcome *balancer.Outcome) attemptResult {
	if !r.isAuthentic(a.request, response) {
		*outcome = balancer.Failed
		r.logFailedAttempt(a.request, choice, "answer_not_authentic", nil)

		return attemptUnknown
	}

	if isEventStream(a.request, response) {
		return r.deliverEvents(ctx, a, choice, sent, response, watch, outcome)
	}

	if a.headerSent {
		// A started stream can't be continued with another kind of response.
		*outcome = balancer.Failed
		r.logFailedAttempt(a.request, choice, "resume_refused", errors.Newf("status %d", response.StatusCode))

		return attemptUnknown
	}

	return r.deliverBuffered(ctx, a, choice, response, outcome)
}

// isAuthentic reports whether the response was made by the upstream for this request.
func (r *Relayer) isAuthentic(request *request, response *dialer.Response) bool {
	names := &r.options.Headers

	if request.id != "" && response.Header.Get(names.RequestID) != request.id {
		return false
	}

	return response.StatusCode >= http.StatusMultipleChoices || response.Header.Get(names.Signature) != ""
}

func isEventStream(request *request, response *dialer.Response) bool {
	if request.route.Kind != cataloguer.Stream || response.StatusCode != http.StatusOK {
		return false
	}

	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))

	return err == nil && media == eventStreamMediaType
}

// deliverBuffered reads the complete body before sending the response, unless the body is too long.
func (r *Relayer) deliverBuffered(ctx context.Context, a *callerResponse, choice balancer.Choice, response *dialer.Response, outcome *balancer.Outcome) attemptResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err == nil && len(body) == maxBufferedBytes {
		return r.deliverUnbuffered(ctx, a, choice, response, body, outcome)
	}

	if err != nil {
		r.recordInterruption(ctx, a.request, choice, outcome, len(body) > 0)
		r.logFailedAttempt(a.request, choice, "answer_broken", causeOf(ctx, err))

		return attemptUnknown
	}

	buffered := &bufferedResponse{status: response.StatusCode, header: endToEndHeader(response.Header), body: body}

	if response.StatusCode >= http.StatusInternalServerError {
		*outcome = balancer.Failed
		a.buffered = buffered
		// The request failed without crashing the upstream.
		r.options.Quarantine.Answered(a.request.key)
		r.logFailedAttempt(a.request, choice, "failed_by_upstream", errors.Newf("status %d", response.StatusCode))

		return attemptUnknown
	}

	*outcome = balancer.Served
	a.buffered = buffered
	a.writeBuffered()
	r.recordSuccess(a, choice)

	return attemptDone
}

// deliverUnbuffered relays a response whose body is too long to be buffered. head is the part that was already read.
func (r *Relayer) deliverUnbuffered(ctx context.Context, a *callerResponse, choice balancer.Choice, response *dialer.Response, head []byte, outcome *balancer.Outcome) attemptResult {
	a.sendHeader(response.StatusCode, endToEndHeader(response.Header), response.ContentLength)

	_, err := a.writer.Write(head)
	if err == nil {
		_, err = io.Copy(a.writer, response.Body)
	}

	if err != nil {
		r.recordInterruption(ctx, a.request, choice, outcome, true)
		a.stats.code = classifier.StreamBroken
		r.logFailedAttempt(a.request, choice, "answer_broken", err)
		panic(http.ErrAbortHandler)
	}

	*outcome = balancer.Served
	r.recordSuccess(a, choice)

	return attemptDone
}

// sendHeader sends the response header; a negative length means that no Content-Length is added.
func (a *callerResponse) sendHeader(status int, header http.Header, length int64) {
	target := a.writer.Header()
	for name, values := range header {
		target[name] = values
	}

	if length >= 0 {
		target.Set("Content-Length", strconv.FormatInt(length, 10))
	}

	a.headerSent = true
	a.stats.timeToFirstByte = time.Since(a.request.arrived)
	a.writer.WriteHeader(status)
}

// writeBuffered sends the buffered response.
func (a *callerResponse) writeBuffered() {
	length := int64(len(a.buffered.body))
	if a.request.method == http.MethodHead || a.buffered.status == http.StatusNoContent || a.buffered.status == http.StatusNotModified {
		length = -1
	}

	a.sendHeader(a.buffered.status, a.buffered.header, length)
	// A failed write means that the caller disconnected; the connection closes when the handler returns.
	_, _ = a.writer.Write(a.buffered.body)
}

// endToEndHeader returns a copy of the header without hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	header = header.Clone()
	removeHopByHop(header)

	return header
}

// recordSuccess records a complete response.
func (r *Relayer) recordSuccess(a *callerResponse, choice balancer.Choice) {
	a.stats.code = classifier.OK
	r.options.Quarantine.Answered(a.request.key)
	r.options.Logger.Debug().Str("request_id", a.request.id).Str("upstream", choice.Upstream).Msg("request_served")
}
