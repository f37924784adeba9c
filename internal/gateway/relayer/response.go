package relayer

import (
	"bytes"
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
	// events holds the events of a stream that the caller has not taken yet; nil before the first one.
	events *eventQueue
	stats  requestStats
}

// finish waits until the caller has taken all events.
func (c *callerResponse) finish() {
	if c.events != nil {
		c.events.close()
	}
}

type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// deliver relays the upstream's response to the caller.
func (r *Relayer) deliver(ctx context.Context, out *callerResponse, choice balancer.Choice, sent time.Time, response *dialer.Response, watch *watchdog, outcome *balancer.Outcome) attemptResult {
	if !r.isAuthentic(out.request, response) {
		*outcome = balancer.Failed
		r.logFailedAttempt(out.request, choice, "answer_not_authentic", nil)

		return attemptUnknown
	}

	if isEventStream(out.request, response) {
		return r.deliverEvents(ctx, out, choice, sent, response, watch, outcome)
	}

	if out.headerSent {
		// A started stream can't be continued with another kind of response.
		*outcome = balancer.Failed
		r.logFailedAttempt(out.request, choice, "resume_refused", errors.Newf("status %d", response.StatusCode))

		return attemptUnknown
	}

	return r.deliverBuffered(ctx, out, choice, response, watch, outcome)
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

// errTooLongToBuffer says that a response body is longer than maxBufferedBytes, or than the memory that is left.
var errTooLongToBuffer = errors.New("response body is too long to be buffered")

// readBuffered returns a response body, or its beginning with errTooLongToBuffer.
func readBuffered(reader io.Reader, memory *memoryReservation) ([]byte, error) {
	body := make([]byte, 0, bytes.MinRead)

	for {
		if len(body) == cap(body) {
			next := min(cap(body)+max(cap(body)/2, bytes.MinRead), maxBufferedBytes)
			if next == cap(body) || !memory.growTo(int64(next)) {
				return body, errTooLongToBuffer
			}

			body = append(make([]byte, 0, next), body...)
		}

		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]

		if errors.Is(err, io.EOF) {
			return body, nil
		}

		if err != nil {
			return body, err
		}
	}
}

// deliverBuffered reads the complete body before sending the response, unless the body is too long.
func (r *Relayer) deliverBuffered(ctx context.Context, out *callerResponse, choice balancer.Choice, response *dialer.Response, watch *watchdog, outcome *balancer.Outcome) attemptResult {
	memory := r.newMemoryReservation()
	defer memory.release()

	body, err := readBuffered(response.Body, &memory)
	long := errors.Is(err, errTooLongToBuffer)

	// A started answer can't be repeated, so its upstream has until the request's deadline.
	if long && watch.disarm() {
		return r.deliverUnbuffered(ctx, out, choice, response, body, outcome)
	}

	if err != nil {
		r.recordInterruption(ctx, out.request, choice, outcome, len(body) > 0)
		r.logFailedAttempt(out.request, choice, "answer_broken", causeOf(ctx, err))

		return attemptUnknown
	}

	buffered := &bufferedResponse{status: response.StatusCode, header: endToEndHeader(response.Header), body: body}

	if response.StatusCode >= http.StatusInternalServerError {
		*outcome = balancer.Failed
		out.buffered = buffered
		// The request failed without crashing the upstream.
		r.options.Quarantine.Failed(out.request.traits)
		r.logFailedAttempt(out.request, choice, "failed_by_upstream", errors.Newf("status %d", response.StatusCode))

		return attemptUnknown
	}

	*outcome = balancer.Served
	out.buffered = buffered
	out.writeBuffered()
	r.recordSuccess(out, choice, response)

	return attemptDone
}

// deliverUnbuffered relays a response whose body is too long to be buffered. head is the part that was already read.
func (r *Relayer) deliverUnbuffered(ctx context.Context, out *callerResponse, choice balancer.Choice, response *dialer.Response, head []byte, outcome *balancer.Outcome) attemptResult {
	out.sendHeader(response.StatusCode, endToEndHeader(response.Header), response.ContentLength)

	_, err := out.writer.Write(head)
	if err == nil {
		_, err = io.Copy(out.writer, response.Body)
	}

	if err != nil {
		r.recordInterruption(ctx, out.request, choice, outcome, true)
		out.stats.code = classifier.StreamBroken
		r.logFailedAttempt(out.request, choice, "answer_broken", err)
		panic(http.ErrAbortHandler)
	}

	*outcome = balancer.Served
	r.recordSuccess(out, choice, response)

	return attemptDone
}

// sendHeader sends the response header; a negative length means that no Content-Length is added.
func (c *callerResponse) sendHeader(status int, header http.Header, length int64) {
	target := c.writer.Header()
	for name, values := range header {
		target[name] = values
	}

	if length >= 0 {
		target.Set("Content-Length", strconv.FormatInt(length, 10))
	}

	c.headerSent = true
	c.stats.timeToFirstByte = time.Since(c.request.arrived)
	c.writer.WriteHeader(status)
}

// writeBuffered sends the buffered response.
func (c *callerResponse) writeBuffered() {
	length := int64(len(c.buffered.body))
	if c.request.method == http.MethodHead || c.buffered.status == http.StatusNoContent || c.buffered.status == http.StatusNotModified {
		length = -1
	}

	c.sendHeader(c.buffered.status, c.buffered.header, length)
	// A failed write means that the caller disconnected; the connection closes when the handler returns.
	_, _ = c.writer.Write(c.buffered.body)
}

// endToEndHeader returns a copy of the header without hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	header = header.Clone()
	removeHopByHop(header)

	return header
}

// recordSuccess records a complete response.
func (r *Relayer) recordSuccess(out *callerResponse, choice balancer.Choice, response *dialer.Response) {
	out.stats.code = classifier.OK

	switch {
	case response.StatusCode >= http.StatusMultipleChoices:
		r.options.Quarantine.Failed(out.request.traits)
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0:
		r.options.Quarantine.AnsweredUntilClose(out.request.run(choice, true))
	default:
		r.options.Quarantine.Answered(out.request.traits, out.request.service)
	}

	r.options.Logger.Debug().Str("request_id", out.request.id).Str("upstream", choice.Upstream).Msg("request_served")
}
