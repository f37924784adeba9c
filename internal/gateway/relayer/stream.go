package relayer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/balancer"
	"quincepath.example/quincepath/internal/gateway/dialer"
	"quincepath.example/quincepath/pkg/classifier"
)

const (
	// maxEventBytes is the maximum size of an event; a longer one is treated as malformed.
	maxEventBytes = 1 << 20
	// freeEventBytes are those of an incomplete event that take no shared memory.
	freeEventBytes = 4 << 10
)

var (
	errTruncatedEvent = errors.New("stream ended in the middle of an event")
	errEventMemory    = errors.New("an incomplete event found no memory")
	errEventTooLong   = errors.New("event is too long")
	errEventOrder     = errors.New("event is missing or out of order")
)

// deliverEvents relays a stream event by event, so that a caller never receives
// a partial event and the stream can be resumed at another upstream after the last complete one.
func (r *Relayer) deliverEvents(ctx context.Context, out *callerResponse, choice balancer.Choice, sent time.Time, response *dialer.Response, watch *watchdog, outcome *balancer.Outcome) attemptResult {
	request := out.request
	reader := &eventReader{reader: bufio.NewReaderSize(response.Body, 2<<10), memory: r.newMemoryReservation()}
	defer reader.memory.release()

	first := true
	gaps := &gapTracker{}

	survival := &survivalTimer{}

	for {
		event, err := reader.next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				r.options.Chooser.RecordGaps(request.attemptID, gaps.eventGaps())
			}

			return r.finishStream(ctx, out, choice, response, err, !first, outcome)
		}

		now := time.Now()
		gaps.record(now)

		if first {
			first = false
			survival.start(now)
			r.options.Chooser.RecordFirstEvent(request.attemptID, r.reportedLoad(response))
			r.activity.recordResponse(choice.Upstream, sent, now, request.poolRequest.Priority)
		}

		if survival.expires(now) {
			r.options.Quarantine.Survived(request.traits, request.service)
		}

		r.recordActivity(choice.Upstream, now)
		watch.reset()

		id := eventID(event)
		if !isAfter(request.lastEventID, id) {
			if out.headerSent && isDuplicate(request.lastEventID, id) {
				continue
			}

			return r.finishStream(ctx, out, choice, response, errEventOrder, true, outcome)
		}

		if !out.headerSent && !r.startStream(ctx, out, choice, response, watch) {
			return r.finishStream(ctx, out, choice, response, errAttemptTimeout, true, outcome)
		}

		out.stats.gaps.record(now)

		if out.events == nil {
			out.events = newEventQueue(out.writer, http.NewResponseController(out.writer).Flush, r.newMemoryReservation())
		}

		pushed := time.Now()
		err = out.events.push(event)
		request.callerWait += time.Since(pushed)

		if err != nil {
			return r.handleCallerGone(out)
		}

		if id != "" {
			request.lastEventID = id
		}
	}
}

// startStream sends the header and pins the stream to the software version of its upstream, unless the attempt timed out and
// was the last one. In the last one, the upstream may be silent until the request's deadline from then on.
func (r *Relayer) startStream(ctx context.Context, out *callerResponse, choice balancer.Choice, response *dialer.Response, watch *watchdog) bool {
	origin := r.originOf(out.request, choice)

	mayFollow := origin.IsKnown() && r.mayRepeat(ctx, out.request)
	if !mayFollow && !watch.disarm() {
		return false
	}

	r.pin(out.request, origin)
	out.sendHeader(response.StatusCode, endToEndHeader(response.Header), -1)

	return true
}

// finishStream handles the end of an upstream's stream; responseStarted is true if an event of it was received.
func (r *Relayer) finishStream(ctx context.Context, out *callerResponse, choice balancer.Choice, response *dialer.Response, err error, responseStarted bool, outcome *balancer.Outcome) attemptResult {
	if errors.Is(err, io.EOF) && out.headerSent {
		*outcome = balancer.Served
		r.recordSuccess(out, choice, response)

		return attemptDone
	}

	r.recordInterruption(ctx, out.request, choice, outcome, responseStarted)
	r.logFailedAttempt(out.request, choice, "stream_broken_off", causeOf(ctx, err))

	return attemptUnknown
}

// handleCallerGone ends a stream whose caller disconnected.
func (r *Relayer) handleCallerGone(out *callerResponse) attemptResult {
	out.stats.code = classifier.CallerGone
	r.options.Meter.Refused(out.request.route.Name, classifier.CallerGone)
	r.options.Logger.Debug().Str("request_id", out.request.id).Msg("caller_gone")

	return attemptDone
}

// eventReader reads the events of a stream.
type eventReader struct {
	reader *bufio.Reader
	// memory is that of the last event, as far as it exceeds freeEventBytes.
	memory memoryReservation
}

// next returns the next event including the blank line that ends it. It returns io.EOF if the stream ended between events.
func (r *eventReader) next() ([]byte, error) {
	var event []byte

	r.memory.release()

	for {
		line, err := r.reader.ReadSlice('\n')
		event = append(event, line...)

		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(event) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, errTruncatedEvent
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(event)) > 0:
			return event, nil
		}

		if len(event) > maxEventBytes {
			return nil, errEventTooLong
		}

		if !r.memory.growTo(int64(cap(event) - freeEventBytes)) {
			return nil, errEventMemory
		}
	}
}

// eventID returns the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}

	return ""
}

// isAfter reports whether an event may follow the last one: numeric IDs must increase.
func isAfter(last, id string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	now, errNow := strconv.ParseInt(id, 10, 64)

	return errBefore != nil || errNow != nil || now > before
}

// isDuplicate reports whether the caller has already received the event.
func isDuplicate(last, id string) bool {
	return id != "" && !isAfter(last, id)
}
