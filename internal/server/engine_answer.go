package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/tidwall/gjson"

	"quincepath.example/quincepath/internal/recorder"
	"quincepath.example/quincepath/internal/refuser"
	"quincepath.example/quincepath/pkg/classifier"
)

// eventID names the event that brings the given token, counted from 1; a caller resumes after it.
func eventID(token int) string {
	return strconv.Itoa(token)
}

// carriesToken says whether a chunk holds answer text.
func carriesToken(data string) bool {
	return gjson.Get(data, "choices.0.delta.content").String() != "" || gjson.Get(data, "choices.0.text").String() != ""
}

// streamAnswer follows the answer from the given event on and writes it as server-sent events.
func streamAnswer(w http.ResponseWriter, r *http.Request, run *requestRun, from int) {
	requestID, answer := run.request.ID, run.answer

	events, ended, failure := firstEvents(r.Context(), answer, from)
	if failure != nil {
		writeError(w, requestID, failure)

		return
	}

	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(headerRequestID, requestID)
	run.markReplayed(header)
	w.WriteHeader(http.StatusOK)

	stream := newEventWriter(w)
	defer stream.stop()

	for {
		if err := stream.write(events); err != nil || ended || isComplete(events) {
			return
		}

		from += len(events)

		var failed error

		events, ended, failed = answer.EventsFrom(r.Context(), from)
		if r.Context().Err() != nil {
			return
		}

		if failed != nil {
			_ = stream.write(append(events, errorEvent(requestID, classifier.From(failed))))

			return
		}
	}
}

// isComplete says whether the events end an answer. Its caller need not wait
// until the run is counted and logged.
func isComplete(events []recorder.Event) bool {
	return len(events) > 0 && events[len(events)-1].Data == endOfStream
}

// firstEvents waits for the first events, so that a failure before them still gets its own status.
func firstEvents(ctx context.Context, answer *recorder.EventBuffer, from int) ([]recorder.Event, bool, *classifier.Error) {
	events, ended, err := answer.EventsFrom(ctx, from)
	if len(events) > 0 {
		// A failure after these events is reported behind them.
		return events, ended && err == nil, nil
	}

	if ctx.Err() != nil {
		return nil, true, classifier.New(classifier.CallerGone, "the caller left")
	}

	return nil, ended, classifier.From(err)
}

func errorEvent(requestID string, failure *classifier.Error) recorder.Event {
	data, err := json.Marshal(refuser.New(requestID, failure))
	if err != nil {
		data = []byte(`{"error":{}}`)
	}

	return recorder.Event{Data: string(data)}
}

// collectAnswer waits for the whole answer and writes it as one JSON object.
func collectAnswer(w http.ResponseWriter, r *http.Request, run *requestRun) {
	request := run.request

	events, failure := wholeAnswer(r.Context(), run.answer)
	if failure != nil {
		writeError(w, request.ID, failure)

		return
	}

	run.markReplayed(w.Header())
	w.Header().Set(headerRequestID, request.ID)
	w.Header().Set(headerResult, classifier.OK.String())
	writeJSON(w, assemble(events))
}

func wholeAnswer(ctx context.Context, answer *recorder.EventBuffer) ([]recorder.Event, *classifier.Error) {
	from := 0

	for {
		events, ended, err := answer.EventsFrom(ctx, from)
		if err != nil {
			return nil, classifier.From(err)
		}

		if ended {
			all, _, _ := answer.EventsFrom(ctx, 0)

			return all, nil
		}

		from += len(events)
	}
}
