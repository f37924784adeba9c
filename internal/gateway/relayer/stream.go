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

// maxEventBytes bounds one event; a longer one is taken for garbage.
const maxEventBytes = 1 << 20

var (
	errTornEvent = errors.New("the stream ended in the middle of an event")
	errLongEvent = errors.New("an event is too long")
	errOrder     = errors.New("an event is missing or out of order")
)

// deliverEvents passes a stream on event by event, so that a caller never gets
// part of one and the stream can go on at another upstream after the last whole one.
func (r *Relayer) deliverEvents(ctx context.Context, a *answer, choice balancer.Choice, sent time.Time, response *dialer.Response, watch *watch, outcome *balancer.Outcome) verdict {
	request := a.request
	events := bufio.NewReaderSize(response.Body, 2<<10)
	controller := http.NewResponseController(a.writer)
	first := true
	pace := &pace{}

	for {
		event, err := readEvent(events)
		if err != nil {
			if errors.Is(err, io.EOF) {
				r.options.Chooser.RecordGaps(request.workID(), pace.pauses())
			}

			return r.endEvents(ctx, a, choice, err, !first, outcome)
		}

		now := time.Now()
		pace.event(now)

		if first {
			first = false
			r.options.Chooser.RecordFirstEvent(request.workID(), r.load(response))
			r.vitals.answered(choice.Upstream, sent, now, request.work.Priority)
		}

		r.vitals.seen(choice.Upstream, now)
		watch.rearm()

		id := eventID(event)
		if !follows(request.lastEvent, id) {
			if a.begun && repeats(request.lastEvent, id) {
				continue
			}

			return r.endEvents(ctx, a, choice, errOrder, true, outcome)
		}

		if !a.begun {
			a.begin(response.StatusCode, endToEnd(response.Header), -1)
		}

		a.account.pace.event(now)

		if _, err := a.writer.Write(event); err != nil {
			return r.endCaller(a)
		}

		if err := controller.Flush(); err != nil {
			return r.endCaller(a)
		}

		if id != "" {
			request.lastEvent = id
		}
	}
}

// endEvents judges the end of a stream; answering says that an event of it had come.
func (r *Relayer) endEvents(ctx context.Context, a *answer, choice balancer.Choice, err error, answering bool, outcome *balancer.Outcome) verdict {
	if errors.Is(err, io.EOF) && a.begun {
		*outcome = balancer.Served
		r.served(a, choice)

		return done
	}

	r.judgeBreak(ctx, a.request, choice, outcome, answering)
	r.logAttempt(a.request, choice, "stream_broken_off", causeOf(ctx, err))

	return unsure
}

// endCaller ends a stream whose caller is gone.
func (r *Relayer) endCaller(a *answer) verdict {
	a.account.code = classifier.CallerGone
	r.options.Meter.Refused(a.request.route.Name, classifier.CallerGone)
	r.options.Logger.Debug().Str("request_id", a.request.id).Msg("caller_gone")

	return done
}

// readEvent returns the next event with the blank line that ends it. io.EOF means a sound end.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte

	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)

		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(event) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, errTornEvent
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(bytes.TrimSpace(event)) > 0:
			return event, nil
		}

		if len(event) > maxEventBytes {
			return nil, errLongEvent
		}
	}
}

// eventID returns the id of an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
	}

	return ""
}

// follows says whether an event may come after the last one: numbered events grow.
func follows(last, id string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	now, errNow := strconv.ParseInt(id, 10, 64)

	return errBefore != nil || errNow != nil || now > before
}

// repeats says whether the caller already has the event.
func repeats(last, id string) bool {
	return id != "" && !follows(last, id)
}
