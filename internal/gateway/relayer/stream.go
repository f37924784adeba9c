package relayer

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"quincepath.example/quincepath/internal/gateway/balancer"
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

// openEvents reads a stream up to the first event that the caller doesn't have.
func (r *Relayer) openEvents(a *attempt) attemptResult {
	a.events = &eventReader{reader: bufio.NewReaderSize(a.response.Body, 2<<10), memory: r.newMemoryReservation()}

	for {
		event, err := r.nextEvent(a)

		switch {
		case errors.Is(err, io.EOF) && a.started && !a.endsWithConnection():
			a.open = true

			return attemptDone
		case err != nil:
			return r.failStream(a, err)
		}

		id := eventID(event)

		switch {
		case isAfter(a.lastEventID, id):
			a.open, a.firstEvent = true, event

			return attemptDone
		case !a.started || !isDuplicate(a.lastEventID, id):
			return r.failStream(a, errEventOrder)
		}

		a.watch.resume()
	}
}

// nextEvent reads the next event of a stream, and suspends the watchdog. It returns an error if another attempt has taken the place
// of this one.
func (r *Relayer) nextEvent(a *attempt) ([]byte, error) {
	event, err := a.events.next()
	if err != nil {
		return nil, err
	}

	now := time.Now()
	a.gaps.record(now)
	a.heardAt = now

	if a.gaps.events == 1 {
		a.survival.start(now)
		r.options.Chooser.RecordFirstEvent(a.id, r.reportedLoad(a.response))
		r.activity.recordResponse(a.choice.Upstream, a.sentAt, now, a.request.poolRequest.Priority)
	}

	if a.survival.expires(now) {
		r.options.Quarantine.Survived(a.request.traits, a.request.service)
	}

	r.recordActivity(a.choice.Upstream, now)

	if !a.watch.suspend() {
		return nil, errAttemptTimeout
	}

	return event, nil
}

// deliverEvents relays a stream event by event, so that a caller never receives
// a partial event and the stream can be resumed at another upstream after the last complete one.
func (r *Relayer) deliverEvents(out *callerResponse, a *attempt) attemptResult {
	event := a.firstEvent
	a.firstEvent = nil

	for {
		if event == nil {
			var err error

			event, err = r.nextEvent(a)

			switch {
			case errors.Is(err, io.EOF):
				return r.finishStream(out, a)
			case err != nil:
				return r.failStream(a, err)
			}
		}

		id := eventID(event)

		switch {
		case isAfter(a.lastEventID, id):
			if result, ok := r.deliverEvent(out, a, event, id); !ok {
				return result
			}
		case !isDuplicate(a.lastEventID, id):
			return r.failStream(a, errEventOrder)
		}

		event = nil

		a.watch.resume()
	}
}

// deliverEvent passes an event on to the caller. It returns false and the result of the attempt if that ends with it.
func (r *Relayer) deliverEvent(out *callerResponse, a *attempt, event []byte, id string) (attemptResult, bool) {
	if !out.headerSent {
		r.startStream(out, a)
	}

	now := time.Now()
	out.stats.gaps.record(now)

	if out.events == nil {
		out.events = newEventQueue(out.writer, http.NewResponseController(out.writer).Flush, r.newMemoryReservation())
	}

	if err := out.events.push(event); err != nil {
		return r.handleCallerGone(out), false
	}

	a.request.progress.recordEvent(id, time.Since(now))

	if id != "" {
		a.lastEventID = id
	}

	return attemptDone, true
}

// startStream sends the header and pins the stream to the software version of its upstream.
func (r *Relayer) startStream(out *callerResponse, a *attempt) {
	r.pin(out.request, r.originOf(out.request, a.choice))
	out.sendHeader(a.response.StatusCode, endToEndHeader(a.response.Header), -1)
}

// finishStream handles the end of an upstream's stream.
func (r *Relayer) finishStream(out *callerResponse, a *attempt) attemptResult {
	r.options.Chooser.RecordGaps(a.id, a.gaps.eventGaps())
	a.outcome = balancer.Served
	r.recordSuccess(out, a)

	return attemptDone
}

// failStream handles a stream that broke off.
func (r *Relayer) failStream(a *attempt, err error) attemptResult {
	r.recordInterruption(a, a.gaps.events > 0)
	r.logFailedAttempt(a, "stream_broken_off", causeOf(a.ctx, err))

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
