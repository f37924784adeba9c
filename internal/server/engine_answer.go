package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"quincepath.example/quincepath/internal/recorder"
	"quincepath.example/quincepath/pkg/classifier"
)

// commentInterval is the time between comments on a stream that waits. Comments
// keep middle boxes from dropping the connection and show the caller that it lives.
const commentInterval = 5 * time.Second

// callerWriteLimit is how long a caller may take no bytes before its connection counts as dead.
const callerWriteLimit = 20 * time.Second

// chatChunk is the kind of the events of a chat completion.
const chatChunk = "chat.completion.chunk"

func eventID(token int) string {
	return strconv.Itoa(token)
}

// carriesToken says whether a chunk holds answer text.
func carriesToken(data string) bool {
	return gjson.Get(data, "choices.0.delta.content").String() != "" || gjson.Get(data, "choices.0.text").String() != ""
}

// streamAnswer follows the answer from the given event on and writes it as server-sent events.
func (n *Node) streamAnswer(w http.ResponseWriter, r *http.Request, entry *run, from int) {
	requestID, answer := entry.request.ID, entry.answer

	events, ended, failure := n.firstEvents(r.Context(), answer, from)
	if failure != nil {
		writeError(w, requestID, failure)

		return
	}

	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(headerRequestID, requestID)
	entry.markReplayed(header)
	w.WriteHeader(http.StatusOK)

	stream := newEventWriter(w)
	defer stream.stop()

	for {
		if err := stream.write(events); err != nil || ended {
			return
		}

		from += len(events)

		var failed error

		events, ended, failed = answer.Next(r.Context(), from)
		if r.Context().Err() != nil {
			return
		}

		if failed != nil {
			_ = stream.write(append(events, errorEvent(requestID, classifier.From(failed))))

			return
		}
	}
}

// firstEvents waits for the first events, so that a failure before them still gets its own status.
func (n *Node) firstEvents(ctx context.Context, answer *recorder.Answer, from int) ([]recorder.Event, bool, *classifier.Error) {
	events, ended, err := answer.Next(ctx, from)
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
	data, err := json.Marshal(newErrorAnswer(requestID, failure))
	if err != nil {
		data = []byte(`{"error":{}}`)
	}

	return recorder.Event{Data: string(data)}
}

// eventWriter writes events to one caller, and a comment whenever none came for a while.
type eventWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	comment *time.Timer

	// mu guards the fields below and the writer: comments come from a timer.
	mu     sync.Mutex
	buffer bytes.Buffer
	// stopped is set before the handler returns; after it nothing may be written.
	stopped bool
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	e := &eventWriter{writer: w, control: http.NewResponseController(w)}
	e.comment = time.AfterFunc(commentInterval, e.writeComment)

	return e
}

func (e *eventWriter) stop() {
	e.comment.Stop()

	e.mu.Lock()
	defer e.mu.Unlock()

	e.stopped = true
}

func (e *eventWriter) write(events []recorder.Event) error {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.buffer.Reset()

	for _, event := range events {
		message := sse.Message{}
		if event.ID != "" {
			message.ID = sse.ID(event.ID)
		}

		message.AppendData(event.Data)

		if _, err := message.WriteTo(&e.buffer); err != nil {
			return err
		}
	}

	e.comment.Reset(commentInterval)

	return e.flush()
}

func (e *eventWriter) writeComment() {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.stopped {
		return
	}

	e.buffer.Reset()

	message := sse.Message{}
	message.AppendComment("waiting")

	if _, err := message.WriteTo(&e.buffer); err != nil {
		return
	}

	// A caller that is gone is noticed by the handler itself.
	_ = e.flush()

	e.comment.Reset(commentInterval)
}

func (e *eventWriter) flush() error {
	// A caller that takes no bytes must not hold its handler for good.
	if err := e.control.SetWriteDeadline(time.Now().Add(callerWriteLimit)); err != nil {
		return err
	}

	if _, err := e.writer.Write(e.buffer.Bytes()); err != nil {
		return err
	}

	return e.control.Flush()
}

// completion is the OpenAI answer that is not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	FinishReason string             `json:"finish_reason"`
	Logprobs     json.RawMessage    `json:"logprobs"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
	Refusal any    `json:"refusal"`
}

// collectAnswer waits for the whole answer and writes it as one JSON object.
func (n *Node) collectAnswer(w http.ResponseWriter, r *http.Request, entry *run) {
	request := entry.request

	events, failure := wholeAnswer(r.Context(), entry.answer)
	if failure != nil {
		writeError(w, request.ID, failure)

		return
	}

	entry.markReplayed(w.Header())
	w.Header().Set(headerRequestID, request.ID)
	w.Header().Set(headerResult, classifier.OK.String())
	writeJSON(w, assemble(events))
}

func wholeAnswer(ctx context.Context, answer *recorder.Answer) ([]recorder.Event, *classifier.Error) {
	from := 0

	for {
		events, ended, err := answer.Next(ctx, from)
		if err != nil {
			return nil, classifier.From(err)
		}

		if ended {
			all, _, _ := answer.Next(ctx, 0)

			return all, nil
		}

		from += len(events)
	}
}

// assemble joins the chunks of a stream into the object that a call without streaming returns.
func assemble(events []recorder.Event) completion {
	var (
		text   strings.Builder
		whole  completion
		choice completionChoice
		isChat bool
	)

	for _, event := range events {
		chunk := gjson.Parse(event.Data)
		if whole.ID == "" {
			whole.ID = chunk.Get("id").String()
			whole.Created = chunk.Get("created").Int()
			whole.Model = chunk.Get("model").String()
			isChat = chunk.Get("object").String() == chatChunk
		}

		text.WriteString(chunk.Get("choices.0.delta.content").String())
		text.WriteString(chunk.Get("choices.0.text").String())

		if reason := chunk.Get("choices.0.finish_reason").String(); reason != "" {
			choice.FinishReason = reason
		}

		if usage := chunk.Get("usage"); usage.IsObject() && gjson.Valid(usage.Raw) {
			whole.Usage = json.RawMessage(usage.Raw)
		}
	}

	content := text.String()
	choice.Logprobs = json.RawMessage("null")
	whole.Object = "text_completion"

	if isChat {
		whole.Object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}

	whole.Choices = []completionChoice{choice}

	return whole
}
