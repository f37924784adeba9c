package relayer

import (
	"bytes"
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

// openBody reads the response until there is something for the caller.
func (r *Relayer) openBody(a *attempt) attemptResult {
	if !r.isAuthentic(a.request, a.response) {
		a.outcome = balancer.Failed
		r.logFailedAttempt(a, "answer_not_authentic", nil)

		return attemptUnknown
	}

	if isEventStream(a.request, a.response) {
		return r.openEvents(a)
	}

	if a.started {
		// A started stream can't be continued with another kind of response.
		a.outcome = balancer.Failed
		r.logFailedAttempt(a, "resume_refused", errors.Newf("status %d", a.response.StatusCode))

		return attemptUnknown
	}

	return r.openBuffered(a)
}

// deliver relays the response of an open attempt to the caller.
func (r *Relayer) deliver(out *callerResponse, a *attempt) attemptResult {
	switch {
	case a.events != nil:
		return r.deliverEvents(out, a)
	case a.tooLong:
		return r.deliverUnbuffered(out, a)
	default:
		a.outcome = balancer.Served
		out.buffered = a.buffered
		out.writeBuffered()
		r.recordSuccess(out, a)

		return attemptDone
	}
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

// openBuffered reads the complete body, unless it is too long. A response that says that the upstream failed doesn't open the
// attempt.
func (r *Relayer) openBuffered(a *attempt) attemptResult {
	body, err := readBuffered(a.response.Body, &a.memory)
	// A started answer can't be repeated, so its upstream has until the request's deadline.
	a.tooLong = errors.Is(err, errTooLongToBuffer) && a.watch.disarm()

	if err != nil && !a.tooLong {
		r.recordInterruption(a, len(body) > 0)
		r.logFailedAttempt(a, "answer_broken", causeOf(a.ctx, err))

		return attemptUnknown
	}

	a.buffered = &bufferedResponse{status: a.response.StatusCode, header: endToEndHeader(a.response.Header), body: body}

	// A replacement that failed must not end the silent attempt, also if its response is too long to be kept for later.
	if a.buffered.status >= http.StatusInternalServerError && (!a.tooLong || a.replaces) {
		a.outcome = balancer.Failed
		// The request failed without crashing the upstream.
		r.options.Quarantine.Failed(a.request.traits)
		r.logFailedAttempt(a, "failed_by_upstream", errors.Newf("status %d", a.buffered.status))

		if a.tooLong {
			a.buffered, a.tooLong = nil, false
		}

		return attemptUnknown
	}

	a.open = true
	// The rest is up to the caller, who may read slowly.
	_ = a.watch.suspend()

	return attemptDone
}

// deliverUnbuffered relays a response whose body is too long to be buffered.
func (r *Relayer) deliverUnbuffered(out *callerResponse, a *attempt) attemptResult {
	out.sendHeader(a.buffered.status, a.buffered.header, a.response.ContentLength)

	_, err := out.writer.Write(a.buffered.body)
	if err == nil {
		_, err = io.Copy(out.writer, a.response.Body)
	}

	if err != nil {
		r.recordInterruption(a, true)
		out.stats.code = classifier.StreamBroken
		r.logFailedAttempt(a, "answer_broken", err)
		panic(http.ErrAbortHandler)
	}

	a.outcome = balancer.Served
	r.recordSuccess(out, a)

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
	c.request.progress.recordStart()
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
func (r *Relayer) recordSuccess(out *callerResponse, a *attempt) {
	out.stats.code = classifier.OK
	response := a.response

	switch {
	case response.StatusCode >= http.StatusMultipleChoices:
		r.options.Quarantine.Failed(out.request.traits)
	case a.endsWithConnection():
		r.options.Quarantine.AnsweredUntilClose(a.run(true))
	default:
		r.options.Quarantine.Answered(out.request.traits, out.request.service)
	}

	r.options.Logger.Debug().Str("request_id", out.request.id).Str("upstream", a.choice.Upstream).Msg("request_served")
}

// endsWithConnection reports whether the response has neither a length nor chunks, so that a crash looks like its end.
func (a *attempt) endsWithConnection() bool {
	return a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0
}
